// Decides whether a write that a primary has acknowledged may be passed on to the caller.
//
// A failover chooses the new primary by logs that it has read after every daemon has learned of the failover
// or lost its lease. A write that was acknowledged before that is in one of those logs, and the furthest of
// them is promoted: the write is kept. One that is acknowledged later may be lost, although a replica has
// received it: a replica that restarts before the new primary leads has forgotten that it was fenced. So an
// acknowledgement counts
// - while control's lease is valid and the configuration names its primary;
// - without a lease, once the databases show that no successor had been chosen when it came (PrimaryProof);
// - after a failover, if the new primary's log began with the write.
#include <algorithm>

#include "pooling/backends.hpp"

namespace pipitpond::pooling {

void Backends::note_exclusion(GroupView& view, const FailoverExclusion& exclusion) {
  if (exclusion.at > view.failover_exclusion.at) {
    view.failover_exclusion = exclusion;
  }
}

void Backends::renew_exclusion(GroupView& view, core::Instant now) {
  if (!view.primary.empty() && agent_.lease_valid(now)) {
    note_exclusion(view, FailoverExclusion{now, std::nullopt});
  }
}

void Backends::note_round_reply(const core::GroupName& group, const PrimaryProof& proof,
                                core::Instant begun) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return;
  }
  GroupView& view = found->second;
  if (const auto led = proof.excludes_failover(view.failover_exclusion.at)) {
    note_exclusion(view, FailoverExclusion{begun, led});
  }
}

WriteDurability Backends::write_durability(const AcknowledgedWrite& write, core::Instant now) {
  const auto found = groups_.find(write.group);
  if (found == groups_.end()) {
    return WriteDurability::kUncertain;
  }
  GroupView& view = found->second;
  if (!view.synchronous_replication) {
    return WriteDurability::kDurable;  // No replica needs to have it: an acknowledgement promises no more.
  }
  if (view.term != write.choice.term) {
    return durability_after_failover(write);
  }
  renew_exclusion(view, now);
  const FailoverExclusion& exclusion = view.failover_exclusion;
  const bool is_excluded = exclusion.at >= write.answered && is_chosen_primary(write.group, write.choice);
  const bool is_of_led_term =
      !exclusion.led_term || (write.position && write.position->term == *exclusion.led_term);
  return is_excluded && is_of_led_term ? WriteDurability::kDurable : WriteDurability::kPending;
}

WriteDurability Backends::durability_after_failover(const AcknowledgedWrite& write) const {
  const auto& groups = agent_.configuration().groups;
  const auto group = groups.find(write.group);
  if (group == groups.end() || !write.position) {
    return WriteDurability::kUncertain;
  }
  const protocol::TermStart* next = protocol::next_term_with_primary(group->second, write.choice.term);
  if (next == nullptr) {
    return WriteDurability::kPending;
  }
  return protocol::certainly_began_with(*next, *write.position) ? WriteDurability::kDurable
                                                                : WriteDurability::kUncertain;
}

void Backends::request_write_proof(const AcknowledgedWrite& write, core::Instant now) {
  if (is_chosen_primary(write.group, write.choice) && !agent_.lease_valid(now)) {
    request_primary_proof(write.group, write.answered, now);
  }
}

bool Backends::may_confirm_writes(const core::GroupName& group, core::Instant now) {
  const auto found = groups_.find(group);
  if (found == groups_.end() || !found->second.synchronous_replication) {
    return true;
  }
  if (found->second.primary.empty()) {
    return true;  // None is sent before a primary is named.
  }
  renew_exclusion(found->second, now);
  return now - found->second.failover_exclusion.at <= kRecentProofAge;
}

bool Backends::is_replaced(const core::GroupName& group, const BackendChoice& choice) const {
  const GroupView* view = find(group);
  const core::DatabaseId& database = choice.pool->address().database;
  if (view == nullptr || !view->synchronous_replication || view->term == choice.term ||
      view->primary == database) {
    return false;
  }
  const auto member = view->members.find(database);
  const bool leaves = member != view->members.end() && member->second.draining;
  return !view->primary.empty() || !leaves;
}

}  // namespace pipitpond::pooling
