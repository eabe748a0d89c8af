// Serves the stand-in engine over HTTP and gives its effects to the disk, the peers and the callers.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "core/error.hpp"
#include "http/server.hpp"
#include "journal.hpp"
#include "options.hpp"
#include "peer_link.hpp"
#include "runtime/program.hpp"
#include "standin/engine.hpp"

namespace pipitpond::database_program {

/// One database as a server on an io_context.
class DatabaseServer final : public runtime::Daemon {
 public:
  /// Recovers from the disk and listens.
  static core::Result<std::unique_ptr<DatabaseServer>> start(boost::asio::io_context& io, Options options);
  ~DatabaseServer() override;

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }
  /// Begins a planned stop: asks for no new work and calls `stopped` once no work is left, this is no longer
  /// the primary and all connections are closed, or after the drain timeout.
  void stop(std::function<void()> stopped) override;

 private:
  DatabaseServer(boost::asio::io_context& io, Options options)
      : io_(io), options_(std::move(options)), timer_(io), drain_timer_(io) {}

  core::Result<void> recover();
  core::Result<void> listen();
  void handle(http::Request request, http::Responder responder);
  bool handle_process_call(const http::Request& request, const http::Responder& responder);
  void connection_closed(http::ConnectionId connection);
  /// Flushes after the requests that are queued already, so that they share one sync.
  void schedule_flush();
  void flush();
  bool write_disk(standin::Effects& effects);
  void send(standin::ReplicateMessage message);
  void replicate_done(const core::DatabaseId& peer, std::uint64_t sequence,
                      const std::optional<standin::Response>& response);
  void respond(standin::Answer answer);
  void arm_timer();
  void check_drained();
  [[nodiscard]] static standin::Now now();

  struct PendingCall {
    http::ConnectionId connection = 0;
    http::Responder responder;
  };

  boost::asio::io_context& io_;
  Options options_;
  std::unique_ptr<Journal> journal_;
  std::unique_ptr<standin::Engine> engine_;
  std::unique_ptr<http::Server> server_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer drain_timer_;
  std::function<void()> stopped_;
  core::Instant drain_deadline_;
  std::unordered_map<standin::CallId, PendingCall> pending_;
  std::map<core::DatabaseId, std::shared_ptr<PeerLink>> peers_;
  standin::CallId last_call_ = 0;
  bool flush_scheduled_ = false;
};

}  // namespace pipitpond::database_program
