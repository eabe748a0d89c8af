// Fences the members of a group in a change of primary, and chooses the new primary from their answers.
#include <algorithm>

#include "failover/group_coordinator.hpp"
#include "failover/primary_choice.hpp"

namespace pipitpond::failover {

void GroupCoordinator::start_fencing(core::Instant now) {
  phase_ = Phase::kFencing;
  phase_since_ = now;
  fences_.clear();
  fence_quorum_since_.reset();
  released_at_.reset();
  promote_attempts_ = 0;
  old_primary_is_released(now);
  send_fences(now);
}

void GroupCoordinator::fence_again(core::Instant now) {
  phase_ = Phase::kFencing;
  phase_since_ = now;
  fence_quorum_since_.reset();
  choose_when_fenced(now);
}

void GroupCoordinator::send_fences(core::Instant now) {
  for (const protocol::Database& database : group_.databases) {
    Fence& fence = fences_[database.id];
    const bool awaiting_answer = fence.sent.has_value() && now - *fence.sent < kAnswerTimeout;
    const bool backing_off = fence.failed.has_value() && now - *fence.failed < kRetryDelay;
    const bool is_answered = fence.answer.has_value() && !fence.is_repeated;
    if (is_answered || awaiting_answer || backing_off) {
      continue;
    }
    if (fence.is_repeated && fence.sent.has_value()) {
      forget_answer(fence);
    }
    fence.sent = now;
    effects_.emplace_back(FenceDatabase{group_.name, database.id, database.endpoint, proposed_term_, now});
  }
}

void GroupCoordinator::on_fence_answer(core::Instant now, const FenceDatabase& call,
                                       const database::FenceAnswer& answer) {
  if (phase_ != Phase::kFencing || answer.term != proposed_term_ || member(answer.database) == nullptr) {
    return;
  }
  if (answer.received.term >= proposed_term_) {
    // The log has entries of this term, so it already has a primary that this leadership did not choose.
    highest_seen_term_ = std::max(highest_seen_term_, answer.received.term);
    begin(now, false);
    return;
  }
  Fence& fence = fences_[answer.database];
  fence.answer = answer;
  fence.requested = call.requested;
  fence.answered = now;
  fence.is_repeated = false;
  fence.furthest = std::max(fence.furthest, answer.received);
  if (is_too_early(fence)) {
    repeat(fence);
  }
  choose_when_fenced(now);
}

void GroupCoordinator::on_fence_failed(core::Instant now, const core::DatabaseId& database, core::Term term) {
  if (phase_ != Phase::kFencing || term != proposed_term_ || member(database) == nullptr) {
    return;
  }
  Fence& fence = fences_[database];
  fence.sent.reset();
  fence.failed = now;
  if (fence.is_repeated) {
    forget_answer(fence);
  }
  choose_when_fenced(now);
}

void GroupCoordinator::forget_answer(Fence& fence) {
  fence.answer.reset();
  fence.is_repeated = false;
}

bool GroupCoordinator::has_lost_log(const Fence& fence) {
  return fence.answer->received < fence.furthest;
}

bool GroupCoordinator::old_primary_is_released(core::Instant now) {
  const bool may_pass_on = is_promoted_by_service() && !revision_applied_(now, begin_revision_);
  if (!released_at_.has_value() && !may_pass_on) {
    released_at_ = now;
  }
  return released_at_.has_value();
}

bool GroupCoordinator::is_too_early(const Fence& fence) const {
  return is_promoted_by_service() && released_at_.has_value() && fence.requested < *released_at_;
}

void GroupCoordinator::repeat(Fence& fence) {
  fence.is_repeated = true;
  fence.sent.reset();
}

void GroupCoordinator::repeat_old_fences(core::Instant now) {
  if (!is_promoted_by_service()) {
    return;  // Its databases keep what they have promised, in all of their lives.
  }
  for (auto& [id, fence] : fences_) {
    const bool is_old = now - fence.answered > kFenceAnswerMaxAge || is_too_early(fence);
    if (fence.answer.has_value() && is_old && !fence.is_repeated) {
      repeat(fence);
    }
  }
}

bool GroupCoordinator::awaits_repeated_fence() const {
  return std::any_of(fences_.begin(), fences_.end(),
                     [](const auto& entry) { return entry.second.is_repeated; });
}

bool GroupCoordinator::should_await_more_fences(core::Instant now) const {
  if (now - *fence_quorum_since_ >= kFenceGracePeriod) {
    return false;
  }
  return std::any_of(
      group_.databases.begin(), group_.databases.end(), [&](const protocol::Database& database) {
        const auto fence = fences_.find(database.id);
        const bool pending = fence == fences_.end() || (!fence->second.answer && !fence->second.failed);
        return pending && probes_.reachable(now, database.id);
      });
}

bool GroupCoordinator::must_reinstate(core::Instant now, const std::vector<FencedMember>& fenced) const {
  return is_semi_synchronous() && now - phase_since_ >= kReinstateAfter &&
         fenced_last_primary(fenced) != nullptr;
}

std::vector<FencedMember> GroupCoordinator::fenced_members() const {
  std::vector<FencedMember> fenced;
  for (const protocol::Database& database : group_.databases) {
    const auto fence = fences_.find(database.id);
    if (fence == fences_.end() || !fence->second.answer.has_value()) {
      continue;
    }
    FencedMember fenced_member;
    fenced_member.database = database.id;
    fenced_member.received = fence->second.answer->received;
    fenced_member.leaving = database.draining || fence->second.answer->leaving;
    fenced_member.avoided = database.id == replaced_primary_ || failed_candidates_.contains(database.id);
    fenced_member.log_unproven = database.log_unproven || has_lost_log(fence->second);
    fenced_member.led_last_term = database.id == last_primary();
    fenced.push_back(fenced_member);
  }
  return fenced;
}

void GroupCoordinator::choose_when_fenced(core::Instant now) {
  const std::vector<FencedMember> fenced = fenced_members();
  if (!enough_fenced(fenced, group_.databases.size(), group_.sync_replicas) && !must_reinstate(now, fenced)) {
    fence_quorum_since_.reset();
    return;
  }
  if (!old_primary_is_released(now)) {
    return;
  }
  if (!fence_quorum_since_.has_value()) {
    fence_quorum_since_ = now;
    repeat_old_fences(now);
    send_fences(now);
  }
  if (awaits_repeated_fence() || should_await_more_fences(now)) {
    return;
  }
  const std::optional<core::DatabaseId> chosen =
      choose_primary(fenced, group_.databases.size(), group_.sync_replicas);
  if (!chosen.has_value()) {
    return;
  }
  if (promote_attempts_ == 0) {
    candidate_ = *chosen;
    candidate_started_again_ = false;
    orders_.on_candidate_chosen();
  } else if (*chosen != candidate_) {
    abandon_candidate(now);
    return;
  }
  phase_ = Phase::kPromoting;
  phase_since_ = now;
  promote_sent_.reset();
  promote_failed_.reset();
  promote(now);
}

}  // namespace pipitpond::failover
