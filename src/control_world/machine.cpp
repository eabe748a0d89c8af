#include "control_world/machine.hpp"

#include <fmt/format.h>

#include <utility>

#include "storage/identity.hpp"
#include "storage/raft_storage.hpp"

namespace pipitpond::control_world {

namespace {

constexpr std::uint16_t kFirstPort = 7000;
const std::string kCluster = "simulated";
/// Changing calls of the disk that may still succeed in a crash during a write.
constexpr std::uint64_t kCallsInCrash = 8;

}  // namespace

ControlMachine::ControlMachine(Fleet& fleet, std::uint16_t number, simulation::ClockDrift drift)
    : fleet_(fleet),
      number_(number),
      endpoint_{"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + number)},
      host_(fleet.scheduler, fmt::format("c{}", number), drift),
      disk_(fleet.random.fork()),
      sync_time_(kUsualSyncTime) {}

raft::Member ControlMachine::as_member() const {
  return raft::Member{identity_, endpoint_, endpoint_, raft::MemberRole::kVoter, {}};
}

void ControlMachine::found(const raft::PersistedState& state) {
  founding_state_ = state;
  identity_ = core::ControlId(host_.name());
  const auto created = storage::RaftStorage::create(disk_, storage::Identity{kCluster, identity_}, state);
  fleet_.oracle.require(created.has_value(), "A disk could not be initialized.");
  if (!fleet_.switches.on(simulation::Mechanism::kSyncEveryWrite)) disk_.lose_syncs();
}

core::Result<void> ControlMachine::initialize_disk() {
  const bool forgets = !fleet_.switches.on(simulation::Mechanism::kLearnerAfterWipe);
  if (forgets && founding_state_) {
    const storage::Identity identity{kCluster, core::ControlId(host_.name())};
    return storage::RaftStorage::create(disk_, identity, *founding_state_);
  }
  const auto identity = storage::joining_identity(kCluster, host_.name(), fleet_.random.fork());
  return storage::RaftStorage::create(disk_, identity, raft::PersistedState{});
}

void ControlMachine::start() {
  if (host_.up()) return;
  auto identity = storage::read_identity(disk_);
  if (identity.has_value() && !identity.value()) {
    const auto initialized = initialize_disk();
    fleet_.oracle.require(initialized.has_value(), "An empty disk could not be initialized.");
    identity = storage::read_identity(disk_);
  }
  auto opened = storage::RaftStorage::open(disk_);
  if (identity.has_failure() || opened.has_failure()) {
    const auto& error = opened.has_failure() ? opened.error() : identity.error();
    fleet_.oracle.require(false, fmt::format("{} can't read its disk: {}", host_.name(), error.message));
    return;
  }
  identity_ = identity.value()->id;
  host_.start();
  fleet_.trace.line(host_.name(), "starts as {}", identity_.value());
  const ProcessPlace place{host_, endpoint_, kCluster, identity_, sync_time_, [this] { on_write(); }};
  process_ = std::make_unique<ControlProcess>(fleet_, place, std::move(opened.value()));
  process_->start();
}

void ControlMachine::crash() {
  if (!host_.up()) return;
  fleet_.trace.line(host_.name(), "crashes");
  // What was being written is cut short at a random call.
  disk_.fail_after(fleet_.random.below(kCallsInCrash));
  process_->write_unfinished();
  process_.reset();
  host_.stop();
  disk_.crash();
  writes_until_crash_ = 0;
}

void ControlMachine::crash_in_write(std::uint32_t writes, simulation::Action crashed) {
  writes_until_crash_ = writes;
  crashed_ = std::move(crashed);
}

void ControlMachine::on_write() {
  if (writes_until_crash_ == 0 || --writes_until_crash_ > 0) return;
  fleet_.scheduler.after({}, [this, life = host_.life()] {
    if (!host_.up() || host_.life() != life) return;
    crash();
    crashed_();
  });
}

void ControlMachine::wipe() {
  crash();
  disk_.wipe();
  fleet_.trace.line(host_.name(), "has lost its disk");
  identity_ = {};
}

bool ControlMachine::leads() const {
  return process_ != nullptr && process_->leading() && process_->node().has_quorum(host_.now());
}

void ControlMachine::receive(const raft::Message& message, const core::Endpoint& from) {
  if (process_) process_->receive(message, from);
}

}  // namespace pipitpond::control_world
