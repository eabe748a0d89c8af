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

/// The best of the candidates for which `is_safe` holds; empty if it holds for none.
template <typename IsSafe>
std::optional<core::DatabaseId> best_of(const std::vector<FencedMember>& candidates, IsSafe is_safe) {
  const FencedMember* best = nullptr;
  for (const FencedMember& candidate : candidates) {
    if (is_safe(candidate) && (best == nullptr || is_better(candidate, *best))) {
      best = &candidate;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->database);
}

/// The best of the databases that are as up to date as `needed` of them.
std::optional<core::DatabaseId> best_safe(const std::vector<FencedMember>& fenced, std::size_t needed) {
  return best_of(fenced, [&](const FencedMember& candidate) { return is_safe(candidate, fenced, needed); });
}

/// The best of the databases that have all of this one's log.
std::optional<core::DatabaseId> best_up_to(const std::vector<FencedMember>& proven,
                                           const FencedMember& last_primary) {
  return best_of(proven,
                 [&](const FencedMember& candidate) { return candidate.received >= last_primary.received; });
}

/// Whether a database can take the fenced last primary's place without losing a write.
bool has_successor(const std::vector<FencedMember>& fenced) {
  const FencedMember* last_primary = fenced_last_primary(fenced);
  return last_primary != nullptr && std::any_of(fenced.begin(), fenced.end(), [&](const FencedMember& other) {
           return &other != last_primary && !other.log_unproven && !other.leaving &&
                  other.received >= last_primary->received;
         });
}

}  // namespace

const FencedMember* fenced_last_primary(const std::vector<FencedMember>& fenced) {
  const auto found = std::find_if(fenced.begin(), fenced.end(),
                                  [](const FencedMember& member) { return member.led_last_term; });
  const bool is_known = found != fenced.end() && !found->log_unproven &&
                        std::all_of(fenced.begin(), fenced.end(), [&](const FencedMember& other) {
                          return other.received <= found->received;
                        });
  return is_known ? &*found : nullptr;
}

bool enough_fenced(const std::vector<FencedMember>& fenced, std::size_t members, std::size_t sync_replicas) {
  const bool is_quorum = with_proven_logs(fenced).size() >= fences_needed(members, sync_replicas);
  return is_quorum || fenced.size() >= members || (sync_replicas > 0 && has_successor(fenced));
}

std::optional<core::DatabaseId> choose_primary(const std::vector<FencedMember>& fenced,
                                               std::size_t group_size, std::size_t sync_replicas) {
  const std::size_t needed = fences_needed(group_size, sync_replicas);
  const std::vector<FencedMember> proven = with_proven_logs(fenced);
  if (proven.size() >= needed) {
    return best_safe(proven, needed);
  }
  const FencedMember* last_primary = sync_replicas > 0 ? fenced_last_primary(fenced) : nullptr;
  if (last_primary != nullptr) {
    return best_up_to(proven, *last_primary);
  }
  return fenced.size() >= group_size ? best_safe(fenced, group_size) : std::nullopt;
}

}  // namespace pipitpond::failover
