#include "control/memory_cluster.hpp"

#include <boost/asio/post.hpp>
#include <stdexcept>

#include "configuration/state_machine.hpp"
#include "control/run_coroutine.hpp"

namespace pipitpond::control {

core::Result<void> MemoryDisk::persist(const raft::Ready& ready) {
  if (full_ && ready.must_sync) {
    return core::fail(core::ErrorKind::kNoCapacity, "The disk is full.", "Free some space.");
  }
  if (ready.hard_state) {
    state_.hard_state = *ready.hard_state;
  }
  if (ready.reset_log) {
    state_.entries.clear();
  }
  if (ready.snapshot) {
    state_.snapshot = *ready.snapshot;
  }
  if (!ready.entries.empty()) {
    const raft::Index first = ready.entries.front().index;
    std::erase_if(state_.entries, [first](const raft::Entry& entry) { return entry.index >= first; });
    state_.entries.insert(state_.entries.end(), ready.entries.begin(), ready.entries.end());
  }
  return core::outcome::success();
}

MemoryCluster::MemoryCluster(boost::asio::io_context& io) : io_(io) {
  raft::Membership membership;
  for (const std::string& name : names()) {
    membership.members.push_back(
        raft::Member{core::ControlId(name), {}, operator_endpoint(name), raft::MemberRole::kVoter, {}});
  }
  const auto initial_state = raft::bootstrap(membership, configuration::StateMachine().snapshot());
  for (const std::string& name : names()) {
    disks_.emplace(name, MemoryDisk(initial_state));
    start(name);
  }
}

MemoryCluster::~MemoryCluster() {
  for (const std::string& name : names()) {
    stop(name);
  }
}

void MemoryCluster::start(const std::string& name) {
  raft::Config config;
  config.id = core::ControlId(name);
  config.cluster = "test";
  ReplicaEvents events;
  events.configuration_changed = [](const protocol::Configuration&) {};
  events.leadership_changed = [](bool) {};
  events.failed = [](const core::Error& error) { throw std::runtime_error(error.message); };
  MemoryDisk& disk = disks_.at(name);
  replicas_[name] = std::make_unique<Replica>(
      io_, config, disk.state(), seed_++, [&disk](const raft::Ready& ready) { return disk.persist(ready); },
      [this](raft::Message message) { deliver(std::move(message)); }, events);
  replicas_[name]->start();
}

void MemoryCluster::stop(const std::string& name) {
  if (replicas_[name]) {
    replicas_[name]->stop();
    replicas_[name].reset();
  }
}

void MemoryCluster::deliver(raft::Message message) {
  const std::string from = message.from.value();
  const std::string to = message.to.value();
  boost::asio::post(io_, [this, from, to, message = std::move(message)] {
    const bool lost = partitioned_.contains(from) || partitioned_.contains(to);
    if (!lost && replicas_[to]) {
      replicas_[to]->receive(message);
    }
  });
}

std::optional<std::string> MemoryCluster::leader() const {
  for (const auto& [name, replica] : replicas_) {
    if (replica && replica->leading() && !partitioned_.contains(name)) {
      return name;
    }
  }
  return std::nullopt;
}

std::string MemoryCluster::wait_for_leader() {
  if (!run_until(io_, [this] { return leader().has_value(); })) {
    throw std::runtime_error("No leader was elected before the time limit of the test.");
  }
  return *leader();
}

}  // namespace pipitpond::control
