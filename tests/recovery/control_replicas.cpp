#include "recovery/control_replicas.hpp"

#include <random>

#include "configuration/command.hpp"
#include "protocol/tunables.hpp"
#include "wire/codec.hpp"

namespace pipitpond::testing {
namespace {

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kNameBytes = 32;
const core::GroupName kGroup("plates");

std::string random_name(std::mt19937_64& random) {
  std::string name;
  while (name.size() < kNameBytes) {
    name.push_back(static_cast<char>('!' + random() % ('~' - '!')));
  }
  return name;
}

protocol::Route route(std::mt19937_64& random) {
  protocol::Route route;
  route.name = random_name(random);
  route.database = random_name(random);
  route.path_prefix = "/";
  route.group = kGroup;
  route.timeout_ms = 800;
  return route;
}

}  // namespace

ControlReplica::ControlReplica(boost::asio::io_context& io, const configuration::StateMachine& machine,
                               bool leading)
    : machine_(machine), fetch_replies_(machine), leading_(leading) {
  auto handler = [this](wire::PeerId peer, wire::MessageType type, std::string body) {
    return answer(peer, type, std::move(body));
  };
  server_ = std::move(wire::Server::start(io, "127.0.0.1", 0, handler).value());
}

boost::asio::awaitable<core::Result<std::string>> ControlReplica::answer(wire::PeerId /*peer*/,
                                                                         wire::MessageType type,
                                                                         std::string body) {
  if (type == wire::MessageType::kHeartbeat) {
    co_return wire::pack(on_heartbeat(wire::unpack<protocol::Heartbeat>(body).value()));
  }
  co_return wire::pack(fetch_replies_.page(wire::unpack<protocol::FetchRequest>(body).value()));
}

protocol::HeartbeatReply ControlReplica::on_heartbeat(const protocol::Heartbeat& heartbeat) const {
  protocol::HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  reply.from_leader = leading_;
  reply.leader = leader_;
  reply.current = machine_.configuration().revision;
  reply.lease_ms = static_cast<std::uint32_t>(core::to_millis(protocol::kDaemonLease));
  return reply;
}

ControlReplicas::ControlReplicas(boost::asio::io_context& io) {
  for (std::size_t number = 0; number < kReplicas; ++number) {
    replicas_.push_back(std::make_unique<ControlReplica>(io, machine_, number == 0));
    configuration::Command command;
    command.operation = configuration::RecordControl{
        core::ControlId("control-" + std::to_string(number)), replicas_.back()->endpoint(), {}};
    machine_.apply(++index_, command);
  }
  for (const auto& replica : replicas_) {
    replica->set_leader(replicas_.front()->endpoint());
  }
}

std::vector<core::Endpoint> ControlReplicas::endpoints() const {
  std::vector<core::Endpoint> all;
  for (const auto& replica : replicas_) {
    all.push_back(replica->endpoint());
  }
  return all;
}

std::uint64_t ControlReplicas::bytes_sent() const {
  std::uint64_t bytes = 0;
  for (const auto& replica : replicas_) {
    bytes += replica->bytes_sent();
  }
  return bytes;
}

void ControlReplicas::put_routes(std::size_t routes) {
  std::mt19937_64 random(routes);
  configuration::PutRouteTable put;
  put.table.version = ++version_;
  put.table.groups = {protocol::RoutedGroup{kGroup, 60, 1}};
  for (std::size_t number = 0; number < routes; ++number) {
    put.table.routes.push_back(route(random));
  }
  configuration::Command command;
  command.operation = std::move(put);
  machine_.apply(++index_, command);
}

}  // namespace pipitpond::testing
