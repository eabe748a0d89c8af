// Decides whether a change of primary is due in a group, and which primary a new group already has.
#include <algorithm>

#include "failover/group_coordinator.hpp"
#include "failover/primary_choice.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {

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
         DepartedDatabaseRemoval::has_departed_database(group_) || ReturnedLogCheck::has_unproven_log(group_);
}

bool GroupCoordinator::change_is_due(core::Instant now, const LastHeartbeats& last_heartbeats) const {
  // A change that can't fence enough databases would leave the group without a primary for longer.
  if (!can_fence_enough(now)) {
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

bool GroupCoordinator::order_may_take_effect(core::Instant now) const {
  if (!is_promoted_by_service()) {
    return false;  // Its databases refuse promotions of an earlier term.
  }
  // A term has a primary only once no order of the term is under way.
  const bool term_is_open = !group_.terms.empty() && !has_primary();
  return orders_.own_may_take_effect(now) || (term_is_open && orders_.earlier_may_take_effect(now));
}

bool GroupCoordinator::may_order(core::Instant now) const {
  return !is_promoted_by_service() || orders_.may_send(now);
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
  return all_behind && can_fence_enough(now, primary()) && !probes_.replicas_advancing(now, primary());
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
  // A semi-synchronous primary that is fenced has all that was acknowledged, whoever else is lost for good.
  const bool primary_suffices = is_semi_synchronous() && !member(primary())->log_unproven;
  const bool can_be_replaced = primary_suffices || can_fence_enough(now);
  if (primary_status == nullptr || !probes_.reachable(now, primary()) || !can_be_replaced) {
    return false;
  }
  return std::any_of(group_.databases.begin(), group_.databases.end(), [&](const protocol::Database& other) {
    const database::StatusAnswer* status = probes_.status(other.id);
    return other.id != primary() && !other.draining && !other.departed && status != nullptr &&
           !status->leaving && probes_.reachable(now, other.id) &&
           status->received.index + kPlannedChangeMaxLagEntries >= primary_status->received.index;
  });
}

}  // namespace pipitpond::failover
