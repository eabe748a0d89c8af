#include "control_world/daemon.hpp"

#include <fmt/format.h>

#include <utility>
#include <variant>

#include "control_world/machine.hpp"
#include "storage/durable_file.hpp"
#include "wire/codec.hpp"

namespace pipitpond::control_world {

using simulation::Mechanism;

namespace {

constexpr std::uint16_t kFirstPort = 8000;
const std::string kFile = "configuration";

bool settle(const std::shared_ptr<bool>& call) {
  return !std::exchange(*call, true);
}

}  // namespace

ControlDaemon::ControlDaemon(Fleet& fleet, std::uint16_t number, simulation::ClockDrift drift,
                             std::vector<core::Endpoint> control)
    : fleet_(fleet),
      number_(number),
      id_(fmt::format("d{}", number)),
      host_(fleet.scheduler, id_.value(), drift),
      disk_(fleet.random.fork()),
      control_(std::move(control)) {}

agent::SessionOptions ControlDaemon::session_options() const {
  const core::Endpoint endpoint{"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + number_)};
  return agent::SessionOptions{id_, host_.life(), core::ZoneName("zone-0"), endpoint, endpoint, control_};
}

void ControlDaemon::start() {
  if (host_.up()) return;
  host_.start();
  fleet_.trace.line(id_.value(), "starts");
  session_ = std::make_unique<agent::Session>(session_options(), stored_configuration());
  owed_at_start_ = fleet_.oracle.least_current();
  fleet_.oracle.on_daemon_applied(id_, session_->configuration());
  tick();
}

void ControlDaemon::crash() {
  if (!host_.up()) return;
  fleet_.trace.line(id_.value(), "crashes");
  host_.stop();
  session_.reset();
  disk_.crash();
}

protocol::Configuration ControlDaemon::stored_configuration() {
  const auto bytes = storage::read_durable_file(disk_, kFile);
  if (bytes.has_failure()) {
    fleet_.oracle.require(bytes.error().kind == core::ErrorKind::kNotFound,
                          fmt::format("{} can't read its configuration.", id_.value()));
    return {};
  }
  return wire::unpack<protocol::Configuration>(bytes.value()).value();
}

bool ControlDaemon::store(const protocol::Configuration& configuration) {
  return storage::write_durable_file(disk_, kFile, wire::pack(configuration)).has_value();
}

protocol::Revision ControlDaemon::revision() const {
  return session_ ? session_->configuration().revision : 0;
}

bool ControlDaemon::has_lease() const {
  return session_ != nullptr && session_->lease_valid(host_.now());
}

void ControlDaemon::tick() {
  session_->tick(host_.now());
  carry_out_effects();
  host_.after(agent::kSessionTick, [this] { tick(); });
}

/// What a daemon obeys was complete at some moment of its life: it lacks nothing that was answered before.
void ControlDaemon::check_obeyed() {
  if (!session_->configuration_proven()) return;
  const auto revision = session_->configuration().revision;
  fleet_.oracle.require(
      revision >= owed_at_start_,
      fmt::format("{} obeys revision {}, and revision {} had been answered before it started.", id_.value(),
                  revision, owed_at_start_));
}

void ControlDaemon::carry_out_effects() {
  check_obeyed();
  for (const auto& effect : session_->take_effects()) {
    std::visit([this](const auto& value) { carry_out(value); }, effect);
  }
}

void ControlDaemon::carry_out(const agent::SendHeartbeat& effect) {
  const auto call = std::make_shared<bool>(false);
  auto* machine = fleet_.directory.machine_at(effect.to);
  const auto on_reply = [this, call, to = effect.to,
                         life = host_.life()](const protocol::HeartbeatReply& reply) {
    if (life != host_.life() || !settle(call)) return;
    session_->on_heartbeat_reply(host_.now(), to, reply);
    carry_out_effects();
  };
  if (machine != nullptr) {
    fleet_.network.send(host_, machine->host(), [this, machine, heartbeat = effect.heartbeat, on_reply] {
      if (machine->process() == nullptr) return;
      machine->process()->heartbeat(heartbeat, [this, machine, on_reply](const auto& reply) {
        fleet_.network.send(machine->host(), host_, [on_reply, reply] { on_reply(reply); });
      });
    });
  }
  const auto sequence = effect.heartbeat.sequence;
  host_.after(agent::kHeartbeatTimeout, [this, call, to = effect.to, sequence] {
    if (!settle(call)) return;
    session_->on_heartbeat_failed(host_.now(), to, sequence);
    carry_out_effects();
  });
}

void ControlDaemon::carry_out(const agent::SendFetch& effect) {
  const auto call = std::make_shared<bool>(false);
  auto* machine = fleet_.directory.machine_at(effect.to);
  auto request = effect.request;
  if (!fleet_.switches.on(Mechanism::kNewestRevisionOnly) && !effect.probe) request.after = 0;
  const auto on_reply = [this, call, effect, life = host_.life()](const protocol::FetchReply& reply) {
    if (life != host_.life() || !settle(call)) return;
    if (effect.probe) {
      session_->on_probe_ended(host_.now(), effect.to, true);
      carry_out_effects();
    } else {
      take(effect.to, reply);
    }
  };
  if (machine != nullptr) {
    fleet_.network.send(host_, machine->host(), [this, machine, request, on_reply] {
      if (machine->process() == nullptr) return;
      const auto reply = machine->process()->fetch(request);
      fleet_.network.send(machine->host(), host_, [on_reply, reply] { on_reply(reply); });
    });
  }
  host_.after(effect.timeout, [this, call, effect] {
    if (!settle(call)) return;
    if (effect.probe) {
      session_->on_probe_ended(host_.now(), effect.to, false);
    } else {
      session_->on_fetch_failed(host_.now(), effect.to);
    }
    carry_out_effects();
  });
}

void ControlDaemon::take(const core::Endpoint& from, const protocol::FetchReply& reply) {
  if (!fleet_.switches.on(Mechanism::kNewestRevisionOnly)) {
    take_whatever_came(reply);
    return;
  }
  const auto next = session_->on_fetch_reply(host_.now(), from, reply);
  if (next && store(*next)) {
    session_->apply_fetched(host_.now());
    fleet_.oracle.on_daemon_applied(id_, session_->configuration());
  } else if (next) {
    session_->drop_fetched(host_.now());
  }
  carry_out_effects();
}

void ControlDaemon::take_whatever_came(const protocol::FetchReply& reply) {
  auto configuration = reply.snapshot.value_or(protocol::Configuration{});
  for (const auto& change : reply.changes) protocol::apply(configuration, change);
  if (configuration.revision == 0 || !store(configuration)) return;
  session_ = std::make_unique<agent::Session>(session_options(), configuration);
  fleet_.oracle.on_daemon_applied(id_, session_->configuration());
}

}  // namespace pipitpond::control_world
