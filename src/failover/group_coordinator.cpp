#include "failover/group_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "failover/primary_choice.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {

void GroupCoordinator::reset() {
  watch_.reset();
  departures_.reset();
  tally_.clear();
  own_term_ = 0;
  planned_not_before_ = {};
  enter_steady();
}

void GroupCoordinator::enter_steady() {
  phase_ = Phase::kSteady;
  leaving_since_.reset();
  planned_ = false;
  replaced_ = {};
  fences_.clear();
  majority_since_.reset();
  avoided_.clear();
  candidate_ = {};
}

void GroupCoordinator::on_configuration(core::Instant now, const protocol::Group& group,
                                        std::vector<core::DaemonId> owners, protocol::Revision revision) {
  const core::Term term_before = last_term();
  group_ = group;
  owners_ = std::move(owners);
  watch_.set_members(group_);
  if (has_primary()) {
    if (phase_ != Phase::kSteady && last_term() >= own_term_) {
      enter_steady();
      watch_.reset();  // What was seen of the new primary is from before it was one.
      departures_.reset();
    }
    return;
  }
  const bool own_begin = phase_ == Phase::kBeginning && last_term() == own_term_;
  if (own_begin) {
    begin_revision_ = revision;
  }
  if (own_begin && planned_) {
    start_quiescing(now);
  } else if (own_begin) {
    start_fencing(now);
  } else if (last_term() != term_before && last_term() != own_term_) {
    // Someone else began this term. What it has asked of the databases is not known here, so that no
    // database may be promoted in it: tick begins the next term.
    enter_steady();
  }
}

void GroupCoordinator::report(const core::DaemonId& daemon, std::vector<protocol::SuspicionReport> reports) {
  tally_.report(daemon, std::move(reports));
}

void GroupCoordinator::on_probe_answer(core::Instant now, const database::StatusAnswer& status) {
  watch_.on_answer(now, status);
  newest_seen_ = std::max(newest_seen_, status.term);
}

void GroupCoordinator::on_probe_failed(core::Instant now, const core::DatabaseId& database) {
  watch_.on_failure(now, database);
}

void GroupCoordinator::tick(core::Instant now, const HeardTable& heard) {
  if (group_.databases.empty()) {
    return;
  }
  if (should_watch()) {
    watch_.probe(now, phase_ == Phase::kQuiescing ? kQuiesceProbeInterval : protocol::kProbeInterval,
                 effects_);
  }
  switch (phase_) {
    case Phase::kSteady:
      if (never_had_a_primary()) {
        adopt_primary(now);
      } else if (change_is_due(now, heard)) {
        begin(now, false);
      } else if (planned_change_is_due(now, tally_.count(now, owners_, heard, primary(), last_term()))) {
        begin(now, true);
      } else if (has_primary()) {
        departures_.tick(now, group_, primary(), watch_, effects_);
      }
      break;
    case Phase::kBeginning:
      if (now - proposed_at_ >= kProposalRetry) {
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
      if (now - proposed_at_ >= kProposalRetry || acknowledges_by_receipt()) {
        propose_complete(now);
      }
      break;
  }
}

std::size_t GroupCoordinator::fences_needed() const {
  return failover::fences_needed(group_.databases.size(), group_.sync_replicas);
}

core::Duration GroupCoordinator::promote_timeout() const {
  return acknowledges_by_receipt() ? kOrderedPromotionTimeout : kAnswerTimeout;
}

core::Duration GroupCoordinator::planned_change_notice() const {
  // Daemons of such a group go on with the leaving primary until the change begins, so waiting gains nothing.
  return acknowledges_by_receipt() ? core::Duration::zero() : kPlannedChangeNotice;
}

// --- The first primary of a self-registered group
// -------------------------------------------------------------

bool GroupCoordinator::never_had_a_primary() const {
  return group_.self_registered && group_.terms.empty();
}

void GroupCoordinator::adopt_primary(core::Instant now) {
  for (const protocol::Database& database : group_.databases) {
    const database::StatusAnswer* status = watch_.status(database.id);
    const bool leads =
        status != nullptr && status->role == database::Role::kPrimary && watch_.reachable(now, database.id);
    if (leads) {
      effects_.emplace_back(ProposeAdoptPrimary{group_.name, status->term, database.id});
      return;
    }
  }
}

// --- Whether to change -------------------------------------------------------------------------------------

bool GroupCoordinator::should_watch() const {
  const bool draining = has_primary() && member(primary()) != nullptr && member(primary())->draining;
  return !has_primary() || phase_ != Phase::kSteady || !tally_.empty() || owners_.size() < 2 || draining ||
         DepartureWatch::needed(group_);
}

bool GroupCoordinator::change_is_due(core::Instant now, const HeardTable& heard) const {
  // A change that can't reach a majority would leave the group without any primary for longer.
  if (watch_.count_reachable(now) < fences_needed()) {
    return false;
  }
  if (!has_primary()) {
    return true;
  }
  if (member(primary()) == nullptr) {
    return true;  // An operator has taken the primary out of the group.
  }
  const Tally tally = tally_.count(now, owners_, heard, primary(), last_term());
  if (tally.majority_lost()) {
    return true;
  }
  // With a majority of the daemons, one failed probe of the leader's own is enough.
  const bool doubted_too = acknowledges_by_receipt() && watch_.doubtful(primary());
  const bool leader_agrees = leader_lost_primary(now) || stall_confirmed(now) || doubted_too;
  if (tally.majority_suspects() || tally.heard_majority_suspects()) {
    return leader_agrees;
  }
  // Some callers can't write, and the leader itself could not stop the primary: moving it serves all of them.
  const bool cut_in_part = acknowledges_by_receipt() && tally.part_lost() && leader_lost_primary(now);
  // Only those that write see the stall; the others can't contradict them, but the leader can.
  const bool no_receipts = acknowledges_by_receipt() && tally.stalled > 0 && receipts_missing(now);
  return cut_in_part || no_receipts ||
         (tally.owners == 0 && (leader_lost_primary(now) || stall_confirmed(now)));
}

bool GroupCoordinator::leader_lost_primary(core::Instant now) const {
  if (watch_.silent(primary())) {
    return true;
  }
  const database::StatusAnswer* status = watch_.status(primary());
  // Terms of a group that acknowledges by receipt are its own, and may be behind those of control.
  const bool of_this_term = acknowledges_by_receipt() || (status != nullptr && status->term >= last_term());
  return status != nullptr && watch_.reachable(now, primary()) && of_this_term &&
         status->role != database::Role::kPrimary;
}

bool GroupCoordinator::stall_confirmed(core::Instant now) const {
  const database::StatusAnswer* status = watch_.status(primary());
  if (status == nullptr || !watch_.reachable(now, primary())) {
    return false;
  }
  if (acknowledges_by_receipt()) {
    return receipts_missing(now);
  }
  const bool stalled = status->replication_stalled_ms >= core::to_millis(protocol::kReplicationStallLimit);
  // Without a majority of others there is nobody better; with advancing replicas it is mere slowness.
  const bool others_can_serve =
      watch_.count_reachable(now, primary()) >= majority_of(group_.databases.size());
  return stalled && others_can_serve && !watch_.replicas_advance(now, primary());
}

/// Callers wait for the primary's receipts, and no replica in reach receives what the primary has.
bool GroupCoordinator::receipts_missing(core::Instant now) const {
  const database::StatusAnswer* status = watch_.status(primary());
  if (status == nullptr || !watch_.reachable(now, primary())) {
    return false;
  }
  const bool all_behind =
      std::all_of(group_.databases.begin(), group_.databases.end(), [&](const protocol::Database& other) {
        const database::StatusAnswer* seen = watch_.status(other.id);
        return other.id == primary() || seen == nullptr || seen->received < status->received;
      });
  return all_behind && watch_.count_reachable(now, primary()) >= fences_needed() &&
         !watch_.replicas_advance(now, primary());
}

bool GroupCoordinator::primary_is_leaving(const Tally& tally) const {
  const protocol::Database* declared = member(primary());
  const database::StatusAnswer* status = watch_.status(primary());
  return (declared != nullptr && declared->draining) || tally.leaving ||
         (status != nullptr && status->leaving);
}

bool GroupCoordinator::planned_change_is_due(core::Instant now, const Tally& tally) {
  if (!has_primary() || !primary_is_leaving(tally)) {
    leaving_since_.reset();
    return false;
  }
  if (!leaving_since_) {
    leaving_since_ = now;
  }
  if (now < planned_not_before_ || now - *leaving_since_ < planned_change_notice()) {
    return false;
  }
  const database::StatusAnswer* current = watch_.status(primary());
  if (current == nullptr || !watch_.reachable(now, primary()) ||
      watch_.count_reachable(now) < fences_needed()) {
    return false;
  }
  return std::any_of(group_.databases.begin(), group_.databases.end(), [&](const protocol::Database& other) {
    const database::StatusAnswer* status = watch_.status(other.id);
    return other.id != primary() && !other.draining && !other.departed && status != nullptr &&
           !status->leaving && watch_.reachable(now, other.id) &&
           status->received.index + kPlannedChangeLag >= current->received.index;
  });
}

// --- Begin -------------------------------------------------------------------------------------------------

void GroupCoordinator::begin(core::Instant now, bool planned) {
  phase_ = Phase::kBeginning;
  planned_ = planned;
  if (has_primary()) {
    replaced_ = primary();
  }
  if (planned) {
    planned_not_before_ = now + kPlannedChangeRest;
  }
  own_term_ = std::max({last_term(), newest_seen_, own_term_}) + 1;
  propose_begin(now);
}

void GroupCoordinator::propose_begin(core::Instant now) {
  proposed_at_ = now;
  effects_.emplace_back(ProposeBeginPrimaryChange{group_.name, last_term(), own_term_});
}

// --- Let a leaving primary finish
// ----------------------------------------------------------------------------

void GroupCoordinator::start_quiescing(core::Instant now) {
  phase_ = Phase::kQuiescing;
  phase_since_ = now;
}

void GroupCoordinator::quiesce(core::Instant now) {
  const core::Duration waited = now - phase_since_;
  const database::StatusAnswer* status = watch_.status(replaced_);
  const bool idle = status != nullptr && status->received == status->committed && status->slots_in_use == 0;
  const bool gone = !watch_.reachable(now, replaced_);
  if (waited >= kQuiesceMax || gone || (waited >= kQuiesceMin && idle)) {
    start_fencing(now);
  }
}

// --- Fence -------------------------------------------------------------------------------------------------

void GroupCoordinator::start_fencing(core::Instant now) {
  phase_ = Phase::kFencing;
  phase_since_ = now;
  fences_.clear();
  majority_since_.reset();
  send_fences(now);
}

void GroupCoordinator::send_fences(core::Instant now) {
  for (const protocol::Database& database : group_.databases) {
    Fence& fence = fences_[database.id];
    const bool waiting = fence.sent.has_value() && now - *fence.sent < kAnswerTimeout;
    const bool resting = fence.failed.has_value() && now - *fence.failed < kRetryDelay;
    if (fence.answer.has_value() || waiting || resting) {
      continue;
    }
    fence.sent = now;
    effects_.emplace_back(FenceDatabase{group_.name, database.id, database.endpoint, own_term_});
  }
}

void GroupCoordinator::on_fence_answer(core::Instant now, const database::FenceAnswer& answer) {
  if (phase_ != Phase::kFencing || answer.term != own_term_ || member(answer.database) == nullptr) {
    return;
  }
  if (answer.received.term >= own_term_) {
    // Entries of this very term: a primary of it exists that this leadership did not choose.
    newest_seen_ = std::max(newest_seen_, answer.received.term);
    begin(now, false);
    return;
  }
  fences_[answer.database].answer = answer;
  choose_when_fenced(now);
}

void GroupCoordinator::on_fence_failed(core::Instant now, const core::DatabaseId& database, core::Term term) {
  if (phase_ != Phase::kFencing || term != own_term_) {
    return;
  }
  Fence& fence = fences_[database];
  fence.sent.reset();
  fence.failed = now;
  choose_when_fenced(now);
}

bool GroupCoordinator::worth_waiting(core::Instant now) const {
  if (now - *majority_since_ >= kFenceGrace) {
    return false;
  }
  return std::any_of(group_.databases.begin(), group_.databases.end(), [&](const protocol::Database& one) {
    const auto fence = fences_.find(one.id);
    const bool open = fence == fences_.end() || (!fence->second.answer && !fence->second.failed);
    return open && watch_.reachable(now, one.id);
  });
}

void GroupCoordinator::choose_when_fenced(core::Instant now) {
  std::vector<FencedMember> fenced;
  for (const protocol::Database& database : group_.databases) {
    const auto fence = fences_.find(database.id);
    if (fence == fences_.end() || !fence->second.answer.has_value()) {
      continue;
    }
    FencedMember one;
    one.database = database.id;
    one.received = fence->second.answer->received;
    one.leaving = database.draining || fence->second.answer->leaving;
    one.avoided = database.id == replaced_ || avoided_.contains(database.id);
    fenced.push_back(one);
  }
  if (fenced.size() < fences_needed()) {
    return;
  }
  if (!majority_since_.has_value()) {
    majority_since_ = now;
  }
  if (worth_waiting(now)) {
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
  const bool waiting = promote_sent_.has_value() && now - *promote_sent_ < promote_timeout();
  const bool resting = promote_failed_.has_value() && now - *promote_failed_ < kRetryDelay;
  if (waiting || resting) {
    return;
  }
  const protocol::Database* chosen = member(candidate_);
  if (promote_attempts_ >= kPromoteAttempts || chosen == nullptr) {
    give_up_candidate(now);
    return;
  }
  ++promote_attempts_;
  promote_sent_ = now;
  promote_failed_.reset();
  PromoteDatabase effect{group_.name, chosen->id, chosen->endpoint, own_term_, {}};
  for (const protocol::Database& database : group_.databases) {
    effect.members.push_back(database::Member{database.id, database.endpoint});
  }
  effects_.emplace_back(std::move(effect));
}

void GroupCoordinator::give_up_candidate(core::Instant now) {
  // The candidate may have accepted although no answer came, and it may act as this term's primary. Another
  // one must not be promoted in the same term, only in a later one, whose fences stop the first.
  avoided_.insert(candidate_);
  begin(now, false);
}

void GroupCoordinator::on_promote_answer(core::Instant now, const database::PromoteAnswer& answer) {
  if (phase_ != Phase::kPromoting || answer.term != own_term_ || answer.database != candidate_) {
    return;
  }
  start_ = answer.start;
  phase_ = Phase::kCompleting;
  phase_since_ = now;
  proposed_at_ = now - kProposalRetry;
  propose_complete(now);
}

void GroupCoordinator::on_promote_failed(core::Instant now, const core::DatabaseId& database,
                                         core::Term term) {
  if (phase_ != Phase::kPromoting || term != own_term_ || database != candidate_) {
    return;
  }
  promote_sent_.reset();
  promote_failed_ = now;
}

void GroupCoordinator::on_refused(core::Instant now, const core::DatabaseId& database, core::Term term,
                                  core::Term newer) {
  newest_seen_ = std::max(newest_seen_, newer);
  const bool fencing = phase_ == Phase::kFencing;
  const bool promoting = phase_ == Phase::kPromoting && database == candidate_;
  if (term != own_term_ || !(fencing || promoting)) {
    return;
  }
  begin(now, false);
}

// --- Complete ----------------------------------------------------------------------------------------------

void GroupCoordinator::propose_complete(core::Instant now) {
  // Nothing stops reads at the old primary of such a group. A daemon that may still trust it must have
  // learned of the change, or have lost its lease, before the new primary is given a write to acknowledge.
  const bool too_early = acknowledges_by_receipt() && !revision_followed_(now, begin_revision_);
  if (too_early || now - proposed_at_ < kProposalRetry) {
    return;
  }
  proposed_at_ = now;
  effects_.emplace_back(ProposeCompletePrimaryChange{group_.name, own_term_, candidate_, start_});
}

// --- The group
// -----------------------------------------------------------------------------------------------

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
                                  [&](const protocol::Database& one) { return one.id == database; });
  return found == group_.databases.end() ? nullptr : &*found;
}

}  // namespace pipitpond::failover
