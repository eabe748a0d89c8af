// Asks other control replicas to be let into the membership, as long as this one is no part of it.
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

/// Sends a message to the replicas that have called at this one's port, over their own connections. Of a
/// replica that lost its disk, the other members still call the identity that was lost with it.
using SendToCallers = std::function<void(const raft::Message&)>;

class Joiner {
 public:
  /// `self` as others reach it: it stands in for the member that had its addresses.
  Joiner(boost::asio::io_context& io, const raft::Node& node, PeerChannels& peers,
         SendToCallers send_to_callers, Peer self, std::vector<Peer> configured);

  /// Asks while the replica wants to join, until stop(). The joiner must outlive the call.
  boost::asio::awaitable<void> run();
  void stop() { stopped_ = true; }
  /// Replaces the replicas that the settings name.
  void set_configured(std::vector<Peer> configured) { configured_ = std::move(configured); }

 private:
  void ask(core::Instant now);
  [[nodiscard]] std::vector<core::Endpoint> targets() const;
  [[nodiscard]] core::Duration pause(core::Instant now) const;
  /// Says whom it asks for how long, at the first request and then once a second.
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
