// The control daemon: creates its components, serves daemons and operators, and shuts down gracefully.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/announcer.hpp"
#include "control/daemon_service.hpp"
#include "control/disk_start.hpp"
#include "control/joiner.hpp"
#include "control/leader_duties.hpp"
#include "control/metrics.hpp"
#include "control/operator_api.hpp"
#include "control/options.hpp"
#include "control/peer_channels.hpp"
#include "control/platform_watch.hpp"
#include "control/replica.hpp"
#include "control/revision_notices.hpp"
#include "http/server.hpp"
#include "wire/server.hpp"

namespace pipitpond::control {

/// An HTTP request of another API, translated into a request of the operator API.
struct TranslatedCall {
  protocol::OperatorRequest request;
  /// Converts the reply into a response of the other API.
  std::function<http::Response(protocol::OperatorReply)> answer;
};

/// Translates a request. Returns nothing if the request does not belong to the other API.
using TranslateRequest = std::function<std::optional<TranslatedCall>(const http::Request&)>;

/// Lets calls to external systems check leadership and send a fencing token, which grows with each leader.
struct FencedLeadership {
  std::function<bool()> holds;           ///< This replica leads and no other can have been elected.
  std::function<std::uint64_t()> token;  ///< The fencing token: the Raft term.
};

/// Adapters to systems that do not speak the protocols of control. Each is optional.
struct ControlAdapters {
  TranslateRequest translate_request;
  std::function<std::unique_ptr<DatabaseCalls>(boost::asio::io_context&, FencedLeadership,
                                               DatabaseCallCallbacks)>
      make_database_calls;
};

/// The components of one control process.
class ControlServer {
 public:
  /// `failed` is called after an unrecoverable disk error; it must terminate the process.
  ControlServer(boost::asio::io_context& io, ControlOptions options,
                std::function<void(const core::Error&)> failed, ControlAdapters adapters = {});
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// Opens the data folder, listens on the ports and starts all components.
  boost::asio::awaitable<core::Result<void>> start();
  /// Applies the peers of changed settings. All other settings need a restart.
  void reload(const ControlOptions& options);
  /// Graceful shutdown: transfers leadership, waits for requests in progress and closes all connections.
  boost::asio::awaitable<void> stop();

  [[nodiscard]] const Replica& replica() const { return *replica_; }

 private:
  core::Result<void> open_ports();
  void make_replica(raft::PersistedState persisted);
  void make_services();
  void send(raft::Message message);
  void send_to_connected_replicas(const raft::Message& message);
  void on_configuration(const protocol::Configuration& configuration);
  void notify_daemons(protocol::Revision revision);
  void on_leadership(bool leading);
  std::unique_ptr<DatabaseCalls> make_database_calls(DatabaseCallCallbacks callbacks);
  void on_http(http::Request request, http::Responder respond);
  boost::asio::awaitable<void> serve_translated(TranslatedCall call, http::Responder respond);
  boost::asio::awaitable<void> serve_operator(http::Request request, http::Responder respond);
  boost::asio::awaitable<protocol::OperatorReply> serve_forwarded(protocol::OperatorRequest request);
  boost::asio::awaitable<void> announce();
  boost::asio::awaitable<void> keep_members_connected();
  boost::asio::awaitable<void> transfer_leadership_and_wait();
  boost::asio::awaitable<void> wait_for_requests();
  boost::asio::awaitable<void> pause(core::Duration duration);
  [[nodiscard]] http::Response readiness() const;
  [[nodiscard]] IoCounters io_counters() const;

  boost::asio::io_context& io_;
  ControlOptions options_;
  std::function<void(const core::Error&)> on_failure_;
  ControlAdapters adapters_;
  PeerChannels peers_;
  OpenedDisk disk_;
  std::unique_ptr<Replica> replica_;
  std::unique_ptr<LeaderDuties> duties_;
  std::unique_ptr<OperatorApi> operators_;
  std::unique_ptr<DaemonService> daemons_;
  std::unique_ptr<Joiner> joiner_;
  std::unique_ptr<Announcer> announcer_;
  std::unique_ptr<PlatformWatch> platform_;
  RevisionNotices notices_;
  std::unique_ptr<wire::Server> wire_;
  std::unique_ptr<http::Server> http_;
  std::size_t requests_in_progress_ = 0;
  bool stopping_ = false;
};

}  // namespace pipitpond::control
