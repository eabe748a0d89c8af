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

/// One channel per endpoint, created at its first use.
class PeerChannels {
 public:
  /// `receive` gets the Raft messages that peers send back over these channels.
  PeerChannels(boost::asio::io_context& io, std::function<void(raft::Message)> receive);

  /// Connects in advance, because messages are dropped while there is no connection.
  void keep_connected(const core::Endpoint& peer);
  /// Sends a Raft message without confirmation; it may be lost.
  void send(const core::Endpoint& peer, const raft::Message& message);
  /// Forwards an operator's request and waits for the reply.
  boost::asio::awaitable<core::Result<protocol::OperatorReply>> forward(core::Endpoint peer,
                                                                        protocol::OperatorRequest request,
                                                                        core::Duration timeout);
  /// Returns the revision that a peer has applied. Fails if the peer does not reply in time.
  boost::asio::awaitable<core::Result<protocol::Revision>> revision_of(core::Endpoint peer,
                                                                       core::Duration timeout);

  /// Bytes over all channels since the process started, including frame headers.
  [[nodiscard]] std::uint64_t bytes_received() const;
  [[nodiscard]] std::uint64_t bytes_sent() const;

 private:
  wire::Channel& channel(const core::Endpoint& peer);

  boost::asio::io_context& io_;
  std::function<void(raft::Message)> receive_;
  std::map<core::Endpoint, std::unique_ptr<wire::Channel>> channels_;
};

}  // namespace pipitpond::control
