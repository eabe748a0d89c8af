// Outgoing connections to other control replicas.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "protocol/control_messages.hpp"
#include "raft/message.hpp"
#include "wire/channel.hpp"

namespace pipitpond::control {

/// One channel for each endpoint, made at its first use.
class PeerChannels {
 public:
  /// `receive` gets the Raft messages that peers send back over these channels.
  PeerChannels(boost::asio::io_context& io, std::function<void(raft::Message)> receive);

  /// Sees to it that there is a connection by the time that one is needed.
  void keep_connected(const core::Endpoint& peer);
  /// Sends a Raft message; it may be lost.
  void send(const core::Endpoint& peer, const raft::Message& message);
  /// Passes an operator's request on.
  boost::asio::awaitable<core::Result<protocol::OperatorReply>> forward(core::Endpoint peer,
                                                                        protocol::OperatorRequest request,
                                                                        core::Duration timeout);
  /// The revision that a peer has; fails when it can't be asked.
  boost::asio::awaitable<core::Result<protocol::Revision>> revision_of(core::Endpoint peer,
                                                                       core::Duration timeout);

  /// Bytes over all channels since start, frames included.
  [[nodiscard]] std::uint64_t bytes_received() const;
  [[nodiscard]] std::uint64_t bytes_sent() const;

 private:
  wire::Channel& channel(const core::Endpoint& peer);

  boost::asio::io_context& io_;
  std::function<void(raft::Message)> receive_;
  std::map<core::Endpoint, std::unique_ptr<wire::Channel>> channels_;
};

}  // namespace pipitpond::control
