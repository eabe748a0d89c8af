#include "failover/primary_choice.hpp"

#include <algorithm>
#include <tuple>

namespace pipitpond::failover {

namespace {

bool is_safe(const FencedMember& candidate, const std::vector<FencedMember>& fenced, std::size_t needed) {
  const auto not_ahead = std::count_if(fenced.begin(), fenced.end(), [&](const FencedMember& other) {
    return other.received <= candidate.received;
  });
  return static_cast<std::size_t>(not_ahead) >= needed;
}

/// Sort key of a safe candidate: lower is preferred.
auto rank(const FencedMember& member) {
  return std::make_tuple(member.leaving, member.avoided);
}

bool is_better(const FencedMember& left, const FencedMember& right) {
  if (rank(left) != rank(right)) {
    return rank(left) < rank(right);
  }
  if (left.received != right.received) {
    return left.received > right.received;
  }
  return left.database < right.database;
}

}  // namespace

std::optional<core::DatabaseId> choose_primary(const std::vector<FencedMember>& fenced,
                                               std::size_t group_size, std::size_t sync_replicas) {
  const std::size_t needed = fences_needed(group_size, sync_replicas);
  const FencedMember* best = nullptr;
  for (const FencedMember& candidate : fenced) {
    if (!is_safe(candidate, fenced, needed)) {
      continue;
    }
    if (best == nullptr || is_better(candidate, *best)) {
      best = &candidate;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->database;
}

}  // namespace pipitpond::failover
