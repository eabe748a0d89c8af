// One database that this daemon owns: its pool, the admission queue in front of it, and the monitor that
// judges it from probes and traffic.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "failover/database_monitor.hpp"
#include "ownership/ownership.hpp"
#include "protocol/configuration.hpp"
#include "proxy/admission_gate.hpp"
#include "proxy/pool.hpp"
#include "proxy/status_client.hpp"

namespace pipitpond::proxy {

class OwnedDatabase;

/// Registers a call in progress for as long as it lives, so that the call can be broken off.
class CallInProgress {
 public:
  /// `term` is the term that a write names; 0 for reads.
  CallInProgress(std::shared_ptr<OwnedDatabase> owner, DatabaseConnection* connection, core::Term term);
  CallInProgress(const CallInProgress&) = delete;
  CallInProgress& operator=(const CallInProgress&) = delete;
  ~CallInProgress();

 private:
  struct Entry {
    DatabaseConnection* connection;
    core::Term term;
  };
  friend class OwnedDatabase;

  std::shared_ptr<OwnedDatabase> owner_;
  std::list<Entry>::iterator place_;
};

/// What an owner holds of a database.
class OwnedDatabase : public std::enable_shared_from_this<OwnedDatabase> {
 public:
  OwnedDatabase(boost::asio::io_context& io, core::GroupName group, const protocol::Database& declaration,
                std::string client_name, Pool::HeldChanged held_changed);

  /// Sets what this daemon may use now.
  void set_budget(const ownership::Budget& budget, std::function<bool()> may_open);
  /// Sets what the configuration says. Writes in progress of an older term are broken off: a primary of an
  /// older term will not acknowledge them any more, and their outcome can be asked for at the new one.
  void set_expectation(core::Term term, bool primary);
  /// The database does not answer: calls in progress are broken off, and requests in its queue are refused,
  /// so that reads go elsewhere at once.
  void break_off_calls();
  /// A probe failed; `refused`: the connection was refused.
  void on_probe_failed(core::Instant now, bool refused);
  /// Takes the answer of a probe that was asked at `asked_at`.
  void observe_status(core::Instant asked_at, core::Instant now, const database::StatusAnswer& status);
  /// Its last status; empty when there is none of the last `age`.
  [[nodiscard]] std::optional<database::StatusAnswer> recent_status(core::Instant now,
                                                                    core::Duration age) const;
  /// Gives the database up.
  void close();
  /// Takes up again a database that was given up and to which connections may still be held.
  void reopen();

  [[nodiscard]] const core::GroupName& group() const { return group_; }
  [[nodiscard]] const core::DatabaseId& id() const { return pool_->target().database; }
  [[nodiscard]] const core::Endpoint& endpoint() const { return pool_->target().endpoint; }
  [[nodiscard]] Pool& pool() const { return *pool_; }
  [[nodiscard]] AdmissionGate& gate() const { return *gate_; }
  [[nodiscard]] failover::DatabaseMonitor& monitor() { return monitor_; }
  [[nodiscard]] StatusClient& status_client() { return status_client_; }

 private:
  friend class CallInProgress;

  core::GroupName group_;
  std::shared_ptr<Pool> pool_;
  std::shared_ptr<AdmissionGate> gate_;
  failover::DatabaseMonitor monitor_;
  StatusClient status_client_;
  std::list<CallInProgress::Entry> calls_;
  std::optional<database::StatusAnswer> status_;
  core::Instant status_at_;
};

}  // namespace pipitpond::proxy
