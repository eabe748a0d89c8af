// The proxy daemon: puts the parts together, opens its ports, and leaves in good order.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "agent/agent.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "http/server.hpp"
#include "proxy/caller_api.hpp"
#include "proxy/database_views.hpp"
#include "proxy/dispatcher.hpp"
#include "proxy/executor.hpp"
#include "proxy/flow_parts.hpp"
#include "proxy/owned_databases.hpp"
#include "proxy/peers.hpp"
#include "proxy/policy_programs.hpp"
#include "proxy/prober.hpp"
#include "proxy/request_metrics.hpp"
#include "proxy/statement_flow.hpp"
#include "proxy/term_confirmation.hpp"
#include "proxy/transaction_flow.hpp"
#include "retry/budget.hpp"
#include "routing/explanation.hpp"
#include "session/token.hpp"
#include "wire/server.hpp"

namespace pipitpond::proxy {

/// What the daemon is told at start.
struct DaemonOptions {
  core::DaemonId id;
  core::ZoneName zone;
  core::Endpoint callers;      ///< Where to listen for callers; port 0 picks a free one.
  core::Endpoint internal;     ///< Where to listen for other daemons; port 0 picks a free one.
  std::string session_secret;  ///< Shared by the fleet.
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  std::size_t max_connections = 10'000;
  core::Duration read_timeout = std::chrono::seconds(60);   ///< For a whole request; also idle time.
  core::Duration write_timeout = std::chrono::seconds(30);  ///< For a caller that reads its answer slowly.
  CallerApiOptions caller_api;
  core::Duration transaction_idle_limit = std::chrono::seconds(30);
  core::Duration drain_grace = std::chrono::seconds(2);          ///< Callers move to other daemons meanwhile.
  core::Duration drain_transactions = std::chrono::seconds(10);  ///< Open transactions may go on this long.
};

/// One daemon.
class Daemon {
 public:
  /// Opens the ports. The agent is started by start(), once its endpoints are known.
  static core::Result<std::unique_ptr<Daemon>> create(boost::asio::io_context& io, DaemonOptions options,
                                                      session::FleetKey fleet_key,
                                                      std::unique_ptr<agent::Agent> agent);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Begins to work.
  void start();
  /// Leaves in good order: no request in progress is cut. Returns when all connections have been given back.
  boost::asio::awaitable<void> drain();
  /// Longest that drain() takes.
  [[nodiscard]] core::Duration drain_limit() const;
  /// Gives all database connections up at once.
  void stop();

  [[nodiscard]] std::uint16_t callers_port() const { return callers_server_->port(); }
  [[nodiscard]] std::uint16_t internal_port() const { return internal_server_->port(); }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] OwnedDatabases& databases() { return owned_; }
  [[nodiscard]] const RequestMetrics& metrics() const { return metrics_; }

 private:
  Daemon(boost::asio::io_context& io, DaemonOptions options, session::FleetKey fleet_key,
         std::unique_ptr<agent::Agent> agent);

  core::Result<void> listen();
  void apply(const protocol::Configuration& configuration);
  void log_lease(core::Instant now);
  boost::asio::awaitable<void> tick();
  boost::asio::awaitable<core::Result<std::string>> handle_internal(wire::PeerId peer, wire::MessageType type,
                                                                    std::string body);
  /// Answers another daemon's request or ping.
  boost::asio::awaitable<protocol::ForwardReply> serve_peer(protocol::ForwardRequest request);
  boost::asio::awaitable<void> wait_until(std::function<bool()> condition, core::Duration limit);
  /// Transactions that callers began here and still use here, wherever they run.
  [[nodiscard]] std::size_t caller_transactions();
  [[nodiscard]] std::string not_ready_reason() const;
  [[nodiscard]] http::Response metrics_response() const;

  boost::asio::io_context& io_;
  DaemonOptions options_;
  session::FleetKey fleet_key_;
  std::unique_ptr<agent::Agent> agent_;
  pcg32 random_;
  RequestMetrics metrics_;
  routing::ExplanationLog explanations_;
  std::map<core::GroupName, retry::RetryBudget> retry_budgets_;
  PolicyPrograms policies_;
  DatabaseViews views_;
  OwnedDatabases owned_;
  Executor executor_;
  Peers peers_;
  Dispatcher dispatcher_;
  ProgressQuestions progress_questions_;
  TermConfirmation confirmation_;
  Prober prober_;
  FlowParts parts_;
  StatementFlow statements_;
  TransactionFlow transactions_;
  CallerApi caller_api_;
  std::unique_ptr<http::Server> callers_server_;
  std::unique_ptr<wire::Server> internal_server_;
  std::size_t internal_in_progress_ = 0;
  bool had_lease_ = false;
  bool draining_ = false;
  bool stopped_ = false;
};

}  // namespace pipitpond::proxy
