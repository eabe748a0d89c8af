#include "failover/group_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "failover/primary_choice.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {

void GroupCoordinator::reset() {
  probes_.reset();
  departed_removal_.reset();
  tally_.clear();
  proposed_term_ = 0;
  earliest_planned_change_ = {};
  enter_steady();
}

void GroupCoordinator::enter_steady() {
  phase_ = Phase::kSteady;
  leaving_since_.reset();
  planned_ = false;
  replaced_primary_ = {};
  fences_.clear();
  fence_quorum_since_.reset();
  failed_candidates_.clear();
  candidate_ = {};
}

void GroupCoordinator::on_configuration(core::Instant now, const protocol::Group& group,
                                        std::vector<core::DaemonId> owners, protocol::Revision revision) {
  const core::Term term_before = last_term();
  group_ = group;
  owners_ = std::move(owners);
  probes_.set_members(group_);
  if (has_primary()) {
    if (phase_ != Phase::kSteady && last_term() >= proposed_term_) {
      enter_steady();
      probes_.reset();  // Probe answers of the new primary date from before its promotion.
      departed_removal_.reset();
    }
    return;
  }
  const bool proposed_term_begun = phase_ == Phase::kBeginning && last_term() == proposed_term_;
  if (proposed_term_begun) {
    begin_revision_ = revision;
  }
  if (proposed_term_begun && planned_) {
    start_quiescing(now);
  } else if (proposed_term_begun) {
    start_fencing(now);
  } else if (last_term() != term_before && last_term() != proposed_term_) {
    // Another leadership began this term and may have sent promotions that are unknown here, so no database
    // may be promoted in it. tick() begins the next term.
    enter_steady();
  }
}

void GroupCoordinator::report(const core::DaemonId& daemon, std::vector<protocol::SuspicionReport> reports) {
  tally_.report(daemon, std::move(reports));
}

void GroupCoordinator::on_probe_answer(core::Instant now, const database::StatusAnswer& status) {
  probes_.on_answer(now, status);
  highest_seen_term_ = std::max(highest_seen_term_, status.term);
}

void GroupCoordinator::on_probe_failed(core::Instant now, const core::DatabaseId& database) {
  probes_.on_failure(now, database);
}

void GroupCoordinator::tick(core::Instant now, const LastHeartbeats& last_heartbeats) {
  if (group_.databases.empty()) {
    return;
  }
  if (should_probe()) {
    probes_.probe(now, phase_ == Phase::kQuiescing ? kQuiesceProbeInterval : protocol::kProbeInterval,
                  effects_);
  }
  switch (phase_) {
    case Phase::kSteady:
      if (never_had_a_primary()) {
        adopt_primary(now);
      } else if (change_is_due(now, last_heartbeats)) {
        begin(now, false);
      } else if (planned_change_is_due(now,
                                       tally_.count(now, owners_, last_heartbeats, primary(), last_term()))) {
        begin(now, true);
      } else if (has_primary()) {
        departed_removal_.tick(now, group_, primary(), probes_, effects_);
      }
      break;
    case Phase::kBeginning:
      if (now - proposed_at_ >= kProposalRetryInterval) {
        propose_begin(now);
      }
      break;
    case Phase::kQuiescing:
      quiesce(now);
      break;
    case Phase::kFencing:
      send_fences(now);
      choose_when_fenced(now);
      break;
    case Phase::kPromoting:
      promote(now);
      break;
    case Phase::kCompleting:
      if (now - proposed_at_ >= kProposalRetryInterval || is_semi_synchronous()) {
        propose_complete(now);
      }
      break;
  }
}

std::size_t GroupCoordinator::fences_needed() const {
  return failover::fences_needed(group_.databases.size(), group_.sync_replicas);
}

core::Duration GroupCoordinator::promote_timeout() const {
  return is_semi_synchronous() ? kExternalPromotionTimeout : kAnswerTimeout;
}

core::Duration GroupCoordinator::planned_change_notice() const {
  // In a semi-synchronous group, daemons keep using a leaving primary until the change begins, so waiting
  // does not drain its transactions.
  return is_semi_synchronous() ? core::Duration::zero() : kPlannedChangeNotice;
}

// --- First primary of a self-registered group --------------------------------------------------------------

bool GroupCoordinator::never_had_a_primary() const {
  return group_.self_registered && group_.terms.empty();
}

void GroupCoordinator::adopt_primary(core::Instant now) {
  for (const protocol::Database& database : group_.databases) {
    const database::StatusAnswer* status = probes_.status(database.id);
    const bool is_primary =
        status != nullptr && status->role == database::Role::kPrimary && probes_.reachable(now, database.id);
    if (is_primary) {
      effects_.emplace_back(ProposeAdoptPrimary{group_.name, status->term, database.id});
      return;
    }
  }
}

// --- Failure detection -------------------------------------------------------------------------------------

bool GroupCoordinator::should_probe() const {
  const bool draining = has_primary() && member(primary()) != nullptr && member(primary())->draining;
  return !has_primary() || phase_ != Phase::kSteady || !tally_.empty() || owners_.size() < 2 || draining ||
         DepartedDatabaseRemoval::has_departed_database(group_);
}

bool GroupCoordinator::change_is_due(core::Instant now, const LastHeartbeats& last_heartbeats) const {
  // A change that can't fence enough databases would leave the group without a primary for longer.
  if (probes_.count_reachable(now) < fences_needed()) {
    return false;
  }
  if (!has_primary()) {
    return true;
  }
  if (member(primary()) == nullptr) {
    return true;  // An operator has removed the primary from the group.
  }
  const SuspicionCounts counts = tally_.count(now, owners_, last_heartbeats, primary(), last_term());
  if (counts.majority_lost_primary()) {
    return true;
  }
  // In a semi-synchronous group, one failed probe by the leader confirms the suspicion of a majority of
  // owners.
  const bool leader_probe_failed = is_semi_synchronous() && probes_.last_probe_failed(primary());
  const bool leader_agrees = leader_lost_primary(now) || stall_confirmed(now) || leader_probe_failed;
  if (counts.majority_suspects() || counts.heard_majority_suspects()) {
    return leader_agrees;
  }
  // Partial partition: some callers can't write, and the leader can't reach the primary either. A new primary
  // serves all callers.
  const bool partially_partitioned =
      is_semi_synchronous() && counts.quarter_lost_primary() && leader_lost_primary(now);
  // Only owners with writes in progress notice a stall, so one report suffices when the leader confirms it.
  const bool acks_missing = is_semi_synchronous() && counts.stalled > 0 && replica_acks_missing(now);
  return partially_partitioned || acks_missing ||
         (counts.owners == 0 && (leader_lost_primary(now) || stall_confirmed(now)));
}

bool GroupCoordinator::leader_lost_primary(core::Instant now) const {
  if (probes_.suspected_unreachable(primary())) {
    return true;
  }
  const database::StatusAnswer* status = probes_.status(primary());
  // A semi-synchronous group counts its own terms, which may be behind those of the configuration.
  const bool is_current_term = is_semi_synchronous() || (status != nullptr && status->term >= last_term());
  return status != nullptr && probes_.reachable(now, primary()) && is_current_term &&
         status->role != database::Role::kPrimary;
}

bool GroupCoordinator::stall_confirmed(core::Instant now) const {
  const database::StatusAnswer* status = probes_.status(primary());
  if (status == nullptr || !probes_.reachable(now, primary())) {
    return false;
  }
  if (is_semi_synchronous()) {
    return replica_acks_missing(now);
  }
  const bool stalled = status->replication_stalled_ms >= core::to_millis(protocol::kReplicationStallLimit);
  // Without a majority of other reachable databases no replica can take over. While replicas advance,
  // replication is slow but not stalled.
  const bool others_can_serve =
      probes_.count_reachable(now, primary()) >= majority_of(group_.databases.size());
  return stalled && others_can_serve && !probes_.replicas_advancing(now, primary());
}

/// True when no replica holds the primary's last log entry and none advances although enough replicas are
/// reachable: writes on the primary wait for replica acknowledgements.
bool GroupCoordinator::replica_acks_missing(core::Instant now) const {
  const database::StatusAnswer* status = probes_.status(primary());
  if (status == nullptr || !probes_.reachable(now, primary())) {
    return false;
  }
  const bool all_behind =
      std::all_of(group_.databases.begin(), group_.databases.end(), [&](const protocol::Database& other) {
        const database::StatusAnswer* other_status = probes_.status(other.id);
        return other.id == primary() || other_status == nullptr || other_status->received < status->received;
      });
  return all_behind && probes_.count_reachable(now, primary()) >= fences_needed() &&
         !probes_.replicas_advancing(now, primary());
}

bool GroupCoordinator::primary_is_leaving(const SuspicionCounts& counts) const {
  const protocol::Database* configured = member(primary());
  const database::StatusAnswer* status = probes_.status(primary());
  return (configured != nullptr && configured->draining) || counts.leaving ||
         (status != nullptr && status->leaving);
}

bool GroupCoordinator::planned_change_is_due(core::Instant now, const SuspicionCounts& counts) {
  if (!has_primary() || !primary_is_leaving(counts)) {
    leaving_since_.reset();
    return false;
  }
  if (!leaving_since_) {
    leaving_since_ = now;
  }
  if (now < earliest_planned_change_ || now - *leaving_since_ < planned_change_notice()) {
    return false;
  }
  const database::StatusAnswer* primary_status = probes_.status(primary());
  if (primary_status == nullptr || !probes_.reachable(now, primary()) ||
      probes_.count_reachable(now) < fences_needed()) {
    return false;
  }
  return std::any_of(group_.databases.begin(), group_.databases.end(), [&](const protocol::Database& other) {
    const database::StatusAnswer* status = probes_.status(other.id);
    return other.id != primary() && !other.draining && !other.departed && status != nullptr &&
           !status->leaving && probes_.reachable(now, other.id) &&
           status->received.index + kPlannedChangeMaxLagEntries >= primary_status->received.index;
  });
}

// --- Begin a term ------------------------------------------------------------------------------------------

void GroupCoordinator::begin(core::Instant now, bool planned) {
  phase_ = Phase::kBeginning;
  planned_ = planned;
  if (has_primary()) {
    replaced_primary_ = primary();
  }
  if (planned) {
    earliest_planned_change_ = now + kPlannedChangeMinInterval;
  }
  proposed_term_ = std::max({last_term(), highest_seen_term_, proposed_term_}) + 1;
  propose_begin(now);
}

void GroupCoordinator::propose_begin(core::Instant now) {
  proposed_at_ = now;
  effects_.emplace_back(ProposeBeginPrimaryChange{group_.name, last_term(), proposed_term_});
}

// --- Quiesce a leaving primary -----------------------------------------------------------------------------

void GroupCoordinator::start_quiescing(core::Instant now) {
  phase_ = Phase::kQuiescing;
  phase_since_ = now;
}

void GroupCoordinator::quiesce(core::Instant now) {
  const core::Duration waited = now - phase_since_;
  const database::StatusAnswer* status = probes_.status(replaced_primary_);
  const bool idle = status != nullptr && status->received == status->committed && status->slots_in_use == 0;
  const bool unreachable = !probes_.reachable(now, replaced_primary_);
  if (waited >= kMaxQuiesceTime || unreachable || (waited >= kMinQuiesceTime && idle)) {
    start_fencing(now);
  }
}

// --- Fence -------------------------------------------------------------------------------------------------

void GroupCoordinator::start_fencing(core::Instant now) {
  phase_ = Phase::kFencing;
  phase_since_ = now;
  fences_.clear();
  fence_quorum_since_.reset();
  send_fences(now);
}

void GroupCoordinator::send_fences(core::Instant now) {
  for (const protocol::Database& database : group_.databases) {
    Fence& fence = fences_[database.id];
    const bool awaiting_answer = fence.sent.has_value() && now - *fence.sent < kAnswerTimeout;
    const bool backing_off = fence.failed.has_value() && now - *fence.failed < kRetryDelay;
    if (fence.answer.has_value() || awaiting_answer || backing_off) {
      continue;
    }
    fence.sent = now;
    effects_.emplace_back(FenceDatabase{group_.name, database.id, database.endpoint, proposed_term_});
  }
}

void GroupCoordinator::on_fence_answer(core::Instant now, const database::FenceAnswer& answer) {
  if (phase_ != Phase::kFencing || answer.term != proposed_term_ || member(answer.database) == nullptr) {
    return;
  }
  if (answer.received.term >= proposed_term_) {
    // The log has entries of this term, so it already has a primary that this leadership did not choose.
    highest_seen_term_ = std::max(highest_seen_term_, answer.received.term);
    begin(now, false);
    return;
  }
  fences_[answer.database].answer = answer;
  choose_when_fenced(now);
}

void GroupCoordinator::on_fence_failed(core::Instant now, const core::DatabaseId& database, core::Term term) {
  if (phase_ != Phase::kFencing || term != proposed_term_) {
    return;
  }
  Fence& fence = fences_[database];
  fence.sent.reset();
  fence.failed = now;
  choose_when_fenced(now);
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

void GroupCoordinator::choose_when_fenced(core::Instant now) {
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
    fenced.push_back(fenced_member);
  }
  if (fenced.size() < fences_needed()) {
    return;
  }
  if (!fence_quorum_since_.has_value()) {
    fence_quorum_since_ = now;
  }
  if (should_await_more_fences(now)) {
    return;
  }
  const std::optional<core::DatabaseId> chosen =
      choose_primary(fenced, group_.databases.size(), group_.sync_replicas);
  if (!chosen.has_value()) {
    return;
  }
  candidate_ = *chosen;
  phase_ = Phase::kPromoting;
  phase_since_ = now;
  promote_sent_.reset();
  promote_failed_.reset();
  promote_attempts_ = 0;
  promote(now);
}

// --- Promote -----------------------------------------------------------------------------------------------

void GroupCoordinator::promote(core::Instant now) {
  const bool awaiting_answer = promote_sent_.has_value() && now - *promote_sent_ < promote_timeout();
  const bool backing_off = promote_failed_.has_value() && now - *promote_failed_ < kRetryDelay;
  if (awaiting_answer || backing_off) {
    return;
  }
  const protocol::Database* chosen = member(candidate_);
  if (promote_attempts_ >= kPromoteAttempts || chosen == nullptr) {
    abandon_candidate(now);
    return;
  }
  ++promote_attempts_;
  promote_sent_ = now;
  promote_failed_.reset();
  PromoteDatabase effect{group_.name, chosen->id, chosen->endpoint, proposed_term_, {}};
  for (const protocol::Database& database : group_.databases) {
    effect.members.push_back(database::Member{database.id, database.endpoint});
  }
  effects_.emplace_back(std::move(effect));
}

void GroupCoordinator::abandon_candidate(core::Instant now) {
  // The candidate may have accepted the promotion without its answer arriving, and may act as primary of this
  // term. Another database may be promoted only in a later term, whose fences stop this candidate.
  failed_candidates_.insert(candidate_);
  begin(now, false);
}

void GroupCoordinator::on_promote_answer(core::Instant now, const database::PromoteAnswer& answer) {
  if (phase_ != Phase::kPromoting || answer.term != proposed_term_ || answer.database != candidate_) {
    return;
  }
  term_start_ = answer.start;
  phase_ = Phase::kCompleting;
  phase_since_ = now;
  proposed_at_ = now - kProposalRetryInterval;
  propose_complete(now);
}

void GroupCoordinator::on_promote_failed(core::Instant now, const core::DatabaseId& database,
                                         core::Term term) {
  if (phase_ != Phase::kPromoting || term != proposed_term_ || database != candidate_) {
    return;
  }
  promote_sent_.reset();
  promote_failed_ = now;
}

void GroupCoordinator::on_refused(core::Instant now, const core::DatabaseId& database, core::Term term,
                                  core::Term newer_term) {
  highest_seen_term_ = std::max(highest_seen_term_, newer_term);
  const bool fencing = phase_ == Phase::kFencing;
  const bool promoting = phase_ == Phase::kPromoting && database == candidate_;
  if (term != proposed_term_ || !(fencing || promoting)) {
    return;
  }
  begin(now, false);
}

// --- Complete ----------------------------------------------------------------------------------------------

void GroupCoordinator::propose_complete(core::Instant now) {
  // In a semi-synchronous group, fencing does not stop reads on the old primary. Every daemon must have
  // applied the begin of the change, or lost its lease, before the new primary can acknowledge a write.
  const bool too_early = is_semi_synchronous() && !revision_applied_(now, begin_revision_);
  if (too_early || now - proposed_at_ < kProposalRetryInterval) {
    return;
  }
  proposed_at_ = now;
  effects_.emplace_back(ProposeCompletePrimaryChange{group_.name, proposed_term_, candidate_, term_start_});
}

// --- Committed state ---------------------------------------------------------------------------------------

core::Term GroupCoordinator::last_term() const {
  return group_.terms.empty() ? 0 : group_.terms.back().term;
}

bool GroupCoordinator::has_primary() const {
  return !group_.terms.empty() && !group_.terms.back().primary.empty();
}

core::DatabaseId GroupCoordinator::primary() const {
  return group_.terms.empty() ? core::DatabaseId() : group_.terms.back().primary;
}

const protocol::Database* GroupCoordinator::member(const core::DatabaseId& database) const {
  const auto found = std::find_if(group_.databases.begin(), group_.databases.end(),
                                  [&](const protocol::Database& other) { return other.id == database; });
  return found == group_.databases.end() ? nullptr : &*found;
}

}  // namespace pipitpond::failover
