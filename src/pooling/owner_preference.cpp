#include "pooling/owner_preference.hpp"

#include <limits>

#include "ownership/owner_choice.hpp"

namespace pipitpond::pooling {
namespace {

constexpr int kNear = 0;
constexpr int kAtTheDatabase = 1;
constexpr int kElsewhere = 2;

int distance_of(const OwnerCandidate& owner, const OwnerQuery& question) {
  if (*owner.zone == question.from) {
    return kNear;
  }
  return *owner.zone == question.database ? kAtTheDatabase : kElsewhere;
}

}  // namespace

OwnerRank rank(const OwnerCandidate& owner, const OwnerQuery& question) {
  const int distance = distance_of(owner, question);
  if (question.tenant.empty()) {
    return OwnerRank{distance, owner.outstanding, owner.preference};
  }
  const std::uint64_t weight = ownership::weight_of(question.tenant, *owner.daemon);
  return OwnerRank{distance, owner.outstanding / kOutstandingForTenant,
                   std::numeric_limits<std::uint64_t>::max() - weight};
}

}  // namespace pipitpond::pooling
