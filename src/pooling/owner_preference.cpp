#include "pooling/owner_preference.hpp"

#include <limits>

#include "ownership/owner_choice.hpp"

namespace pipitpond::pooling {
namespace {

constexpr int kInCallerZone = 0;
constexpr int kInDatabaseZone = 1;
constexpr int kElsewhere = 2;

int distance_of(const OwnerCandidate& owner, const OwnerQuery& query) {
  if (*owner.zone == query.from) {
    return kInCallerZone;
  }
  return *owner.zone == query.database ? kInDatabaseZone : kElsewhere;
}

}  // namespace

OwnerRank rank(const OwnerCandidate& owner, const OwnerQuery& query) {
  const int distance = distance_of(owner, query);
  if (query.tenant.empty()) {
    return OwnerRank{distance, owner.outstanding, owner.preference};
  }
  const std::uint64_t weight = ownership::weight_of(query.tenant, *owner.daemon);
  return OwnerRank{distance, owner.outstanding / kOutstandingPerTenantStep,
                   std::numeric_limits<std::uint64_t>::max() - weight};
}

}  // namespace pipitpond::pooling
