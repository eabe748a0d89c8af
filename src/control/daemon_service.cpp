#include "control/daemon_service.hpp"

#include <utility>

#include "wire/codec.hpp"

namespace pipitpond::control {

using boost::asio::awaitable;
using wire::MessageType;

namespace {

/// A few trips between zones. Without an answer by then a majority is not there or does not agree, and the
/// daemon goes on to the next replica.
constexpr core::Duration kLeaderlessReadTimeout = std::chrono::milliseconds(50);

}  // namespace

std::optional<core::Endpoint> leader_endpoint(const raft::Node& node) {
  if (!node.leader()) {
    return std::nullopt;
  }
  const raft::Member* leader = node.membership().find(*node.leader());
  if (leader == nullptr) {
    return std::nullopt;
  }
  return leader->internal;
}

DaemonService::DaemonService(Replica& replica, LeaderDuties& duties, HandleForwarded handle_forwarded)
    : replica_(replica),
      duties_(duties),
      handle_forwarded_(std::move(handle_forwarded)),
      fetch_replies_(replica.machine()) {}

awaitable<core::Result<std::string>> DaemonService::handle(wire::PeerId peer, MessageType type,
                                                           std::string body) {
  ++messages_;
  switch (type) {
    case MessageType::kRaft:
      co_return on_raft(peer, body);
    case MessageType::kHeartbeat:
      co_return co_await on_heartbeat(peer, std::move(body));
    case MessageType::kFetch:
      co_return on_fetch(peer, body);
    case MessageType::kControlForward:
      co_return co_await on_forward(std::move(body));
    case MessageType::kDeparture:
      co_return co_await on_departure(std::move(body));
    default:
      co_return core::fail(core::ErrorKind::kInvalidArgument,
                           "Control does not handle messages of this type.",
                           "Check that the endpoint belongs to the intended kind of process.");
  }
}

void DaemonService::peer_closed(wire::PeerId peer) {
  daemon_peers_.erase(peer);
  std::erase_if(replica_peers_, [peer](const auto& entry) { return entry.second == peer; });
}

void DaemonService::record_contact(const core::DaemonId& daemon) {
  // Only admitted daemons, so that requests with arbitrary names cannot grow the set without bound.
  if (replica_.machine().configuration().daemons.contains(daemon)) {
    daemons_seen_.insert(daemon);
  }
}

std::vector<core::Endpoint> DaemonService::silent_daemons() const {
  std::vector<core::Endpoint> silent;
  for (const auto& [id, daemon] : replica_.machine().configuration().daemons) {
    if (!daemons_seen_.contains(id)) {
      silent.push_back(daemon.internal);
    }
  }
  return silent;
}

std::optional<wire::PeerId> DaemonService::peer_of(const core::ControlId& replica) const {
  const auto found = replica_peers_.find(replica);
  return found == replica_peers_.end() ? std::nullopt : std::optional(found->second);
}

core::Result<std::string> DaemonService::on_raft(wire::PeerId peer, const std::string& body) {
  auto message = wire::unpack<raft::Message>(body);
  if (!message) {
    return message.error();
  }
  replica_peers_[message.value().from] = peer;
  replica_.receive(std::move(message.value()));
  return std::string();
}

awaitable<core::Result<std::string>> DaemonService::on_heartbeat(wire::PeerId peer, std::string body) {
  const auto heartbeat = wire::unpack<protocol::Heartbeat>(body);
  if (!heartbeat) {
    co_return heartbeat.error();
  }
  daemon_peers_.insert(peer);
  record_contact(heartbeat.value().daemon);
  ++heartbeats_;
  protocol::HeartbeatReply reply;
  reply.sequence = heartbeat.value().sequence;
  if (replica_.leading()) {
    reply = duties_.on_heartbeat(heartbeat.value());
    reply.from_leader = true;
  } else if (!replica_.node().leader()) {
    reply.complete = co_await complete_revision();
  }
  reply.leader = leader_endpoint(replica_.node()).value_or(core::Endpoint{});
  for (const raft::Member& member : replica_.node().membership().members) {
    reply.control.push_back(member.internal);
  }
  co_return wire::pack(reply);
}

awaitable<protocol::Revision> DaemonService::complete_revision() {
  const auto shown = co_await replica_.read_barrier_without_leader(kLeaderlessReadTimeout);
  co_return shown ? replica_.machine().configuration().revision : 0;
}

core::Result<std::string> DaemonService::on_fetch(wire::PeerId peer, const std::string& body) {
  const auto request = wire::unpack<protocol::FetchRequest>(body);
  if (!request) {
    return request.error();
  }
  daemon_peers_.insert(peer);
  record_contact(request.value().daemon);
  ++fetches_;
  const protocol::FetchPage page = fetch_replies_.page(request.value());
  fetch_bytes_ += page.bytes.size();
  return wire::pack(page);
}

awaitable<core::Result<std::string>> DaemonService::on_forward(std::string body) {
  auto request = wire::unpack<protocol::OperatorRequest>(body);
  if (!request) {
    co_return request.error();
  }
  const auto reply = co_await handle_forwarded_(std::move(request.value()));
  co_return wire::pack(reply);
}

awaitable<core::Result<std::string>> DaemonService::on_departure(std::string body) {
  const auto departure = wire::unpack<protocol::Departure>(body);
  if (!departure) {
    co_return departure.error();
  }
  if (!replica_.leading()) {
    co_return not_leader();
  }
  const auto removed = co_await duties_.on_departure(departure.value());
  if (!removed) {
    co_return removed.error();
  }
  co_return wire::pack(protocol::Acknowledgement{});
}

core::Error DaemonService::not_leader() const {
  const auto leader = leader_endpoint(replica_.node());
  const std::string remedy = leader ? "Ask " + core::to_string(*leader) + "." : "Retry in a moment.";
  return core::Error{core::ErrorKind::kNotLeader, "This control replica does not lead.", remedy, 100};
}

}  // namespace pipitpond::control
