// Serves proxy daemons and other control replicas over the internal protocol.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/fetch_replies.hpp"
#include "control/leader_duties.hpp"
#include "control/replica.hpp"
#include "core/error.hpp"
#include "protocol/control_messages.hpp"
#include "wire/message_type.hpp"
#include "wire/server.hpp"

namespace pipitpond::control {

/// Handles an operator's request that a follower has forwarded to the leader.
using HandleForwarded =
    std::function<boost::asio::awaitable<protocol::OperatorReply>(protocol::OperatorRequest)>;

/// Handles the messages of the internal protocol.
class DaemonService {
 public:
  DaemonService(Replica& replica, LeaderDuties& duties, HandleForwarded handle_forwarded);

  /// Handles one message; a handler for wire::Server. Returns the body of the reply.
  boost::asio::awaitable<core::Result<std::string>> handle(wire::PeerId peer, wire::MessageType type,
                                                           std::string body);
  void peer_closed(wire::PeerId peer);

  /// Connections of daemons, over which they are notified of new revisions.
  [[nodiscard]] const std::set<wire::PeerId>& daemon_peers() const { return daemon_peers_; }
  /// The connection over which each other replica last sent a Raft message to this one.
  [[nodiscard]] const std::map<core::ControlId, wire::PeerId>& replica_peers() const {
    return replica_peers_;
  }
  /// The connection of one replica, for replies to a replica whose endpoint is unknown.
  [[nodiscard]] std::optional<wire::PeerId> peer_of(const core::ControlId& replica) const;
  /// Internal endpoints of the configured daemons that have sent no request to this replica since it started.
  [[nodiscard]] std::vector<core::Endpoint> silent_daemons() const;
  /// Heartbeats answered since the process started.
  [[nodiscard]] std::uint64_t heartbeats() const { return heartbeats_; }
  /// Messages received since the process started, including those of other replicas.
  [[nodiscard]] std::uint64_t messages() const { return messages_; }
  [[nodiscard]] std::uint64_t fetches() const { return fetches_; }
  [[nodiscard]] std::uint64_t fetch_bytes() const { return fetch_bytes_; }

 private:
  core::Result<std::string> on_raft(wire::PeerId peer, const std::string& body);
  boost::asio::awaitable<core::Result<std::string>> on_heartbeat(wire::PeerId peer, std::string body);
  /// Revision that holds every change acknowledged before the call, where no leader is known; 0: not shown.
  boost::asio::awaitable<protocol::Revision> complete_revision();
  core::Result<std::string> on_fetch(wire::PeerId peer, const std::string& body);
  boost::asio::awaitable<core::Result<std::string>> on_forward(std::string body);
  boost::asio::awaitable<core::Result<std::string>> on_departure(std::string body);
  [[nodiscard]] core::Error not_leader() const;
  void record_contact(const core::DaemonId& daemon);

  Replica& replica_;
  LeaderDuties& duties_;
  HandleForwarded handle_forwarded_;
  FetchReplies fetch_replies_;
  std::set<wire::PeerId> daemon_peers_;
  std::set<core::DaemonId> daemons_seen_;  ///< Only daemons that are in the configuration.
  std::map<core::ControlId, wire::PeerId> replica_peers_;
  std::uint64_t messages_ = 0;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t fetches_ = 0;
  std::uint64_t fetch_bytes_ = 0;
};

/// Internal endpoint of the current leader, or nothing if no leader is known.
std::optional<core::Endpoint> leader_endpoint(const raft::Node& node);

}  // namespace pipitpond::control
