// The leader's calls to databases: status, fence and promote. Each uses its own connection and timeout: a new
// connection costs a round trip, but a late reply to an earlier call can't be taken for the reply to this
// one.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "configuration/command.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "failover/effects.hpp"

namespace pipitpond::control {

struct DatabaseCallTimeouts {
  core::Duration connect = std::chrono::milliseconds(200);
  core::Duration status = std::chrono::milliseconds(250);
  core::Duration fence = std::chrono::milliseconds(500);
  core::Duration promote = std::chrono::milliseconds(1000);
};

/// Callbacks for the results of calls. All run on the io_context.
struct DatabaseCallCallbacks {
  std::function<void(const database::StatusAnswer&)> status;
  std::function<void(const core::DatabaseId&)> status_failed;
  std::function<void(const failover::FenceDatabase&, const database::FenceAnswer&)> fenced;
  std::function<void(const failover::FenceDatabase&)> fence_failed;
  std::function<void(const failover::PromoteDatabase&, const database::PromoteAnswer&)> promoted;
  std::function<void(const failover::PromoteDatabase&)> promote_failed;
  /// The service that promotes refused it, or it was not sent.
  std::function<void(const failover::PromoteDatabase&)> promote_without_effect;
  /// The database refused a fence or promotion, because it has already accepted a newer term.
  std::function<void(const core::GroupName&, const core::DatabaseId&, core::Term asked, core::Term newer)>
      refused;
};

/// Makes the calls over one protocol between control and databases. Must outlive its calls: stop the
/// io_context first.
class DatabaseCalls {
 public:
  virtual ~DatabaseCalls() = default;

  /// Start a call. Exactly one of its callbacks is called when it ends.
  virtual void probe(failover::ProbeDatabase call) = 0;
  virtual void fence(failover::FenceDatabase call) = 0;
  virtual void promote(failover::PromoteDatabase call) = 0;
  /// Starts a call that has no callback of its own.
  virtual void demote(failover::DemoteDatabase call) = 0;

  /// Asks which database is at an endpoint: that of the call, another one, or none that answers in time.
  virtual boost::asio::awaitable<configuration::EndpointAnswer> identify(failover::ProbeDatabase call) = 0;
};

/// Creates the DatabaseCalls of a process, which report to the given callbacks.
using MakeDatabaseCalls = std::function<std::unique_ptr<DatabaseCalls>(DatabaseCallCallbacks callbacks)>;

/// Calls over the project's own protocol: HTTP with JSON.
class HttpDatabaseCalls : public DatabaseCalls {
 public:
  HttpDatabaseCalls(boost::asio::io_context& io, DatabaseCallTimeouts timeouts,
                    DatabaseCallCallbacks callbacks);

  void probe(failover::ProbeDatabase call) override;
  void fence(failover::FenceDatabase call) override;
  void promote(failover::PromoteDatabase call) override;
  void demote(failover::DemoteDatabase call) override;
  boost::asio::awaitable<configuration::EndpointAnswer> identify(failover::ProbeDatabase call) override;

 private:
  boost::asio::awaitable<std::optional<database::StatusAnswer>> ask_status(core::Endpoint endpoint);
  boost::asio::awaitable<void> run_probe(failover::ProbeDatabase call);
  boost::asio::awaitable<void> run_fence(failover::FenceDatabase call);
  boost::asio::awaitable<void> run_promote(failover::PromoteDatabase call);
  boost::asio::awaitable<void> run_demote(failover::DemoteDatabase call);

  boost::asio::io_context& io_;
  DatabaseCallTimeouts timeouts_;
  DatabaseCallCallbacks callbacks_;
};

}  // namespace pipitpond::control
