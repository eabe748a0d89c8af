#include "control/peer_channels.hpp"

#include <limits>

#include "wire/codec.hpp"
#include "wire/message_type.hpp"

namespace pipitpond::control {

using boost::asio::awaitable;
using wire::MessageType;

PeerChannels::PeerChannels(boost::asio::io_context& io, std::function<void(raft::Message)> receive)
    : io_(io), receive_(std::move(receive)) {}

wire::Channel& PeerChannels::channel(const core::Endpoint& peer) {
  auto& slot = channels_[peer];
  if (!slot) {
    slot = wire::Channel::create(io_, peer, [this](MessageType type, std::string body) {
      auto message = wire::unpack<raft::Message>(body);
      if (type == MessageType::kRaft && message) {
        receive_(std::move(message.value()));
      }
    });
  }
  return *slot;
}

void PeerChannels::keep_connected(const core::Endpoint& peer) {
  channel(peer).connect();
}

void PeerChannels::send(const core::Endpoint& peer, const raft::Message& message) {
  channel(peer).notify(MessageType::kRaft, wire::pack(message));
}

std::uint64_t PeerChannels::bytes_received() const {
  std::uint64_t bytes = 0;
  for (const auto& [peer, channel] : channels_) {
    bytes += channel->bytes_received();
  }
  return bytes;
}

std::uint64_t PeerChannels::bytes_sent() const {
  std::uint64_t bytes = 0;
  for (const auto& [peer, channel] : channels_) {
    bytes += channel->bytes_sent();
  }
  return bytes;
}

awaitable<core::Result<protocol::OperatorReply>> PeerChannels::forward(core::Endpoint peer,
                                                                       protocol::OperatorRequest request,
                                                                       core::Duration timeout) {
  const auto body = co_await channel(peer).call(MessageType::kControlForward, wire::pack(request), timeout);
  if (!body) {
    co_return body.error();
  }
  co_return wire::unpack<protocol::OperatorReply>(body.value());
}

awaitable<core::Result<protocol::Revision>> PeerChannels::revision_of(core::Endpoint peer,
                                                                      core::Duration timeout) {
  // No change follows the maximum revision, so the reply is short; it still contains the peer's revision.
  protocol::FetchRequest request;
  request.after = std::numeric_limits<protocol::Revision>::max();
  const auto body = co_await channel(peer).call(MessageType::kFetch, wire::pack(request), timeout);
  if (!body) {
    co_return body.error();
  }
  const auto page = wire::unpack<protocol::FetchPage>(body.value());
  if (!page) {
    co_return page.error();
  }
  co_return page.value().newest;
}

}  // namespace pipitpond::control
