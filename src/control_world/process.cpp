#include "control_world/process.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "control_world/machine.hpp"
#include "wire/codec.hpp"

namespace pipitpond::control_world {

using simulation::Mechanism;

namespace {

constexpr core::Duration kShortestSync = std::chrono::microseconds(100);
constexpr core::Duration kJoinInterval = std::chrono::milliseconds(500);
constexpr core::Duration kLeaderTick = std::chrono::milliseconds(100);
/// Small, so that a run takes many snapshots.
constexpr raft::Index kCompactAfterEntries = 48;
constexpr std::size_t kTrailingEntries = 12;
/// Small, so that daemons that were away get whole configurations.
constexpr std::size_t kRecentChanges = 100;

configuration::Limits limits() {
  configuration::Limits limits;
  limits.recent_changes = kRecentChanges;
  return limits;
}

}  // namespace

ControlProcess::ControlProcess(Fleet& fleet, ProcessPlace place, storage::RaftStorage storage)
    : fleet_(fleet),
      place_(std::move(place)),
      storage_(std::move(storage)),
      initial_(storage_.take_state()),
      node_(make_config(), initial_, fleet.random.fork(), place_.host.now()),
      machine_(limits()) {}

raft::Config ControlProcess::make_config() const {
  raft::Config config;
  config.id = place_.identity;
  config.cluster = place_.cluster;
  config.trailing_entries = kTrailingEntries;
  config.max_entries_per_append = fleet_.max_entries_per_append;
  config.mechanisms.pre_vote = fleet_.switches.on(Mechanism::kPreVote);
  config.mechanisms.check_quorum = fleet_.switches.on(Mechanism::kCheckQuorum);
  config.mechanisms.sync_before_send = fleet_.switches.on(Mechanism::kSyncBeforeSend);
  config.mechanisms.own_term_commit = fleet_.switches.on(Mechanism::kOwnTermCommit);
  config.mechanisms.read_quorum = fleet_.switches.on(Mechanism::kReadQuorum);
  config.mechanisms.one_membership_change = fleet_.switches.on(Mechanism::kOneMembershipChange);
  return config;
}

void ControlProcess::start() {
  if (!initial_.snapshot.state.empty()) restore(initial_.snapshot);
  initial_ = {};
  ask_to_join();
  leader_tick();
  work();
}

void ControlProcess::write_unfinished() {
  if (writing_) (void)storage_.persist(*writing_);
}

void ControlProcess::receive(const raft::Message& message, const core::Endpoint& from) {
  inbox_.push_back(Received{message, from});
  work();
}

void ControlProcess::work() {
  while (!writing_) {
    for (auto& received : std::exchange(inbox_, {})) {
      heard_at_[received.message.from] = received.from;
      node_.step(place_.host.now(), std::move(received.message));
    }
    if (place_.host.now() >= node_.next_timer()) node_.tick(place_.host.now());
    if (!node_.has_ready()) break;
    begin(node_.take_ready());
  }
  note_leadership_loss();
  note_role();
  set_timer();
}

void ControlProcess::note_role() {
  if (node_.role() != raft::Role::kLeader || told_term_ == node_.term()) return;
  told_term_ = node_.term();
  std::vector<core::ControlId> others;
  for (auto* machine : fleet_.directory.machines()) {
    const bool other = machine->process() != nullptr && machine->process() != this;
    if (!other || machine->process()->node().term() == node_.term()) continue;
    if (machine->process()->node().has_quorum(machine->host().now())) others.push_back(machine->identity());
  }
  fleet_.oracle.on_leader(place_.identity, node_.term(), others);
}

void ControlProcess::begin(raft::Ready ready) {
  if (!ready.must_sync) {
    finish(ready);
    return;
  }
  if (!fleet_.switches.on(Mechanism::kSyncBeforeSend)) send(std::exchange(ready.messages, {}));
  writing_ = std::move(ready);
  place_.on_write();
  place_.host.after(fleet_.random.between(kShortestSync, place_.sync_time), [this] {
    const raft::Ready written = std::move(*writing_);
    writing_.reset();
    finish(written);
    work();
  });
}

void ControlProcess::finish(const raft::Ready& ready) {
  const auto persisted = storage_.persist(ready);
  fleet_.oracle.require(persisted.has_value(), "A write to a healthy disk failed.");
  send(ready.messages);
  note_leadership_loss();
  if (ready.restore && ready.snapshot) restore(*ready.snapshot);
  for (const auto& entry : ready.committed) apply(entry);
  answer_reads(ready);
  node_.advance(place_.host.now());
  note_leadership_gain();
  if (machine_.configuration().revision != told_revision_) on_configuration();
  compact_if_long();
}

void ControlProcess::send(const std::vector<raft::Message>& messages) {
  for (const auto& message : messages) {
    const auto* member = node_.membership().find(message.to);
    const auto heard = heard_at_.find(message.to);
    if (member == nullptr && heard == heard_at_.end()) continue;
    auto* receiver = fleet_.directory.machine_at(member == nullptr ? heard->second : member->internal);
    if (receiver == nullptr) continue;
    fleet_.oracle.on_message(message);
    const auto shared = std::make_shared<const raft::Message>(message);
    fleet_.network.send(place_.host, receiver->host(),
                        [receiver, shared, from = place_.endpoint] { receiver->receive(*shared, from); });
  }
}

void ControlProcess::apply(const raft::Entry& entry) {
  configuration::CommandResult result;
  if (entry.kind == raft::EntryKind::kCommand) {
    auto command = wire::unpack<configuration::Command>(entry.command);
    fleet_.oracle.require(command.has_value(), "A committed command can't be read.");
    result = machine_.apply(entry.index, as_applied(std::move(command.value())));
  }
  applied_ = entry.index;
  fleet_.oracle.on_applied(place_.identity, entry, machine_.configuration());
  finish_proposal(entry, result);
}

void ControlProcess::restore(const raft::Snapshot& snapshot) {
  const auto restored = machine_.restore(snapshot.state);
  fleet_.oracle.require(restored.has_value(), "A snapshot can't be read.");
  applied_ = snapshot.index;
  fleet_.oracle.on_restored(place_.identity, snapshot.index, machine_.configuration());
}

void ControlProcess::compact_if_long() {
  const auto applied = node_.applied_index();
  if (applied >= node_.log().first_index() + kCompactAfterEntries)
    node_.compact(applied, machine_.snapshot());
}

void ControlProcess::set_timer() {
  const auto due = node_.next_timer();
  if (writing_ || (timer_ && *timer_ <= due)) return;
  timer_ = due;
  place_.host.at(due, [this, due] {
    if (timer_ == due) timer_.reset();
    work();
  });
}

void ControlProcess::ask_to_join() {
  place_.host.after(kJoinInterval, [this] { ask_to_join(); });
  if (!node_.wants_to_join()) return;
  const raft::Member self{place_.identity, place_.endpoint, place_.endpoint, raft::MemberRole::kLearner, {}};
  const auto request = std::make_shared<const raft::Message>(node_.join_request(self));
  for (const auto& endpoint : whom_to_ask()) {
    auto* peer = fleet_.directory.machine_at(endpoint);
    if (peer == nullptr || endpoint == place_.endpoint) continue;
    fleet_.network.send(place_.host, peer->host(),
                        [peer, request, from = place_.endpoint] { peer->receive(*request, from); });
  }
}

std::set<core::Endpoint> ControlProcess::whom_to_ask() const {
  std::set<core::Endpoint> asked;
  for (const auto& seed : fleet_.directory.seeds()) asked.insert(seed);
  for (const auto& contact : node_.join_endpoints()) asked.insert(contact);
  for (const auto& [caller, endpoint] : heard_at_) asked.insert(endpoint);
  return asked;
}

void ControlProcess::leader_tick() {
  if (leading_) {
    for (const auto& lost : leases_.removable(place_.host.now())) {
      propose_own(configuration::RemoveDaemon{lost.daemon, lost.incarnation});
    }
    align_controls();
    work();
  }
  place_.host.after(kLeaderTick, [this] { leader_tick(); });
}

}  // namespace pipitpond::control_world
