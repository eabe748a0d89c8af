#include "failover/group_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "failover/primary_choice.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {

void GroupCoordinator::reset(core::Instant now) {
  orders_.on_leadership(now);
  probes_.reset();
  departed_removal_.reset();
  returned_logs_.reset();
  replaced_primaries_.reset(now);
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
  candidate_started_again_ = false;
}

void GroupCoordinator::on_configuration(core::Instant now, const protocol::Group& group,
                                        std::vector<core::DaemonId> owners, protocol::Revision revision) {
  const core::Term term_before = last_term();
  const bool had_primary = has_primary();
  const std::set<core::DatabaseId> returned = started_again(group);
  group_ = group;
  owners_ = std::move(owners);
  std::erase_if(fences_, [this](const auto& entry) { return member(entry.first) == nullptr; });
  probes_.set_members(now, group_);
  replaced_primaries_.set_group(now, group_, failed_candidates_);
  on_started_again(returned);
  if (has_primary()) {
    // A change that waits for its begin is needless once the one before it has ended well after all.
    const bool completed_meanwhile = phase_ == Phase::kBeginning && !had_primary;
    if (phase_ != Phase::kSteady && (last_term() >= proposed_term_ || completed_meanwhile)) {
      enter_steady();
      probes_.reset();  // Probe answers of the new primary date from before its promotion.
      departed_removal_.reset();
      returned_logs_.reset();
    }
    return;
  }
  const bool proposed_term_begun = phase_ == Phase::kBeginning && last_term() == proposed_term_;
  if (proposed_term_begun) {
    begin_revision_ = revision;
    orders_.on_term_begun();
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
  replaced_primaries_.on_probe_answer(now, status);
  highest_seen_term_ = std::max(highest_seen_term_, status.term);
  demote_returned_primary(status);
}

void GroupCoordinator::on_probe_failed(core::Instant now, const core::DatabaseId& database) {
  probes_.on_failure(now, database);
  replaced_primaries_.on_probe_failed(database);
}

void GroupCoordinator::tick(core::Instant now, const LastHeartbeats& last_heartbeats) {
  if (group_.databases.empty() || !is_named()) {
    return;
  }
  if (should_probe()) {
    probes_.probe(
        now, [this](const core::DatabaseId& database) { return probe_interval(database); }, effects_);
  } else if (is_semi_synchronous()) {
    replaced_primaries_.probe(now, effects_);
  }
  switch (phase_) {
    case Phase::kSteady:
      tick_steady(now, last_heartbeats);
      break;
    case Phase::kBeginning:
      propose_begin(now);
      break;
    case Phase::kQuiescing:
      quiesce(now);
      break;
    case Phase::kFencing:
      old_primary_is_released(now);
      send_fences(now);
      choose_when_fenced(now);
      break;
    case Phase::kPromoting:
      promote(now);
      break;
    case Phase::kCompleting:
      complete(now);
      break;
  }
}

void GroupCoordinator::tick_steady(core::Instant now, const LastHeartbeats& last_heartbeats) {
  if (never_had_a_primary()) {
    adopt_primary(now);
    return;
  }
  const bool may_begin = !order_may_take_effect(now);
  if (may_begin && change_is_due(now, last_heartbeats)) {
    begin(now, false);
    return;
  }
  const SuspicionCounts counts = tally_.count(now, owners_, last_heartbeats, primary(), last_term());
  // A planned change stops the writes of its primary, which must not wait for the order.
  if (may_begin && may_order(now) && planned_change_is_due(now, counts)) {
    begin(now, true);
    return;
  }
  if (has_primary()) {
    departed_removal_.tick(now, group_, primary(), probes_, effects_);
    returned_logs_.tick(now, group_, primary(), probes_, effects_);
    demote_replaced_primaries(now);
  }
}

/// Of other groups, a majority has promised the present term: a replaced primary acknowledges nothing.
void GroupCoordinator::demote_replaced_primaries(core::Instant now) {
  if (is_semi_synchronous()) {
    replaced_primaries_.tick(now, effects_);
  }
}

/// False for a group that only heartbeats name, perhaps of another writer: its databases are not to be used.
bool GroupCoordinator::is_named() const {
  return !group_.self_registered || group_.connection_limit > 0;
}

bool GroupCoordinator::can_fence_enough(core::Instant now, const core::DatabaseId& excluded) const {
  std::vector<FencedMember> reachable;
  for (const protocol::Database& database : group_.databases) {
    if (database.id != excluded && probes_.reachable(now, database.id)) {
      reachable.push_back(FencedMember{database.id, {}, false, false, database.log_unproven, false});
    }
  }
  return enough_fenced(reachable, group_.databases.size(), group_.sync_replicas);
}

core::Duration GroupCoordinator::promote_timeout() const {
  return is_promoted_by_service() ? kExternalPromotionTimeout : kAnswerTimeout;
}

core::Duration GroupCoordinator::planned_change_notice() const {
  // In a semi-synchronous group, daemons keep using a leaving primary until the change begins, so waiting
  // does not drain its transactions.
  return is_semi_synchronous() ? core::Duration::zero() : kPlannedChangeNotice;
}

// --- Databases that start again during a change ------------------------------------------------------------

std::set<core::DatabaseId> GroupCoordinator::started_again(const protocol::Group& next) const {
  std::set<core::DatabaseId> returned;
  for (const protocol::Database& database : next.databases) {
    const protocol::Database* before = member(database.id);
    if (before != nullptr && before->born > 0 && before->born != database.born) {
      returned.insert(database.id);
    }
  }
  return returned;
}

void GroupCoordinator::on_started_again(const std::set<core::DatabaseId>& databases) {
  for (const core::DatabaseId& database : databases) {
    fences_.erase(database);  // A new life has forgotten the fence.
  }
  candidate_started_again_ = candidate_started_again_ || databases.contains(candidate_);
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
  proposed_at_ = now - kProposalRetryInterval;
  propose_begin(now);
}

void GroupCoordinator::propose_begin(core::Instant now) {
  if (order_may_take_effect(now) || now - proposed_at_ < kProposalRetryInterval) {
    return;
  }
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

// --- Promote -----------------------------------------------------------------------------------------------

void GroupCoordinator::promote(core::Instant now) {
  const bool awaiting_answer = promote_sent_.has_value() && now - *promote_sent_ < promote_timeout();
  const bool backing_off = promote_failed_.has_value() && now - *promote_failed_ < kRetryDelay;
  if (awaiting_answer || backing_off || !may_order(now)) {
    return;
  }
  const protocol::Database* chosen = member(candidate_);
  // It was chosen for a log that it may have lost.
  const bool may_lack_its_log = candidate_started_again_ && promote_attempts_ > 0;
  if (promote_attempts_ >= kPromoteAttempts || chosen == nullptr || may_lack_its_log) {
    abandon_candidate(now);
    return;
  }
  if (choice_is_old(now)) {
    fence_again(now);
    return;
  }
  ++promote_attempts_;
  promote_sent_ = now;
  promote_failed_.reset();
  orders_.on_requested(now);
  PromoteDatabase effect{group_.name, chosen->id, chosen->endpoint, proposed_term_, {}};
  for (const protocol::Database& database : group_.databases) {
    effect.members.push_back(database::Member{database.id, database.endpoint});
  }
  effects_.emplace_back(std::move(effect));
}

bool GroupCoordinator::choice_is_old(core::Instant now) const {
  return is_promoted_by_service() && now - phase_since_ > kFenceAnswerMaxAge;
}

bool GroupCoordinator::has_ordered() const {
  return is_promoted_by_service() && (phase_ == Phase::kPromoting || phase_ == Phase::kCompleting);
}

core::Duration GroupCoordinator::probe_interval(const core::DatabaseId& database) const {
  const auto fence = fences_.find(database);
  const bool is_fenced = fence != fences_.end() && fence->second.answer.has_value();
  const bool may_lead_on = has_ordered() && !is_fenced;
  return phase_ == Phase::kQuiescing || may_lead_on ? kShortProbeInterval : protocol::kProbeInterval;
}

void GroupCoordinator::demote_returned_primary(const database::StatusAnswer& status) {
  const protocol::Database* returned = member(status.database);
  const bool leads_on = status.role == database::Role::kPrimary && status.database != candidate_;
  if (has_ordered() && leads_on && returned != nullptr) {
    // It may come late: whoever is promoted from now on leads this term or a later one, and doesn't obey.
    const core::Term end_of_its_lead = status.term + 1;
    effects_.emplace_back(DemoteDatabase{group_.name, returned->id, returned->endpoint, end_of_its_lead});
  }
}

void GroupCoordinator::abandon_candidate(core::Instant now) {
  // The candidate may have accepted the promotion without its answer arriving, and may act as primary of this
  // term. Another database may be promoted only in a later term, which fences this candidate. In a
  // semi-synchronous group fences stop no promotion that is still under way: begin() waits for its end.
  failed_candidates_.insert(candidate_);
  begin(now, false);
}

void GroupCoordinator::on_promote_answer(core::Instant now, const database::PromoteAnswer& answer) {
  if (!awaits_promotion(answer.database, answer.term)) {
    return;
  }
  orders_.on_effect_seen();
  term_start_ = answer.start;
  phase_ = Phase::kCompleting;
  phase_since_ = now;
  proposed_at_ = now - kProposalRetryInterval;
  propose_complete(now);
}

void GroupCoordinator::on_promote_failed(core::Instant now, const core::DatabaseId& database,
                                         core::Term term) {
  if (awaits_promotion(database, term)) {
    retry_promotion(now);
    orders_.on_failed();
  }
}

void GroupCoordinator::on_promote_without_effect(core::Instant now, const core::DatabaseId& database,
                                                 core::Term term) {
  if (awaits_promotion(database, term)) {
    retry_promotion(now);
    orders_.on_without_effect();
  }
}

bool GroupCoordinator::awaits_promotion(const core::DatabaseId& database, core::Term term) const {
  return phase_ == Phase::kPromoting && term == proposed_term_ && database == candidate_;
}

void GroupCoordinator::retry_promotion(core::Instant now) {
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

void GroupCoordinator::complete(core::Instant now) {
  // Control refuses a primary that is no member, however often it is proposed.
  const bool is_lost = member(candidate_) == nullptr || candidate_started_again_;
  if (is_lost) {
    abandon_candidate(now);
  } else if (now - proposed_at_ >= kProposalRetryInterval || is_semi_synchronous()) {
    propose_complete(now);
  }
}

void GroupCoordinator::propose_complete(core::Instant now) {
  // In a semi-synchronous group, fencing does not stop reads on the old primary. Every daemon must have
  // applied the begin of the change, or lost its lease, before the new primary can acknowledge a write.
  const bool too_early = is_semi_synchronous() && !revision_applied_(now, begin_revision_);
  // Later leaders take a term's primary for a proof that no order of the term is under way.
  const bool has_order_under_way = is_promoted_by_service() && orders_.own_may_take_effect(now);
  if (too_early || has_order_under_way || now - proposed_at_ < kProposalRetryInterval) {
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

core::DatabaseId GroupCoordinator::last_primary() const {
  const auto last = std::find_if(group_.terms.rbegin(), group_.terms.rend(),
                                 [](const protocol::TermStart& term) { return !term.primary.empty(); });
  return last == group_.terms.rend() ? core::DatabaseId() : last->primary;
}

core::DatabaseId GroupCoordinator::primary() const {
  return group_.terms.empty() ? core::DatabaseId() : group_.terms.back().primary;
}

const protocol::Database* GroupCoordinator::member(const core::DatabaseId& database) const {
  return protocol::find_database(group_, database);
}

}  // namespace pipitpond::failover
