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

/// Sends a message to all replicas with an open connection to this one, over these connections. After the
/// loss of its disk a replica can reach members this way that it does not know: they still connect to its
/// endpoint to send to its former identity.
using SendToCallers = std::function<void(const raft::Message&)>;

/// Sends join requests until the replica is a member.
class Joiner {
 public:
  /// `self` has the addresses at which others reach this replica. It replaces a member with the same
  /// addresses.
  Joiner(boost::asio::io_context& io, const raft::Node& node, PeerChannels& peers,
         SendToCallers send_to_callers, Peer self, std::vector<Peer> configured);

  /// Sends requests at intervals while the replica is not a member, until stop(). The joiner must outlive the
  /// call.
  boost::asio::awaitable<void> run();
  void stop() { stopped_ = true; }
  /// Replaces the peers that the settings name.
  void set_configured(std::vector<Peer> configured) { configured_ = std::move(configured); }

 private:
  void ask(core::Instant now);
  [[nodiscard]] std::vector<core::Endpoint> targets() const;
  [[nodiscard]] core::Duration pause(core::Instant now) const;
  /// Logs the receivers and the time since the first request, at the first request and then once a second.
  void log_request(core::Instant now, const std::vector<core::Endpoint>& asked);

  boost::asio::io_context& io_;
  const raft::Node& node_;
  PeerChannels& peers_;
  SendToCallers send_to_callers_;
  Peer self_;
  std::vector<Peer> configured_;
  bool stopped_ = false;
  std::optional<core::Instant> asking_since_;
  core::Instant next_line_{};
};

}  // namespace pipitpond::control
