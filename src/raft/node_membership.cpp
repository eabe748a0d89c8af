// Changes of membership and transfer of leadership of raft::Node.
#include <algorithm>
#include <utility>

#include "raft/node.hpp"

namespace pipitpond::raft {

using core::ErrorKind;

namespace {

/// In units of the longest election timeout: how long a new leader takes members for alive that have not
/// answered it yet.
constexpr int kTimeToAnswer = 2;
/// In the same units: how long a voter must be silent to be removed in favour of a newcomer. One that is only
/// cut off for a moment stays; one that returns later joins anew.
constexpr int kSilenceOfTheReplaced = 4;

}  // namespace

bool Node::membership_change_pending() const {
  return log_.membership_index() > hard_state_.commit;
}

core::Result<void> Node::may_change_membership() const {
  if (role_ != Role::kLeader || transfer_target_) {
    return core::fail(ErrorKind::kNotLeader, "This control replica does not lead.",
                      "Ask the leader that it names, or any other replica.");
  }
  if (!config_.mechanisms.one_membership_change) return core::outcome::success();
  // Two changes at once, or one on top of an earlier leader's that is neither committed nor gone, could give
  // two majorities without a common member.
  if (membership_change_pending() || !has_committed_in_current_term()) {
    return core::fail(ErrorKind::kConflict, "Another change of the control replicas is not committed yet.",
                      "Retry in a second.", 1000);
  }
  return core::outcome::success();
}

core::Result<core::LogPosition> Node::propose_membership(core::Instant now, const MembershipChange& change) {
  now_ = std::max(now_, now);
  const auto allowed = may_change_membership();
  if (allowed.has_failure()) return allowed.as_failure();
  auto changed = membership();
  const auto& id = change.member.id;
  if (change.action == MembershipAction::kAddLearner) {
    if (id.empty()) {
      return core::fail(ErrorKind::kInvalidArgument, "The control replica has no id.", "Name one.");
    }
    if (changed.find(id) != nullptr) {
      return core::fail(ErrorKind::kAlreadyExists, "A control replica of this id is a member already.",
                        "Choose another id; a replica that lost its disk joins under a new one.");
    }
    changed.members.push_back(change.member);
    changed.members.back().role = MemberRole::kLearner;
    const Member learner = changed.members.back();
    const auto position = append_membership(std::move(changed));
    note_decision(MembershipReason::kOperator, learner);
    return position;
  }
  if (changed.find(id) == nullptr) {
    return core::fail(ErrorKind::kNotFound, "No control replica has this id.", "List the members.");
  }
  if (id == config_.id) {
    return core::fail(ErrorKind::kInvalidArgument, "The leader can't remove itself.",
                      "Drain this replica first, so that another one leads.");
  }
  const Member removed = *changed.find(id);
  std::erase_if(changed.members, [&](const Member& member) { return member.id == id; });
  const auto position = append_membership(std::move(changed));
  note_decision(MembershipReason::kOperator, removed);
  return position;
}

core::LogPosition Node::append_membership(Membership membership) {
  return append_entry(Entry{0, 0, EntryKind::kMembership, {}, std::move(membership)});
}

std::size_t Node::voters_in_contact() const {
  const auto& members = membership().members;
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [this](const Member& member) {
    return member.role == MemberRole::kVoter && silence_of(member.id) < config_.election_timeout_min;
  }));
}

core::Duration Node::silence_of(const core::ControlId& id) const {
  if (id == config_.id) return core::Duration::zero();
  if (const auto contact = last_contact(id)) return now_ - *contact;
  const auto progress = progress_.find(id);
  const bool came_in_this_reign =
      progress != progress_.end() && progress->second.followed_since > leader_since_;
  if (came_in_this_reign) return now_ - progress->second.followed_since;
  // Members that live need a moment to answer a new leader.
  const auto reign = now_ - leader_since_;
  if (reign < kTimeToAnswer * config_.election_timeout_max) return reign;
  return std::max(reign, now_ - earlier_silence_.last_heard(id));
}

std::vector<SilentMember> Node::silent_voters() const {
  std::vector<SilentMember> silent;
  for (const auto& member : membership().members) {
    const auto silence = silence_of(member.id);
    if (member.role != MemberRole::kVoter || silence < config_.election_timeout_min) continue;
    silent.push_back({member.id, static_cast<std::uint32_t>(core::to_millis(silence))});
  }
  return silent;
}

void Node::note_decision(MembershipReason reason, const Member& member) {
  const auto& silent = member.replaces.empty() ? member.id : member.replaces;
  decisions_.push_back({reason, member, silence_of(silent), membership().voter_count(), voters_in_contact()});
}

void Node::follow_membership() {
  for (const auto& member : membership().members) {
    if (member.id == config_.id || progress_.count(member.id) > 0) continue;
    Progress progress;
    progress.next = log_.last_index() + 1;
    progress.followed_since = now_;
    progress_.emplace(member.id, progress);
  }
  if (membership_change_pending()) return;
  for (auto member = progress_.begin(); member != progress_.end();) {
    if (membership().find(member->first) != nullptr) {
      ++member;
      continue;
    }
    // A last message, so that a removed replica that still listens learns of it.
    send_append(member->first, member->second, true);
    member = progress_.erase(member);
  }
}

void Node::promote_or_remove() {
  if (may_change_membership().has_failure()) return;
  if (promote_a_learner() || remove_a_replaced()) return;
  remove_a_silent();
}

bool Node::promote_a_learner() {
  for (const auto& member : membership().members) {
    if (member.role != MemberRole::kLearner) continue;
    const auto& progress = progress_[member.id];
    const bool in_contact =
        progress.last_contact && now_ - *progress.last_contact < config_.election_timeout_min;
    // `match` counts synced entries only: as a voter it will hold all that it has acknowledged.
    const bool caught_up = progress.match > 0 && progress.match >= hard_state_.commit;
    if (!in_contact || !caught_up) continue;
    auto changed = membership();
    for (auto& candidate : changed.members) {
      if (candidate.id == member.id) candidate.role = MemberRole::kVoter;
    }
    const Member voter = *changed.find(member.id);
    append_membership(std::move(changed));
    note_decision(MembershipReason::kCaughtUp, voter);
    return true;
  }
  return false;
}

bool Node::remove_a_replaced() {
  for (const auto& member : membership().members) {
    const auto* replaced = membership().find(member.replaces);
    if (replaced == nullptr || replaced->id == config_.id || member.role != MemberRole::kVoter) continue;
    const bool silent = silence_of(replaced->id) >= kSilenceOfTheReplaced * config_.election_timeout_max;
    if (member.replaces_only_silent && !(silent && can_spare_one())) continue;
    remove_member(*replaced, MembershipReason::kReplaced);
    return true;
  }
  return false;
}

bool Node::remove_a_silent() {
  if (!config_.open_membership) return false;
  const bool can_spare_a_voter = can_spare_one();
  for (const auto& member : membership().members) {
    const bool votes = member.role == MemberRole::kVoter;
    if (votes && !can_spare_a_voter) continue;
    if (silence_of(member.id) < config_.remove_silent_after) continue;
    remove_member(member, MembershipReason::kSilent);
    return true;
  }
  return false;
}

bool Node::can_spare_one() const {
  // The others must stand by themselves, also without one more of them.
  const std::size_t left = membership().voter_count() - 1;
  return left >= config_.min_voters && voters_in_contact() > left / 2 + 1;
}

void Node::remove_member(Member removed, MembershipReason reason) {
  auto changed = membership();
  std::erase_if(changed.members, [&](const Member& member) { return member.id == removed.id; });
  for (auto& member : changed.members) {
    if (member.replaces != removed.id) continue;
    member.replaces = {};
    member.replaces_only_silent = false;
  }
  append_membership(std::move(changed));
  note_decision(reason, removed);
}

core::Result<void> Node::transfer_leadership(core::Instant now) {
  now_ = std::max(now_, now);
  if (role_ != Role::kLeader) {
    return core::fail(ErrorKind::kNotLeader, "This control replica does not lead.", "Nothing is to be done.");
  }
  if (transfer_target_) return core::outcome::success();
  const std::pair<const core::ControlId, Progress>* best = nullptr;
  for (const auto& candidate : progress_) {
    const auto& contact = candidate.second.last_contact;
    const bool in_contact = contact && now_ - *contact < config_.election_timeout_min;
    if (!in_contact || !membership().is_voter(candidate.first)) continue;
    if (best == nullptr || candidate.second.match > best->second.match) best = &candidate;
  }
  if (best == nullptr) {
    return core::fail(ErrorKind::kUnavailable, "No other voting control replica is in contact.",
                      "Start another control replica first, or stop this one without a transfer.");
  }
  transfer_target_ = best->first;
  transfer_deadline_ = now_ + config_.election_timeout_max;
  timeout_now_sent_ = false;
  continue_transfer();
  return core::outcome::success();
}

void Node::continue_transfer() {
  if (role_ != Role::kLeader || !transfer_target_) return;
  if (now_ >= transfer_deadline_) {
    // The target may still get our message and be elected without the usual wait, so that has_quorum could no
    // longer promise that we are alone. Stepping down keeps it true: a message of this term is then void.
    become_follower(hard_state_.term, std::nullopt);
    return;
  }
  const auto target = progress_.find(*transfer_target_);
  if (target == progress_.end() || timeout_now_sent_) return;
  if (target->second.match < log_.last_index()) return;
  timeout_now_sent_ = true;
  send(*transfer_target_, TimeoutNow{});
}

}  // namespace pipitpond::raft
