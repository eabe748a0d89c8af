#include "ownership/owner_choice.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <tuple>

#include "protocol/tunables.hpp"

namespace pipitpond::ownership {
namespace {

std::uint64_t hash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool is_heavier(const Candidate& left, const Candidate& right) {
  return std::tie(right.weight, *left.daemon) < std::tie(left.weight, *right.daemon);
}

/// The heaviest candidate that `accepts`, or null.
template <typename Accepts>
const Candidate* heaviest(const std::vector<Candidate>& candidates, Accepts accepts) {
  const Candidate* best = nullptr;
  for (const Candidate& one : candidates) {
    const bool better = best == nullptr || is_heavier(one, *best);
    if (better && accepts(one)) {
      best = &one;
    }
  }
  return best;
}

}  // namespace

std::size_t owner_count(std::uint32_t slots, std::uint32_t connection_limit, std::uint32_t max_owners) {
  if (max_owners > 0) {
    return std::min(max_owners, connection_limit);
  }
  return std::min({protocol::kOwnersPerDatabase, slots, connection_limit});
}

std::uint64_t weight_of(const core::DaemonId& daemon, const core::DatabaseId& database) {
  return hash(daemon.value(), hash(database.value(), 0));
}

std::uint64_t weight_of(const core::DaemonId& chooser, const core::DaemonId& daemon) {
  return hash(daemon.value(), hash(chooser.value(), 0));
}

std::uint64_t weight_of(const core::TenantName& tenant, const core::DaemonId& daemon) {
  return hash(daemon.value(), hash(tenant.value(), 0));
}

std::uint64_t weight_of(const core::TenantName& tenant, const core::ZoneName& zone) {
  return hash(zone.value(), hash(tenant.value(), 0));
}

std::size_t near_owner_count(std::size_t count) {
  return (count + 1) / 2;
}

void weigh(std::vector<Candidate>& candidates, const core::DatabaseId& database) {
  const std::uint64_t seed = hash(database.value(), 0);
  for (Candidate& one : candidates) {
    one.weight = hash(one.daemon->value(), seed);
  }
}

std::vector<core::DaemonId> choose(const std::vector<Candidate>& candidates, const core::ZoneName& zone,
                                   std::size_t count) {
  std::vector<const Candidate*> chosen;
  const auto is_free = [&](const Candidate& one) {
    return std::find(chosen.begin(), chosen.end(), &one) == chosen.end();
  };
  const auto take_while_any = [&](std::size_t limit, auto accepts) {
    while (chosen.size() < limit) {
      const Candidate* next =
          heaviest(candidates, [&](const Candidate& one) { return accepts(one) && is_free(one); });
      if (next == nullptr) {
        return;
      }
      chosen.push_back(next);
    }
  };
  const std::size_t near = near_owner_count(count);
  take_while_any(near, [&](const Candidate& one) { return *one.zone == zone; });
  // The rest from zones that have no owner yet, so that the loss of one zone leaves others to judge it.
  take_while_any(count, [&](const Candidate& one) {
    const bool used = std::any_of(chosen.begin(), chosen.end(),
                                  [&](const Candidate* other) { return *other->zone == *one.zone; });
    return *one.zone != zone && !used;
  });
  take_while_any(count, [](const Candidate&) { return true; });

  std::vector<core::DaemonId> owners;
  owners.reserve(chosen.size());
  for (const Candidate* one : chosen) {
    owners.push_back(*one->daemon);
  }
  return owners;
}

}  // namespace pipitpond::ownership
