#include "control/replica.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>
#include <vector>

#include "control/membership_log.hpp"
#include "logging/logging.hpp"
#include "wire/codec.hpp"

namespace pipitpond::control {
namespace {

/// Applied entries that the log may hold before it is replaced by a snapshot.
constexpr raft::Index kCompactAfterEntries = 4096;

/// Between attempts to write to a full disk: a few in each election timeout, so that a replica whose disk has
/// room again takes part at once; an attempt that fails costs one call of the system.
constexpr core::Duration kFullDiskRetry = std::chrono::milliseconds(100);

core::Error no_room() {
  return core::Error{core::ErrorKind::kUnavailable, "The disk of this control replica is full.",
                     "Ask another control replica, and free space in this one's data folder.", 500};
}

core::Error not_leader() {
  return core::Error{core::ErrorKind::kNotLeader, "This control replica does not lead.",
                     "Ask the leader, or ask again in a moment.", 200};
}

core::Error unknown_fate() {
  return core::Error{core::ErrorKind::kTimeout, "The change was not confirmed: it may or may not be applied.",
                     "Send it again with the same key to any control replica: it applies once.", 500};
}

}  // namespace

Replica::Replica(boost::asio::io_context& io, raft::Config config, raft::PersistedState persisted,
                 std::uint64_t seed, PersistReady persist, SendMessage send, ReplicaEvents events)
    : io_(io),
      timer_(io),
      node_(std::move(config), persisted, seed, core::BootClock::now()),
      persist_(std::move(persist)),
      send_(std::move(send)),
      events_(std::move(events)) {
  if (!persisted.snapshot.state.empty()) {
    restore(persisted.snapshot);
  }
}

void Replica::start() {
  if (broken_) {
    events_.failed(*broken_);
    return;
  }
  running_ = true;
  told_revision_ = machine_.configuration().revision;
  events_.configuration_changed(machine_.configuration());
  schedule_work();
}

void Replica::stop() {
  running_ = false;
  timer_.cancel();
  note_leadership_loss();
}

void Replica::receive(raft::Message message) {
  if (without_room()) {
    return;  // An answer would promise what can't be made durable. Messages may be lost.
  }
  node_.step(core::BootClock::now(), std::move(message));
  schedule_work();
}

boost::asio::awaitable<core::Result<configuration::CommandResult>> Replica::propose(
    configuration::Command command, core::Duration timeout) {
  if (without_room()) {
    co_return no_room();
  }
  const auto position = node_.propose(core::BootClock::now(), wire::pack(command));
  if (!position) {
    co_return position.error();
  }
  auto done = std::make_shared<ProposalDone>(io_);
  const raft::Index index = position.value().index;
  proposals_[index] = Proposal{position.value().term, done};
  schedule_work();
  auto result = co_await ProposalDone::wait(done, timeout);
  if (!result) {
    const auto found = proposals_.find(index);
    if (found != proposals_.end() && found->second.done == done) {
      proposals_.erase(found);
    }
    co_return unknown_fate();
  }
  co_return std::move(*result);
}

boost::asio::awaitable<core::Result<void>> Replica::read_barrier(core::Duration timeout) {
  if (without_room()) {
    co_return no_room();
  }
  const raft::ReadToken token = next_read_++;
  const auto asked = node_.read_index(core::BootClock::now(), token);
  if (!asked) {
    co_return asked.error();
  }
  auto done = std::make_shared<ReadDone>(io_);
  reads_[token] = done;
  schedule_work();
  auto result = co_await ReadDone::wait(done, timeout);
  reads_.erase(token);
  if (!result) {
    co_return core::fail(core::ErrorKind::kTimeout, "No majority of the control replicas answered.",
                         "Ask another control replica, or see docs/operators/control-quorum-loss.md.", 500);
  }
  co_return std::move(*result);
}

core::Result<void> Replica::change_membership(const raft::MembershipChange& change) {
  if (without_room()) {
    return no_room();
  }
  const auto position = node_.propose_membership(core::BootClock::now(), change);
  if (!position) {
    return position.error();
  }
  schedule_work();
  return core::outcome::success();
}

core::Result<void> Replica::transfer_leadership() {
  if (without_room()) {
    return no_room();
  }
  auto result = node_.transfer_leadership(core::BootClock::now());
  schedule_work();
  return result;
}

void Replica::schedule_work() {
  if (work_scheduled_ || !running_) {
    return;
  }
  work_scheduled_ = true;
  boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      work();
    }
  });
}

void Replica::work() {
  work_scheduled_ = false;
  if (!running_) {
    return;
  }
  if (!carry_out_what_waited()) {
    return;
  }
  if (core::BootClock::now() >= node_.next_timer()) {
    node_.tick(core::BootClock::now());
  }
  while (node_.has_ready()) {
    if (!carry_out(node_.take_ready())) {
      return;
    }
  }
  note_leadership_loss();
  note_leadership_gain();
  note_candidacy();
  if (machine_.configuration().revision != told_revision_) {
    told_revision_ = machine_.configuration().revision;
    events_.configuration_changed(machine_.configuration());
  }
  compact_if_long();
  set_timer();
}

bool Replica::persist(const raft::Ready& ready) {
  auto persisted = persist_(ready);
  if (persisted) {
    syncs_ += ready.must_sync ? 1 : 0;
    return true;
  }
  if (persisted.error().kind == core::ErrorKind::kNoCapacity) {
    wait_for_room(ready, persisted.error());
  } else {
    running_ = false;
    events_.failed(persisted.error());
  }
  return false;
}

// A replica that ended instead would be started again, and end again, as long as its disk is full: 5 ends in
// a day with a disk that was full for 3.8 s, measured on a fleet of 29 machines. Waiting is safe for the same
// reason as a disk that stalls: nothing that depends on the Ready is sent, and no answer is taken, so that
// its majority and its leases run out.
void Replica::wait_for_room(raft::Ready ready, const core::Error& error) {
  if (!without_room()) {
    logging::logger("control")->error("event=disk_full leading={} {}", leading_, core::describe(error));
  }
  waiting_for_room_ = std::move(ready);
  note_leadership_loss();
  set_timer(kFullDiskRetry);
}

bool Replica::carry_out_what_waited() {
  if (!without_room()) {
    return true;
  }
  return carry_out(std::move(*waiting_for_room_));
}

bool Replica::carry_out(raft::Ready ready) {
  if (!persist(ready)) {
    return false;
  }
  if (without_room()) {
    waiting_for_room_.reset();
    logging::logger("control")->info("event=disk_has_room_again");
  }
  for (const raft::Message& message : ready.messages) {
    send_(message);
  }
  for (const raft::MembershipDecision& decision : ready.decisions) {
    log_decision(decision);
  }
  // Before anything of a later leader is applied, so that nothing more is decided in this one's name.
  note_leadership_loss();
  if (ready.restore && ready.snapshot) {
    restore(*ready.snapshot);
    if (broken_) {
      running_ = false;
      events_.failed(*broken_);
      return false;
    }
  }
  for (const raft::Entry& entry : ready.committed) {
    apply(entry);
  }
  for (const raft::ReadResult& read : ready.reads) {
    if (read.confirmed) {
      confirmed_reads_.emplace(read.index, read.token);
    } else {
      finish_read(read.token, core::outcome::failure(not_leader()));
    }
  }
  finish_confirmed_reads();
  node_.advance(core::BootClock::now());
  return true;
}

void Replica::finish_confirmed_reads() {
  while (!confirmed_reads_.empty() && confirmed_reads_.begin()->first <= applied_) {
    finish_read(confirmed_reads_.begin()->second, core::outcome::success());
    confirmed_reads_.erase(confirmed_reads_.begin());
  }
}

void Replica::finish_read(raft::ReadToken token, core::Result<void> result) {
  const auto found = reads_.find(token);
  if (found != reads_.end()) {
    found->second->deliver(std::move(result));
  }
}

void Replica::apply(const raft::Entry& entry) {
  configuration::CommandResult result;
  if (entry.kind == raft::EntryKind::kCommand) {
    const auto command = wire::unpack<configuration::Command>(entry.command);
    if (command) {
      result = machine_.apply(entry.index, command.value());
    } else {
      result.error = command.error();
    }
  } else if (entry.kind == raft::EntryKind::kMembership) {
    log_members(entry.index, entry.membership);
  }
  applied_ = entry.index;
  applied_bytes_ += entry.command.size();
  finish_proposal(entry, result);
}

void Replica::finish_proposal(const raft::Entry& entry, const configuration::CommandResult& result) {
  const auto found = proposals_.find(entry.index);
  if (found == proposals_.end()) {
    return;
  }
  const Proposal proposal = found->second;
  proposals_.erase(found);
  if (proposal.term == entry.term) {
    proposal.done->deliver(result);
  } else {
    // Another entry is committed in its place, so this command can't be any more.
    proposal.done->deliver(core::outcome::failure(not_leader()));
  }
}

void Replica::restore(const raft::Snapshot& snapshot) {
  const auto restored = machine_.restore(snapshot.state);
  applied_ = snapshot.index;
  applied_bytes_ = 0;
  snapshot_bytes_ = snapshot.state.size();
  if (!restored) {
    broken_ = restored.error();
  }
}

void Replica::note_leadership_loss() {
  const bool leads = running_ && !without_room() && node_.role() == raft::Role::kLeader;
  if (leads) {
    return;
  }
  fail_pending(unknown_fate());
  if (leading_) {
    leading_ = false;
    events_.leadership_changed(false);
  }
}

void Replica::note_candidacy() {
  if (node_.candidacies() == told_candidacies_) {
    return;
  }
  told_candidacies_ = node_.candidacies();
  log_candidacy(node_);
}

void Replica::note_leadership_gain() {
  const bool gained =
      !leading_ && node_.role() == raft::Role::kLeader && node_.has_committed_in_current_term();
  if (!gained) {
    return;
  }
  leading_ = true;
  events_.leadership_changed(true);
}

void Replica::fail_pending(const core::Error& error) {
  const auto proposals = std::exchange(proposals_, {});
  for (const auto& [index, proposal] : proposals) {
    proposal.done->deliver(core::outcome::failure(error));
  }
  const auto reads = std::exchange(reads_, {});
  for (const auto& [token, read] : reads) {
    read->deliver(core::outcome::failure(not_leader()));
  }
}

void Replica::compact_if_long() {
  const raft::Index applied = node_.applied_index();
  const bool many = applied >= node_.log().first_index() + kCompactAfterEntries;
  // A state that is itself long is not written anew for less than its own length of changes.
  const bool long_log = applied_bytes_ >= std::max(kCompactAfterBytes, snapshot_bytes_);
  if (!many && !long_log) {
    return;
  }
  std::string state = machine_.snapshot();
  applied_bytes_ = 0;
  snapshot_bytes_ = state.size();
  node_.compact(applied, std::move(state));
  schedule_work();
}

void Replica::set_timer() {
  set_timer(node_.next_timer() - core::BootClock::now());
}

void Replica::set_timer(core::Duration left) {
  timer_.expires_after(std::max(left, core::Duration::zero()));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
    if (!error && !alive.expired()) {
      schedule_work();
    }
  });
}

}  // namespace pipitpond::control
