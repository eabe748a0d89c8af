#include "raft/node.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::raft {

using core::ErrorKind;

Node::Node(Config config, PersistedState persisted, std::uint64_t seed, core::Instant now)
    : config_(std::move(config)),
      log_(std::move(persisted.snapshot), std::move(persisted.entries)),
      hard_state_(std::move(persisted.hard_state)),
      random_(seed),
      now_(now),
      // This replica may have answered a leader just before it restarted. Counting the start as a contact
      // keeps it from voting for another candidate within an election timeout, which has_quorum relies on.
      last_leader_contact_(now),
      reported_contacts_(now),
      leaderless_reads_(seed) {
  hard_state_.commit = std::clamp(hard_state_.commit, log_.snapshot().index, log_.last_index());
  last_ready_hard_state_ = hard_state_;
  persisted_ = log_.last_index();
  applied_ = log_.snapshot().index;
  reset_election_timer();
}

void Node::tick(core::Instant now) {
  now_ = std::max(now_, now);
  if (role_ == Role::kLeader) {
    tick_leader();
    return;
  }
  if (now_ >= leaderless_reads_.next_question()) ask_for_log_ends();
  if (now_ >= election_deadline_) start_candidacy();
}

void Node::step(core::Instant now, Message message) {
  now_ = std::max(now_, now);
  const bool is_join_request = std::holds_alternative<JoinRequest>(message.body);
  const bool is_termless = is_join_request || std::holds_alternative<JoinReply>(message.body) ||
                           std::holds_alternative<LogEndRequest>(message.body) ||
                           std::holds_alternative<LogEndReply>(message.body);
  // A replica id that was lost with its disk may have used this endpoint: its messages are dropped.
  if (message.cluster != config_.cluster || (message.to != config_.id && !is_join_request)) return;
  if (message.from == config_.id) return;
  if (!is_termless && !accept_term(message)) return;
  std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

bool Node::accept_term(const Message& message) {
  if (message.term < hard_state_.term) {
    reject_stale_term(message);
    return false;
  }
  if (message.term == hard_state_.term) return true;

  // A pre-vote carries a term that no replica has entered yet.
  if (std::holds_alternative<PreVoteRequest>(message.body)) return true;
  const auto* pre_vote = std::get_if<PreVoteReply>(&message.body);
  if (pre_vote != nullptr && pre_vote->granted) return true;

  const auto* vote = std::get_if<VoteRequest>(&message.body);
  // No vote while there is contact with a leader: a replica that returns from a partition does not disrupt
  // the leader, and has_quorum can guarantee that there is no other one.
  if (vote != nullptr && !vote->transfer && has_recent_leader_contact()) return false;
  become_follower(message.term, std::nullopt);
  return true;
}

void Node::reject_stale_term(const Message& message) {
  // The reply carries this replica's term, so that a stale leader steps down and a stale candidate adopts it.
  // It must not name the round: the sender may lead again by now, in this replica's term, and each term
  // counts its rounds from 1.
  if (std::holds_alternative<AppendRequest>(message.body) ||
      std::holds_alternative<SnapshotRequest>(message.body)) {
    send(message.from, AppendReply{});
  } else if (std::holds_alternative<PreVoteRequest>(message.body)) {
    send(message.from, PreVoteReply{false});
  } else if (std::holds_alternative<VoteRequest>(message.body)) {
    send(message.from, VoteReply{false});
  }
}

core::Result<core::LogPosition> Node::propose(core::Instant now, std::string command) {
  now_ = std::max(now_, now);
  if (role_ != Role::kLeader) {
    return core::fail(ErrorKind::kNotLeader, "This control replica is not the leader.",
                      "Retry at the leader that it names, or at any other replica.");
  }
  if (transfer_target_) {
    return core::fail(ErrorKind::kLeaving, "A leadership transfer is in progress.",
                      "Retry at the new leader.",
                      static_cast<std::uint32_t>(core::to_millis(config_.election_timeout_min)));
  }
  if (log_.last_index() - hard_state_.commit >= config_.max_uncommitted_entries) {
    return core::fail(ErrorKind::kOverloaded, "Too many uncommitted changes.", "Retry later.",
                      static_cast<std::uint32_t>(core::to_millis(config_.election_timeout_max)));
  }
  return append_entry(Entry{0, 0, EntryKind::kCommand, std::move(command), {}});
}

core::Result<void> Node::read_index(core::Instant now, ReadToken token) {
  now_ = std::max(now_, now);
  if (role_ != Role::kLeader) {
    return core::fail(ErrorKind::kNotLeader, "This control replica is not the leader.",
                      "Retry at the leader that it names, or at any other replica.");
  }
  reads_.add(token);
  return core::outcome::success();
}

bool Node::has_ready() const {
  if (taken_ready_) return false;
  const bool reads_can_start = reads_.needs_round() && has_committed_in_current_term();
  return hard_state_.term != last_ready_hard_state_.term ||
         hard_state_.voted_for != last_ready_hard_state_.voted_for || snapshot_changed_ ||
         persisted_ < log_.last_index() || !messages_.empty() || applied_ < hard_state_.commit ||
         !read_results_.empty() || append_pending_ || commit_broadcast_pending_ || reads_can_start;
}

Ready Node::take_ready() {
  Ready ready;
  if (taken_ready_) return ready;
  if (role_ == Role::kLeader) {
    // All proposals and reads since the last Ready share one round of appends.
    const bool new_round = reads_.needs_round() && has_committed_in_current_term();
    if (new_round) {
      begin_round();
      reads_.begin_round(round_, hard_state_.commit);
    }
    if (new_round || append_pending_ || commit_broadcast_pending_)
      send_to_all(new_round || commit_broadcast_pending_);
    confirm_reads();
  }
  append_pending_ = false;
  commit_broadcast_pending_ = false;
  collect_persistence(ready);
  // Sent after the sync, because replies acknowledge what this Ready persists. A leader could send its
  // appends before the sync, but only if its term is already synced; a sole voter's term is not, as it elects
  // itself without waiting for anyone.
  ready.messages = std::exchange(messages_, {});
  ready.reads = std::exchange(read_results_, {});
  ready.decisions = std::exchange(decisions_, {});
  const auto apply_from = std::max(applied_, ready.restore ? log_.snapshot().index : 0) + 1;
  if (apply_from <= hard_state_.commit) ready.committed = log_.range(apply_from, hard_state_.commit);
  taken_ready_ = TakenReady{log_.last(), hard_state_.commit};
  return ready;
}

void Node::collect_persistence(Ready& ready) {
  if (hard_state_.term != last_ready_hard_state_.term ||
      hard_state_.voted_for != last_ready_hard_state_.voted_for) {
    ready.hard_state = hard_state_;
  }
  last_ready_hard_state_ = hard_state_;
  if (snapshot_changed_) ready.snapshot = log_.snapshot();
  ready.restore = restore_;
  ready.reset_log = restore_;
  snapshot_changed_ = false;
  restore_ = false;
  if (persisted_ < log_.last_index()) {
    ready.entries = log_.range(persisted_ + 1, log_.last_index());
    // The commit index is stored with the entries, which are synced anyway. A restarted replica can then
    // apply all but the newest batch, and serve that state to daemons, before it has contact with a leader.
    ready.hard_state = hard_state_;
  }
  ready.must_sync = ready.hard_state || ready.snapshot || !ready.entries.empty();
}

void Node::advance(core::Instant now) {
  now_ = std::max(now_, now);
  if (!taken_ready_) return;
  const auto done = *std::exchange(taken_ready_, std::nullopt);
  applied_ = std::max(applied_, done.applied);
  // If the log still has the last persisted entry, all entries before it are the persisted ones too (log
  // matching property). Otherwise a new leader has replaced it, and persisted_ was lowered at that time.
  if (log_.contains(done.persisted)) persisted_ = std::max(persisted_, done.persisted.index);
  if (role_ == Role::kLeader) advance_commit();
}

void Node::compact(Index index, std::string state) {
  const bool can_compact = index > log_.snapshot().index && index <= applied_;
  if (!can_compact || restore_) return;
  log_.compact(index, std::move(state), {config_.trailing_entries, config_.trailing_bytes});
  snapshot_changed_ = true;
}

bool Node::has_committed_in_current_term() const {
  return role_ == Role::kLeader && log_.term_at(hard_state_.commit) == hard_state_.term;
}

core::Instant Node::next_timer() const {
  return role_ == Role::kLeader ? next_heartbeat_
                                : std::min(election_deadline_, leaderless_reads_.next_question());
}

core::LogPosition Node::append_entry(Entry entry) {
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  const bool changes_members = entry.kind == EntryKind::kMembership;
  log_.append(std::move(entry));
  append_pending_ = true;
  if (changes_members) update_tracked_members();
  return log_.last();
}

void Node::commit_to(Index index) {
  hard_state_.commit = std::max(hard_state_.commit, index);
}

void Node::fail_reads() {
  for (auto& result : reads_.fail_all()) read_results_.push_back(result);
  fail_leaderless_reads();
}

void Node::send(const core::ControlId& to, MessageBody body) {
  send_with_term(to, hard_state_.term, std::move(body));
}

void Node::send_with_term(const core::ControlId& to, Term term, MessageBody body) {
  messages_.push_back(Message{config_.cluster, config_.id, to, term, std::move(body)});
}

}  // namespace pipitpond::raft
