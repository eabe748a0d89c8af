// Which of the fenced databases of a group becomes its primary.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::failover {

/// A database that has promised the new term. Its log can't change any more until the term has a primary.
struct FencedMember {
  core::DatabaseId database;
  core::LogPosition received;  ///< Last entry of its log.
  bool leaving = false;        ///< Being stopped: only chosen when nothing else is safe.
  bool avoided = false;        ///< Suspected, or failed to become primary before: chosen last but one.
};

/// Smallest number of databases that is more than half of a group.
constexpr std::size_t majority_of(std::size_t group_size) {
  return group_size / 2 + 1;
}

/// Databases that must be fenced before one is promoted. `sync_replicas`: replicas that have received a write
/// before it is acknowledged; 0: the group acknowledges by majority.
///
/// With sync replicas, an acknowledged write is on the primary and that many others. Once all databases but
/// `sync_replicas` are fenced, one of those is among the fenced, and nothing more can be acknowledged.
constexpr std::size_t fences_needed(std::size_t group_size, std::size_t sync_replicas) {
  if (sync_replicas == 0) {
    return majority_of(group_size);
  }
  return group_size > sync_replicas ? group_size - sync_replicas : group_size;
}

/// The database to promote, or empty while too few are fenced.
///
/// Safe to promote is any database that is at least as far as a majority of the group, itself included. An
/// acknowledged write is held by a majority; two majorities share a database; that one is no further than the
/// chosen one, and of two logs the further one contains every committed entry of the other (as in Raft's
/// election restriction). Among the safe ones, those not leaving and not avoided go first, then the furthest.
/// With sync replicas, the same holds for fences_needed() instead of a majority: at most `sync_replicas`
/// databases may be further than the chosen one, and an acknowledged write is on one more.
std::optional<core::DatabaseId> choose_primary(const std::vector<FencedMember>& fenced,
                                               std::size_t group_size, std::size_t sync_replicas = 0);

}  // namespace pipitpond::failover
