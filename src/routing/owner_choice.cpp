#include "routing/owner_choice.hpp"

#include <algorithm>
#include <iterator>

namespace pipitpond::routing {
namespace {

double load_of(const OwnerView& owner) {
  return (owner.outstanding + 1.0) / std::max(owner.slots, 1U);
}

/// Waits that differ by less are alike.
constexpr core::Duration kWaitStep = std::chrono::milliseconds(4);

core::Duration::rep wait_steps(const OwnerView& owner) {
  return owner.tenant_wait / kWaitStep;
}

/// The tenant's requests that an owner gets for each of its slots when it gets one more.
double tenant_part(const OwnerView& owner) {
  return (owner.tenant_sent + 1.0) / std::max(owner.slots, 1U);
}

/// As far as this daemon knows: others may have filled the slots, which then shows in the tenant's wait.
bool has_free_slot(const OwnerView& owner) {
  return owner.outstanding < owner.slots && wait_steps(owner) == 0;
}

}  // namespace

std::vector<core::DaemonId> choose_owners(const std::vector<OwnerView>& owners, const core::ZoneName& zone) {
  std::vector<OwnerView> live;
  std::copy_if(owners.begin(), owners.end(), std::back_inserter(live),
               [](const OwnerView& owner) { return owner.live; });
  std::sort(live.begin(), live.end(), [&zone](const OwnerView& left, const OwnerView& right) {
    const bool left_serves_itself = left.is_self && has_free_slot(left);
    const bool right_serves_itself = right.is_self && has_free_slot(right);
    if (left_serves_itself != right_serves_itself) {
      return left_serves_itself;
    }
    // An owner with a free slot serves at once; among these the same zone saves time.
    if (has_free_slot(left) != has_free_slot(right)) {
      return has_free_slot(left);
    }
    if (has_free_slot(left) && (left.zone == zone) != (right.zone == zone)) {
      return left.zone == zone;
    }
    if (wait_steps(left) != wait_steps(right)) {
      return wait_steps(left) < wait_steps(right);
    }
    if (tenant_part(left) != tenant_part(right)) {
      return tenant_part(left) < tenant_part(right);
    }
    if (load_of(left) != load_of(right)) {
      return load_of(left) < load_of(right);
    }
    if ((left.zone == zone) != (right.zone == zone)) {
      return left.zone == zone;
    }
    return left.daemon < right.daemon;
  });
  std::vector<core::DaemonId> ordered;
  ordered.reserve(live.size());
  for (const OwnerView& owner : live) {
    ordered.push_back(owner.daemon);
  }
  return ordered;
}

}  // namespace pipitpond::routing
