// Requests to join the Raft membership while this control replica is not a member.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "control/options.hpp"
#include "control/peer_channels.hpp"
#include "core/clock.hpp"
#include "raft/node.hpp"

namespace pipitpond::control {

/// Sends a message to all replicas with an open connection to this one, over these connections. A replica
/// that has lost its disk reaches members this way whose endpoints it no longer knows, because they still
/// connect to it to send messages to its former identity.
using SendToConnectedReplicas = std::function<void(const raft::Message&)>;

/// Sends join requests until the replica is a member.
class Joiner {
 public:
  /// `self` has the addresses at which others reach this replica. It replaces a member with the same
  /// addresses.
  Joiner(boost::asio::io_context& io, const raft::Node& node, PeerChannels& peers,
         SendToConnectedReplicas send_to_connected_replicas, Peer self, std::vector<Peer> configured_peers);

  /// Sends requests at intervals while the replica is not a member, until stop(). The joiner must outlive the
  /// call.
  boost::asio::awaitable<void> run();
  void stop() { stopped_ = true; }
  /// Replaces the peers that the settings name.
  void set_configured(std::vector<Peer> configured_peers) { configured_peers_ = std::move(configured_peers); }

 private:
  void send_requests(core::Instant now);
  [[nodiscard]] std::vector<core::Endpoint> targets() const;
  [[nodiscard]] core::Duration interval(core::Instant now) const;
  /// Logs the receivers and the time since the first request, at the first request and then once a second.
  void log_request(core::Instant now, const std::vector<core::Endpoint>& recipients);

  boost::asio::io_context& io_;
  const raft::Node& node_;
  PeerChannels& peers_;
  SendToConnectedReplicas send_to_connected_replicas_;
  Peer self_;
  std::vector<Peer> configured_peers_;
  bool stopped_ = false;
  std::optional<core::Instant> first_request_at_;
  core::Instant next_log_at_{};
};

}  // namespace pipitpond::control
