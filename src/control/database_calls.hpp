// The leader's calls to databases: status, fence and promote, each on a connection of its own with a timeout.
// A fresh connection per call costs a round trip and spares every doubt about late answers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "failover/effects.hpp"

namespace pipitpond::control {

/// Timeouts of the calls.
struct DatabaseCallTimeouts {
  core::Duration connect = std::chrono::milliseconds(200);
  core::Duration status = std::chrono::milliseconds(250);
  core::Duration fence = std::chrono::milliseconds(500);
  core::Duration promote = std::chrono::milliseconds(1000);
};

/// Receives what came of a call; all on the io_context.
struct DatabaseCallCallbacks {
  std::function<void(const database::StatusAnswer&)> status;
  std::function<void(const core::DatabaseId&)> status_failed;
  std::function<void(const failover::FenceDatabase&, const database::FenceAnswer&)> fenced;
  std::function<void(const failover::FenceDatabase&)> fence_failed;
  std::function<void(const failover::PromoteDatabase&, const database::PromoteAnswer&)> promoted;
  std::function<void(const failover::PromoteDatabase&)> promote_failed;
  /// A fence or promotion was refused: the database has promised a newer term.
  std::function<void(const core::GroupName&, const core::DatabaseId&, core::Term asked, core::Term newer)>
      refused;
};

/// Makes the calls. Must outlive them: stop the io_context first. One implementation for each protocol that
/// databases speak to control.
class DatabaseCalls {
 public:
  virtual ~DatabaseCalls() = default;

  /// Begin a call; exactly one of its answers follows.
  virtual void probe(failover::ProbeDatabase call) = 0;
  virtual void fence(failover::FenceDatabase call) = 0;
  virtual void promote(failover::PromoteDatabase call) = 0;
};

/// Makes the calls of one process, which report to the given answers.
using MakeDatabaseCalls = std::function<std::unique_ptr<DatabaseCalls>(DatabaseCallCallbacks answers)>;

/// The project's own protocol: HTTP with JSON.
class HttpDatabaseCalls : public DatabaseCalls {
 public:
  HttpDatabaseCalls(boost::asio::io_context& io, DatabaseCallTimeouts timeouts,
                    DatabaseCallCallbacks answers);

  void probe(failover::ProbeDatabase call) override;
  void fence(failover::FenceDatabase call) override;
  void promote(failover::PromoteDatabase call) override;

 private:
  boost::asio::awaitable<void> run_probe(failover::ProbeDatabase call);
  boost::asio::awaitable<void> run_fence(failover::FenceDatabase call);
  boost::asio::awaitable<void> run_promote(failover::PromoteDatabase call);

  boost::asio::io_context& io_;
  DatabaseCallTimeouts timeouts_;
  DatabaseCallCallbacks answers_;
};

}  // namespace pipitpond::control
