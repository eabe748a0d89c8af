#include "failover/primary_choice.hpp"

#include <algorithm>
#include <iterator>
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

std::vector<FencedMember> with_proven_logs(const std::vector<FencedMember>& fenced) {
  std::vector<FencedMember> proven;
  std::copy_if(fenced.begin(), fenced.end(), std::back_inserter(proven),
               [](const FencedMember& member) { return !member.log_unproven; });
  return proven;
}

/// The best of the databases that are as up to date as `needed` of them.
std::optional<core::DatabaseId> best_safe(const std::vector<FencedMember>& fenced, std::size_t needed) {
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

}  // namespace

bool enough_fenced(const std::vector<FencedMember>& fenced, std::size_t members, std::size_t sync_replicas) {
  return with_proven_logs(fenced).size() >= fences_needed(members, sync_replicas) || fenced.size() >= members;
}

std::optional<core::DatabaseId> choose_primary(const std::vector<FencedMember>& fenced,
                                               std::size_t group_size, std::size_t sync_replicas) {
  const std::size_t needed = fences_needed(group_size, sync_replicas);
  const std::vector<FencedMember> proven = with_proven_logs(fenced);
  if (proven.size() >= needed) {
    return best_safe(proven, needed);
  }
  return fenced.size() >= group_size ? best_safe(fenced, group_size) : std::nullopt;
}

}  // namespace pipitpond::failover
