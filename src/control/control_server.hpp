// The control daemon: puts the parts together, serves daemons and operators, and stops in order.
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

/// An HTTP request of another interface, translated into a call of the operators' interface.
struct TranslatedCall {
  protocol::OperatorRequest request;
  /// Makes the answer of the other interface.
  std::function<http::Response(protocol::OperatorReply)> answer;
};

/// Translates a request; empty when it is none of the other interface.
using TranslateRequest = std::function<std::optional<TranslatedCall>(const http::Request&)>;

/// Numbers what a leader orders from outside: grows with each change of leader.
struct FencedLeadership {
  std::function<bool()> holds;           ///< This replica leads and surely no other one does.
  std::function<std::uint64_t()> token;  ///< The leader's term.
};

/// Ways in which control meets systems that don't speak its own protocols. Each may be left out.
struct ControlAdapters {
  TranslateRequest translate_request;
  std::function<std::unique_ptr<DatabaseCalls>(boost::asio::io_context&, FencedLeadership,
                                               DatabaseCallCallbacks)>
      make_database_calls;
};

/// One control process.
class ControlServer {
 public:
  /// `failed` is called when the process must end because its disk can't be trusted any more.
  ControlServer(boost::asio::io_context& io, ControlOptions options,
                std::function<void(const core::Error&)> failed, ControlAdapters adapters = {});
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// Opens the disk and the ports.
  boost::asio::awaitable<core::Result<void>> start();
  /// Takes over the replicas that the settings name; all else needs a restart.
  void reload(const ControlOptions& options);
  /// Planned stop: hands leadership over, lets requests in progress finish, closes everything.
  boost::asio::awaitable<void> stop();

  [[nodiscard]] const Replica& replica() const { return *replica_; }

 private:
  core::Result<void> open_ports();
  void make_replica(raft::PersistedState persisted);
  void make_services();
  void send(raft::Message message);
  void send_to_callers(const raft::Message& message);
  void on_configuration(const protocol::Configuration& configuration);
  void tell_daemons(protocol::Revision revision);
  void on_leadership(bool leading);
  std::unique_ptr<DatabaseCalls> make_database_calls(DatabaseCallCallbacks answers);
  void on_http(http::Request request, http::Responder respond);
  boost::asio::awaitable<void> serve_translated(TranslatedCall call, http::Responder respond);
  boost::asio::awaitable<void> serve_operator(http::Request request, http::Responder respond);
  boost::asio::awaitable<protocol::OperatorReply> serve_forwarded(protocol::OperatorRequest request);
  boost::asio::awaitable<void> announce();
  boost::asio::awaitable<void> keep_members_connected();
  boost::asio::awaitable<void> hand_over_leadership();
  boost::asio::awaitable<void> finish_requests();
  boost::asio::awaitable<void> pause(core::Duration duration);
  [[nodiscard]] http::Response readiness() const;
  [[nodiscard]] EdgeCounters edge_counters() const;

  boost::asio::io_context& io_;
  ControlOptions options_;
  std::function<void(const core::Error&)> failed_;
  ControlAdapters adapters_;
  PeerChannels peers_;
  StartedDisk disk_;
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
