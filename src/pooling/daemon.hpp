// A proxy daemon that pools database connections for callers' sessions: wires the components together,
// reports readiness, and drains sessions before it stops.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "agent/agent.hpp"
#include "http/server.hpp"
#include "pooling/backends.hpp"
#include "pooling/caller_access.hpp"
#include "pooling/caller_session.hpp"
#include "pooling/forward_service.hpp"
#include "pooling/listener.hpp"
#include "pooling/options.hpp"
#include "runtime/program.hpp"
#include "wire/server.hpp"

namespace pipitpond::pooling {

/// The protocol adapters of one daemon.
struct DaemonAdapters {
  std::unique_ptr<BackendConnector> connector;
  MakeCallerListener make_listener;
};

class Daemon : public runtime::Daemon {
 public:
  /// `settings` must outlive the daemon, which reads it again in reload().
  static core::Result<std::unique_ptr<Daemon>> start(boost::asio::io_context& io,
                                                     const PoolingSettings& settings,
                                                     DaemonAdapters adapters);
  ~Daemon() override;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void stop(std::function<void()> stopped) override;
  /// Applies changed control seeds; all other settings need a restart.
  void reload() override;
  [[nodiscard]] core::Duration stop_limit() const override { return options_.stop_grace; }

 private:
  Daemon(boost::asio::io_context& io, const PoolingSettings& settings, DaemonAdapters adapters,
         std::unique_ptr<agent::Agent> agent);

  core::Result<void> open_ports();
  core::Result<void> open_internal_port();
  void apply(const protocol::Configuration& configuration);
  boost::asio::awaitable<void> tick();
  boost::asio::awaitable<void> drain(std::function<void()> stopped);
  boost::asio::awaitable<void> drain_idle_sessions(core::Instant until);
  core::Result<std::unique_ptr<CallerSession>> open_session(const std::string& database,
                                                            const protocol::KeyDigest& key);
  void serve_admin(const http::Request& request, const http::Responder& respond);
  [[nodiscard]] std::string not_ready_reason() const;
  void log_readiness();

  boost::asio::io_context& io_;
  const PoolingSettings& settings_;
  PoolingOptions options_;
  DaemonAdapters adapters_;
  std::unique_ptr<agent::Agent> agent_;
  Backends backends_;
  Routes routes_;
  CallerAccess access_;
  PoolingCounters counters_;
  StatementTimes times_;
  SessionServices services_;
  ForwardService forward_service_;
  std::unique_ptr<CallerListener> listener_;
  std::unique_ptr<wire::Server> peer_server_;  ///< Serves requests of other daemons.
  std::unique_ptr<http::Server> admin_server_;
  core::Instant lease_lost_since_{};
  bool had_lease_ = false;
  bool stopping_ = false;
  std::string last_not_ready_reason_;
};

}  // namespace pipitpond::pooling
