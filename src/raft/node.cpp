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
      // keeps the promise not to elect another leader for an election timeout (see has_quorum).
      last_leader_contact_(now),
      earlier_silence_(now) {
  hard_state_.commit = std::clamp(hard_state_.commit, log_.snapshot().index, log_.last_index());
  handed_out_hard_state_ = hard_state_;
  persisted_ = log_.last_index();
  applied_ = log_.snapshot().index;
  reset_election_timer();
}

void Node::tick(core::Instant now) {
  now_ = std::max(now_, now);
  if (role_ == Role::kLeader) {
    lead();
    return;
  }
  if (now_ >= election_deadline_) stand();
}

void Node::step(core::Instant now, Message message) {
  now_ = std::max(now_, now);
  const bool joins = std::holds_alternative<JoinRequest>(message.body);
  const bool of_no_term = joins || std::holds_alternative<JoinReply>(message.body);
  // An identity that was lost with its disk may have had this address: its messages are not for us.
  if (message.cluster != config_.cluster || (message.to != config_.id && !joins)) return;
  if (message.from == config_.id) return;
  if (!of_no_term && !accept_term(message)) return;
  std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

bool Node::accept_term(const Message& message) {
  if (message.term < hard_state_.term) {
    refuse_old_term(message);
    return false;
  }
  if (message.term == hard_state_.term) return true;

  // A pre-vote speaks of a term that nobody has entered yet.
  if (std::holds_alternative<PreVoteRequest>(message.body)) return true;
  const auto* pre_vote = std::get_if<PreVoteReply>(&message.body);
  if (pre_vote != nullptr && pre_vote->granted) return true;

  const auto* vote = std::get_if<VoteRequest>(&message.body);
  // While a leader is heard, nobody else is helped into office: a replica that comes back from a partition
  // does not disturb it, and has_quorum can promise that no other leader exists.
  if (vote != nullptr && !vote->transfer && heard_from_leader_recently()) return false;
  become_follower(message.term, std::nullopt);
  return true;
}

void Node::refuse_old_term(const Message& message) {
  // The answer carries our term, so that an old leader steps down and an old candidate catches up.
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    send(message.from, AppendReply{false, append->previous.index, 0, 0, append->round});
  } else if (const auto* snapshot = std::get_if<SnapshotRequest>(&message.body)) {
    send(message.from, AppendReply{false, 0, 0, 0, snapshot->round});
  } else if (std::holds_alternative<PreVoteRequest>(message.body)) {
    send(message.from, PreVoteReply{false});
  } else if (std::holds_alternative<VoteRequest>(message.body)) {
    send(message.from, VoteReply{false});
  }
}

core::Result<core::LogPosition> Node::propose(core::Instant now, std::string command) {
  now_ = std::max(now_, now);
  if (role_ != Role::kLeader) {
    return core::fail(ErrorKind::kNotLeader, "This control replica does not lead.",
                      "Ask the leader that it names, or any other replica.");
  }
  if (transfer_target_) {
    return core::fail(ErrorKind::kLeaving, "Leadership is being handed over.", "Retry at the new leader.",
                      static_cast<std::uint32_t>(core::to_millis(config_.election_timeout_min)));
  }
  if (log_.last_index() - hard_state_.commit >= config_.max_uncommitted_entries) {
    return core::fail(ErrorKind::kOverloaded, "Too many changes wait to be committed.", "Retry later.",
                      static_cast<std::uint32_t>(core::to_millis(config_.election_timeout_max)));
  }
  return append_entry(Entry{0, 0, EntryKind::kCommand, std::move(command), {}});
}

core::Result<void> Node::read_index(core::Instant now, ReadToken token) {
  now_ = std::max(now_, now);
  if (role_ != Role::kLeader) {
    return core::fail(ErrorKind::kNotLeader, "This control replica does not lead.",
                      "Ask the leader that it names, or any other replica.");
  }
  reads_.add(token);
  return core::outcome::success();
}

bool Node::has_ready() const {
  if (in_flight_) return false;
  const bool reads_can_start = reads_.needs_round() && has_committed_in_current_term();
  return hard_state_.term != handed_out_hard_state_.term ||
         hard_state_.voted_for != handed_out_hard_state_.voted_for || snapshot_changed_ ||
         persisted_ < log_.last_index() || !messages_.empty() || applied_ < hard_state_.commit ||
         !read_results_.empty() || append_wanted_ || commit_notice_wanted_ || reads_can_start;
}

Ready Node::take_ready() {
  Ready ready;
  if (in_flight_) return ready;
  if (role_ == Role::kLeader) {
    // All proposals and reads since the last Ready share one round of appends.
    const bool new_round = reads_.needs_round() && has_committed_in_current_term();
    if (new_round) {
      begin_round();
      reads_.begin_round(round_, hard_state_.commit);
    }
    if (new_round || append_wanted_ || commit_notice_wanted_) send_to_all(new_round || commit_notice_wanted_);
    confirm_reads();
  }
  append_wanted_ = false;
  commit_notice_wanted_ = false;
  collect_persistence(ready);
  // Sent after the sync, because replies promise what was persisted with them. A leader's appends could go
  // earlier, but only if its term is known to be synced; a replica that is its own majority is not there.
  ready.messages = std::exchange(messages_, {});
  ready.reads = std::exchange(read_results_, {});
  ready.decisions = std::exchange(decisions_, {});
  const auto apply_from = std::max(applied_, ready.restore ? log_.snapshot().index : 0) + 1;
  if (apply_from <= hard_state_.commit) ready.committed = log_.range(apply_from, hard_state_.commit);
  in_flight_ = InFlight{log_.last(), hard_state_.commit};
  return ready;
}

void Node::collect_persistence(Ready& ready) {
  if (hard_state_.term != handed_out_hard_state_.term ||
      hard_state_.voted_for != handed_out_hard_state_.voted_for) {
    ready.hard_state = hard_state_;
  }
  handed_out_hard_state_ = hard_state_;
  if (snapshot_changed_) ready.snapshot = log_.snapshot();
  ready.restore = restore_;
  ready.reset_log = restore_;
  snapshot_changed_ = false;
  restore_ = false;
  if (persisted_ < log_.last_index()) {
    ready.entries = log_.range(persisted_ + 1, log_.last_index());
    // The commit index rides along with entries, which are synced anyway: a replica that restarts applies all
    // but the newest batch before it hears of a leader, and can tell daemons what it has.
    ready.hard_state = hard_state_;
  }
  ready.must_sync = ready.hard_state || ready.snapshot || !ready.entries.empty();
}

void Node::advance(core::Instant now) {
  now_ = std::max(now_, now);
  if (!in_flight_) return;
  const auto done = *std::exchange(in_flight_, std::nullopt);
  applied_ = std::max(applied_, done.applied);
  // If the log still has the entry that was persisted last, all before it are the persisted ones too (log
  // matching). Otherwise a new leader has replaced them meanwhile, and persisted_ was lowered then.
  if (log_.contains(done.persisted)) persisted_ = std::max(persisted_, done.persisted.index);
  if (role_ == Role::kLeader) advance_commit();
}

void Node::compact(Index index, std::string state) {
  const bool held = index > log_.snapshot().index && index <= applied_;
  if (!held || restore_) return;
  log_.compact(index, std::move(state), {config_.trailing_entries, config_.trailing_bytes});
  snapshot_changed_ = true;
}

bool Node::has_committed_in_current_term() const {
  return role_ == Role::kLeader && log_.term_at(hard_state_.commit) == hard_state_.term;
}

core::Instant Node::next_timer() const {
  return role_ == Role::kLeader ? next_heartbeat_ : election_deadline_;
}

core::LogPosition Node::append_entry(Entry entry) {
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  const bool changes_members = entry.kind == EntryKind::kMembership;
  log_.append(std::move(entry));
  append_wanted_ = true;
  if (changes_members) follow_membership();
  return log_.last();
}

void Node::commit_to(Index index) {
  hard_state_.commit = std::max(hard_state_.commit, index);
}

void Node::fail_reads() {
  for (auto& result : reads_.fail_all()) read_results_.push_back(result);
}

void Node::send(const core::ControlId& to, MessageBody body) {
  send_with_term(to, hard_state_.term, std::move(body));
}

void Node::send_with_term(const core::ControlId& to, Term term, MessageBody body) {
  messages_.push_back(Message{config_.cluster, config_.id, to, term, std::move(body)});
}

}  // namespace pipitpond::raft
