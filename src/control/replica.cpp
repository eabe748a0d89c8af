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

/// Number of applied entries after which the log is compacted into a snapshot.
constexpr raft::Index kCompactAfterEntries = 4096;

/// Interval between attempts to write to a full disk: several per election timeout, so that the replica takes
/// part again as soon as there is space. A failed attempt costs one system call.
constexpr core::Duration kFullDiskRetry = std::chrono::milliseconds(100);

core::Error disk_full_error() {
  return core::Error{core::ErrorKind::kUnavailable, "The disk of this control replica is full.",
                     "Ask another control replica, and free space in this one's data folder.", 500};
}

core::Error not_leader() {
  return core::Error{core::ErrorKind::kNotLeader, "This control replica does not lead.",
                     "Ask the leader, or retry in a moment.", 200};
}

core::Error unknown_outcome() {
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
  if (restore_error_) {
    events_.failed(*restore_error_);
    return;
  }
  running_ = true;
  log_state_read();
  notified_revision_ = machine_.configuration().revision;
  events_.configuration_changed(machine_.configuration());
  schedule_processing();
}

void Replica::log_state_read() const {
  const raft::Log& log = node_.log();
  logging::logger("control")->info("event=log_read snapshot={}.{} last={}.{} term={} commit={}",
                                   log.snapshot().term, log.snapshot().index, log.last().term,
                                   log.last().index, node_.term(), node_.commit_index());
}

void Replica::stop() {
  running_ = false;
  timer_.cancel();
  detect_leadership_loss();
}

void Replica::receive(raft::Message message) {
  if (disk_full()) {
    return;  // A reply would acknowledge state that can't be persisted. Raft tolerates lost messages.
  }
  node_.step(core::BootClock::now(), std::move(message));
  schedule_processing();
}

boost::asio::awaitable<core::Result<configuration::CommandResult>> Replica::propose(
    configuration::Command command, core::Duration timeout) {
  if (disk_full()) {
    co_return disk_full_error();
  }
  const auto position = node_.propose(core::BootClock::now(), wire::pack(command));
  if (!position) {
    co_return position.error();
  }
  auto completion = std::make_shared<ProposalCompletion>(io_);
  const raft::Index index = position.value().index;
  proposals_[index] = Proposal{position.value().term, completion};
  schedule_processing();
  auto result = co_await ProposalCompletion::wait(completion, timeout);
  if (!result) {
    const auto found = proposals_.find(index);
    if (found != proposals_.end() && found->second.completion == completion) {
      proposals_.erase(found);
    }
    co_return unknown_outcome();
  }
  co_return std::move(*result);
}

boost::asio::awaitable<core::Result<void>> Replica::read_barrier(core::Duration timeout) {
  if (disk_full()) {
    co_return disk_full_error();
  }
  const raft::ReadToken token = next_read_token_++;
  const auto asked = node_.read_index(core::BootClock::now(), token);
  if (!asked) {
    co_return asked.error();
  }
  co_return co_await wait_for_read(token, reads_, timeout);
}

boost::asio::awaitable<core::Result<void>> Replica::read_barrier_without_leader(core::Duration timeout) {
  if (disk_full()) {
    co_return disk_full_error();
  }
  const raft::ReadToken token = next_read_token_++;
  node_.read_without_leader(core::BootClock::now(), token);
  co_return co_await wait_for_read(token, leaderless_reads_, timeout);
}

boost::asio::awaitable<core::Result<void>> Replica::wait_for_read(raft::ReadToken token, PendingReads& reads,
                                                                  core::Duration timeout) {
  auto completion = std::make_shared<ReadCompletion>(io_);
  reads[token] = completion;
  schedule_processing();
  auto result = co_await ReadCompletion::wait(completion, timeout);
  reads.erase(token);
  if (!result) {
    co_return core::fail(core::ErrorKind::kTimeout, "No majority of the control replicas answered in time.",
                         "Ask another control replica, or see docs/operators/control-quorum-loss.md.", 500);
  }
  co_return std::move(*result);
}

core::Result<void> Replica::change_membership(const raft::MembershipChange& change) {
  if (disk_full()) {
    return disk_full_error();
  }
  const auto position = node_.propose_membership(core::BootClock::now(), change);
  if (!position) {
    return position.error();
  }
  schedule_processing();
  return core::outcome::success();
}

core::Result<void> Replica::transfer_leadership() {
  if (disk_full()) {
    return disk_full_error();
  }
  auto result = node_.transfer_leadership(core::BootClock::now());
  schedule_processing();
  return result;
}

void Replica::schedule_processing() {
  if (processing_scheduled_ || !running_) {
    return;
  }
  processing_scheduled_ = true;
  boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      process();
    }
  });
}

void Replica::process() {
  processing_scheduled_ = false;
  if (!running_) {
    return;
  }
  if (!retry_unpersisted_ready()) {
    return;
  }
  if (core::BootClock::now() >= node_.next_timer()) {
    node_.tick(core::BootClock::now());
  }
  while (node_.has_ready()) {
    if (!process_ready(node_.take_ready())) {
      return;
    }
  }
  detect_leadership_loss();
  detect_leadership_gain();
  log_new_candidacy();
  if (machine_.configuration().revision != notified_revision_) {
    notified_revision_ = machine_.configuration().revision;
    events_.configuration_changed(machine_.configuration());
  }
  compact_if_needed();
  set_timer();
}

bool Replica::persist(const raft::Ready& ready) {
  auto persisted = persist_(ready);
  if (persisted) {
    syncs_ += ready.must_sync ? 1 : 0;
    return true;
  }
  if (persisted.error().kind == core::ErrorKind::kNoCapacity) {
    defer_ready(ready, persisted.error());
  } else {
    running_ = false;
    events_.failed(persisted.error());
  }
  return false;
}

// Waits instead of terminating: a terminated replica would be restarted and fail again as long as the disk is
// full (5 times for a disk that was full for 3.8 s, on a fleet of 29 machines). Waiting is as safe as a
// stalled disk: no message that depends on the Ready is sent and none is received, so that the replica loses
// its quorum and the leases that it granted expire.
void Replica::defer_ready(raft::Ready ready, const core::Error& error) {
  if (!disk_full()) {
    logging::logger("control")->error("event=disk_full leading={} {}", leading_, core::describe(error));
  }
  unpersisted_ready_ = std::move(ready);
  detect_leadership_loss();
  set_timer(kFullDiskRetry);
}

bool Replica::retry_unpersisted_ready() {
  if (!disk_full()) {
    return true;
  }
  return process_ready(std::move(*unpersisted_ready_));
}

bool Replica::process_ready(raft::Ready ready) {
  if (!persist(ready)) {
    return false;
  }
  if (disk_full()) {
    unpersisted_ready_.reset();
    logging::logger("control")->info("event=disk_has_room_again");
  }
  for (const raft::Message& message : ready.messages) {
    send_(message);
  }
  for (const raft::MembershipDecision& decision : ready.decisions) {
    log_decision(decision);
  }
  // Before entries of a later leader are applied, so that this replica takes no decision as a deposed leader.
  detect_leadership_loss();
  if (ready.restore && ready.snapshot) {
    restore(*ready.snapshot);
    if (restore_error_) {
      running_ = false;
      events_.failed(*restore_error_);
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
  for (PendingReads* reads : {&reads_, &leaderless_reads_}) {
    const auto found = reads->find(token);
    if (found != reads->end()) {
      found->second->deliver(result);
    }
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
    proposal.completion->deliver(result);
  } else {
    // Another entry was committed at this index, so that this command can no longer be.
    proposal.completion->deliver(core::outcome::failure(not_leader()));
  }
}

void Replica::restore(const raft::Snapshot& snapshot) {
  const auto restored = machine_.restore(snapshot.state);
  applied_ = snapshot.index;
  applied_bytes_ = 0;
  snapshot_bytes_ = snapshot.state.size();
  if (!restored) {
    restore_error_ = restored.error();
  }
}

void Replica::detect_leadership_loss() {
  const bool leads = running_ && !disk_full() && node_.role() == raft::Role::kLeader;
  if (leads) {
    return;
  }
  fail_pending(unknown_outcome());
  if (leading_) {
    leading_ = false;
    events_.leadership_changed(false);
  }
}

void Replica::log_new_candidacy() {
  if (node_.candidacies() == logged_candidacies_) {
    return;
  }
  logged_candidacies_ = node_.candidacies();
  log_candidacy(node_);
}

void Replica::detect_leadership_gain() {
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
    proposal.completion->deliver(core::outcome::failure(error));
  }
  const auto reads = std::exchange(reads_, {});
  for (const auto& [token, read] : reads) {
    read->deliver(core::outcome::failure(not_leader()));
  }
}

void Replica::compact_if_needed() {
  const raft::Index applied = node_.applied_index();
  const bool too_many_entries = applied >= node_.log().first_index() + kCompactAfterEntries;
  // A large state is not written again until the changes since the last snapshot have reached its size.
  const bool too_many_bytes = applied_bytes_ >= std::max(kCompactAfterBytes, snapshot_bytes_);
  if (!too_many_entries && !too_many_bytes) {
    return;
  }
  std::string state = machine_.snapshot();
  applied_bytes_ = 0;
  snapshot_bytes_ = state.size();
  node_.compact(applied, std::move(state));
  schedule_processing();
}

void Replica::set_timer() {
  set_timer(node_.next_timer() - core::BootClock::now());
}

void Replica::set_timer(core::Duration delay) {
  timer_.expires_after(std::max(delay, core::Duration::zero()));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
    if (!error && !alive.expired()) {
      schedule_processing();
    }
  });
}

}  // namespace pipitpond::control
