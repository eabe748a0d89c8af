// A daemon's simulated connections to one database that it owns: opened within its budget, lent to one call
// at a time, closed when their state is in doubt. Mirrors the daemon's pool and admission gate.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/outcome.hpp"
#include "failover/database_monitor.hpp"
#include "ownership/closing_connections.hpp"
#include "ownership/ownership.hpp"
#include "protocol/forward.hpp"
#include "simulation_group/database_node.hpp"

namespace pipitpond::simulation::group {

/// One call on a connection.
struct LinkCall {
  standin::Request request;
  core::Term term = 0;  ///< Of a write; 0 for reads.
  core::Instant deadline;
  std::function<void(const protocol::ForwardReply&)> done;
};

class DatabaseLink : public std::enable_shared_from_this<DatabaseLink> {
 public:
  /// Told the number of held connections whenever it changes.
  using HeldChanged = std::function<void(std::uint32_t)>;

  DatabaseLink(Fabric& fabric, Host& daemon, DatabaseNode& database, HeldChanged changed);

  void set_budget(const ownership::Budget& budget, bool may_open);
  void set_expectation(core::Term term, bool primary);
  void on_probe_failed(bool refused);
  /// Takes the answer of a probe that was asked at `asked_at`.
  void observe_status(core::Instant asked_at, const database::StatusAnswer& status);
  void break_off_calls();
  /// Closes all connections; queued calls are refused.
  void close();
  /// The daemon owns the database again: what is still closing goes on counting against its budget.
  void reopen();
  /// Tells again what is held; call every kMonitorInterval after close().
  void report_held();
  /// Opens ahead of need and keeps idle connections alive; call every kMonitorInterval.
  void tick();
  void execute(LinkCall call);
  /// The daemon's machine is gone: nobody tells the database any more of connections that were given up.
  void lose_machine() { machine_lost_ = true; }

  [[nodiscard]] failover::DatabaseMonitor& monitor() { return monitor_; }
  [[nodiscard]] DatabaseNode& database() { return database_; }
  /// What counts against the budget: connections open, being opened, and given up but not known to be closed.
  [[nodiscard]] std::uint32_t held() const { return live() + closing_.count(); }

 private:
  struct Connection {
    bool open = false;
    bool doomed = false;  ///< Closed once its call has ended.
    core::Instant last_used;
    std::shared_ptr<LinkCall> call;  ///< Null: idle.
  };

  void grow();
  void open_one();
  void opened(standin::ConnectionId id, bool accepted);
  void serve_queue();
  void start(standin::ConnectionId id, const std::shared_ptr<LinkCall>& call);
  void answered(standin::ConnectionId id, const std::shared_ptr<LinkCall>& call,
                const standin::Response& response);
  void lost(standin::ConnectionId id);
  void closed_by_database(standin::ConnectionId id);
  void drop(standin::ConnectionId id);
  void tell_close(standin::ConnectionId id, core::Duration wait);
  void shrink();
  void keep_alive(standin::ConnectionId id);
  [[nodiscard]] std::uint32_t live() const { return static_cast<std::uint32_t>(connections_.size()); }
  [[nodiscard]] std::uint32_t surely_counted(core::Instant asked_at) const;
  [[nodiscard]] std::uint32_t busy() const;
  [[nodiscard]] std::uint32_t opening() const;
  [[nodiscard]] std::uint32_t room_needed() const;

  Fabric& fabric_;
  Host& daemon_;
  DatabaseNode& database_;
  HeldChanged changed_;
  failover::DatabaseMonitor monitor_;
  ownership::Budget budget_;
  bool may_open_ = false;
  bool closed_ = false;
  bool machine_lost_ = false;
  std::uint32_t room_ = 0;
  core::Instant open_again_at_;
  std::map<standin::ConnectionId, Connection> connections_;
  ownership::ClosingConnections closing_;
  std::deque<std::shared_ptr<LinkCall>> queue_;
};

/// The answer of a database as a ForwardReply.
protocol::ForwardReply to_reply(const standin::Response& response, const core::DatabaseId& database);

}  // namespace pipitpond::simulation::group
