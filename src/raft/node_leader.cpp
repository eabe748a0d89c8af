// raft::Node: replication, heartbeats and read confirmation on the leader.
#include <algorithm>
#include <functional>
#include <utility>

#include "raft/node.hpp"

namespace pipitpond::raft {
namespace {

/// Heartbeat rounds whose start times are kept. A reply to an older round is no evidence of recent contact.
constexpr std::size_t kMaxRecordedRounds = 256;
/// Bound of unacknowledged entries per follower, in multiples of max_entries_per_append.
constexpr std::size_t kMaxUnacknowledgedAppends = 4;
/// How many times the interval between snapshots doubles while the member does not answer.
constexpr int kMaxSnapshotRetryDoublings = 3;
/// Fraction of the shortest election timeout for which a reply proves that there is no other leader. The rest
/// allows for clock rates that are off by up to 5% each.
constexpr int kLeaseNumerator = 9;
constexpr int kLeaseDenominator = 10;

/// The greatest value that a quorum reaches: the quorum-th greatest of `values`.
template <typename Value>
Value quorum_value(std::vector<Value> values, std::size_t quorum) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[quorum - 1];
}

}  // namespace

void Node::tick_leader() {
  if (config_.mechanisms.check_quorum) {
    const auto contact = quorum_contact(now_).value_or(leader_since_);
    if (now_ - std::max(contact, leader_since_) > config_.election_timeout_max) {
      become_follower(hard_state_.term, std::nullopt);
      return;
    }
  }
  continue_transfer();
  if (role_ != Role::kLeader || now_ < next_heartbeat_) return;
  // Set only here: rounds started by reads must not delay the heartbeat timer.
  next_heartbeat_ = now_ + config_.heartbeat_interval;
  promote_or_remove();
  begin_round();
  send_to_all(true);
}

void Node::begin_round() {
  ++round_;
  rounds_.push_back({round_, now_});
  if (rounds_.size() > kMaxRecordedRounds) rounds_.pop_front();
}

void Node::send_to_all(bool heartbeat) {
  for (auto& [id, progress] : progress_) send_append(id, progress, heartbeat);
}

void Node::send_append(const core::ControlId& to, Progress& progress, bool heartbeat) {
  if (progress.state == ReplicationState::kSnapshot) {
    const auto doublings = std::clamp(progress.snapshots_unanswered - 1, 0, kMaxSnapshotRetryDoublings);
    if (now_ - progress.snapshot_sent >= config_.snapshot_retry_interval * (1 << doublings)) {
      send_snapshot(to, progress);
    } else if (heartbeat) {
      // Keeps the follower from starting an election while the snapshot is in transit.
      const auto& snapshot = log_.snapshot();
      send(to, append_after({snapshot.term, snapshot.index}));
    }
    return;
  }
  if (!log_.term_at(progress.next - 1).has_value()) {
    send_snapshot(to, progress);
    return;
  }
  send_entries(to, progress, heartbeat);
}

// Unanswered entries are not sent again. So at most one append (kProbe) or one window (kReplicate) is queued
// for an unreachable member, not another copy with every heartbeat.
void Node::send_entries(const core::ControlId& to, Progress& progress, bool heartbeat) {
  const bool probing = progress.state == ReplicationState::kProbe;
  do {
    AppendRequest request = append_after({*log_.term_at(progress.next - 1), progress.next - 1});
    if (may_send_entries(progress)) {
      request.entries =
          log_.slice(progress.next, config_.max_entries_per_append, config_.max_bytes_per_append);
    }
    if (request.entries.empty() && !heartbeat) return;
    heartbeat = false;
    if (!probing && !request.entries.empty()) {
      progress.next += request.entries.size();
      progress.record_sent(progress.next - 1, size_of(request.entries));
    }
    progress.probe_sent = true;
    send(to, std::move(request));
  } while (!probing);
}

AppendRequest Node::append_after(const core::LogPosition& previous) const {
  return AppendRequest{previous, {}, hard_state_.commit, round_, silent_voters()};
}

bool Node::may_send_entries(const Progress& progress) const {
  if (progress.state == ReplicationState::kProbe) return !progress.probe_sent;
  const auto unacknowledged = progress.next - 1 - progress.match;
  return unacknowledged < config_.max_entries_per_append * kMaxUnacknowledgedAppends &&
         progress.unanswered_bytes < config_.max_bytes_per_append;
}

void Node::send_snapshot(const core::ControlId& to, Progress& progress) {
  progress.state = ReplicationState::kSnapshot;
  progress.clear_unanswered();
  progress.snapshot_index = log_.snapshot().index;
  progress.snapshot_sent = now_;
  ++progress.snapshots_unanswered;
  send(to, SnapshotRequest{log_.snapshot(), round_});
}

void Node::handle(const Message& message, const AppendReply& reply) {
  if (role_ != Role::kLeader || reply.round == kNoRound) return;
  const auto found = progress_.find(message.from);
  if (found == progress_.end()) return;
  auto& progress = found->second;
  record_contact(progress, reply.round);
  if (!reply.matched) {
    handle_mismatch(message.from, progress, reply);
    confirm_reads();
    return;
  }
  progress.match = std::max(progress.match, reply.match);
  progress.record_acknowledged(progress.match);
  const bool can_replicate =
      progress.state != ReplicationState::kSnapshot || progress.match >= progress.snapshot_index;
  if (can_replicate && progress.state != ReplicationState::kReplicate) {
    progress.state = ReplicationState::kReplicate;
    progress.next = progress.match + 1;
  }
  progress.next = std::max(progress.next, progress.match + 1);
  advance_commit();
  confirm_reads();
  if (role_ == Role::kLeader && progress_.count(message.from) > 0) send_append(message.from, progress, false);
  continue_transfer();
}

void Node::handle_mismatch(const core::ControlId& to, Progress& progress, const AppendReply& reply) {
  if (progress.state == ReplicationState::kSnapshot) return;
  // Late reply: that prefix is known to match by now, or another index is being probed.
  if (reply.previous <= progress.match) return;
  if (progress.state == ReplicationState::kProbe && reply.previous != progress.next - 1) return;
  progress.probe_from(std::max(progress.match + 1, std::min(reply.previous, reply.hint + 1)));
  send_append(to, progress, false);
}

void Node::record_contact(Progress& progress, Round round) {
  progress.last_contact = now_;
  progress.snapshots_unanswered = 0;
  if (round <= progress.acknowledged_round) return;
  const auto sent =
      std::find_if(rounds_.begin(), rounds_.end(), [round](const auto& r) { return r.round == round; });
  if (sent == rounds_.end()) return;
  progress.acknowledged_round = round;
  // The sending time, not the arrival time: only it is certainly before the follower reset its timer.
  progress.acknowledged_sent = sent->at;
}

void Node::advance_commit() {
  std::vector<Index> matches;
  for (const auto& member : membership().members) {
    if (member.role != MemberRole::kVoter) continue;
    matches.push_back(member.id == config_.id ? persisted_ : progress_[member.id].match);
  }
  if (matches.empty()) return;
  const auto index = quorum_value(std::move(matches), membership().quorum());
  if (index <= hard_state_.commit) return;
  // An entry of an earlier term is not committed by being on a majority: a leader whose last entry has a
  // later term could still overwrite it. It is committed together with an entry of the current term.
  if (config_.mechanisms.own_term_commit && log_.term_at(index) != hard_state_.term) return;
  commit_to(index);
  commit_broadcast_pending_ = true;
  update_tracked_members();
}

Round Node::quorum_round() const {
  if (!config_.mechanisms.read_quorum) return round_;
  std::vector<Round> rounds;
  for (const auto& member : membership().members) {
    if (member.role != MemberRole::kVoter) continue;
    const auto found = progress_.find(member.id);
    rounds.push_back(found == progress_.end() ? round_ : found->second.acknowledged_round);
  }
  return rounds.empty() ? 0 : quorum_value(std::move(rounds), membership().quorum());
}

void Node::confirm_reads() {
  for (auto& result : reads_.confirm(quorum_round())) read_results_.push_back(result);
}

std::optional<core::Instant> Node::quorum_contact(core::Instant now) const {
  std::vector<std::optional<core::Instant>> contacts;
  for (const auto& member : membership().members) {
    if (member.role != MemberRole::kVoter) continue;
    const auto found = progress_.find(member.id);
    contacts.push_back(found == progress_.end() ? now : found->second.acknowledged_sent);
  }
  if (contacts.empty()) return std::nullopt;
  return quorum_value(std::move(contacts), membership().quorum());
}

bool Node::has_quorum(core::Instant now) const {
  if (role_ != Role::kLeader || transfer_target_) return false;
  const auto contact = quorum_contact(now);
  const auto valid_for = config_.election_timeout_min * kLeaseNumerator / kLeaseDenominator;
  return contact.has_value() && now < *contact + valid_for;
}

std::optional<core::Instant> Node::last_contact(const core::ControlId& id) const {
  const auto found = progress_.find(id);
  return found == progress_.end() ? std::nullopt : found->second.last_contact;
}

}  // namespace pipitpond::raft
