// Selects the new primary from the fenced databases of a group.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::failover {

/// A database that is fenced at the new term. Its log does not change until the term has a primary.
struct FencedMember {
  core::DatabaseId database;
  core::LogPosition received;  ///< Position of the last entry in its log.
  bool leaving = false;        ///< Shutting down or draining: chosen only when no other database is safe.
  bool avoided = false;        ///< The replaced primary, or its promotion failed: preferred to leaving only.
  bool log_unproven = false;   ///< It has started again, and may have lost entries that it had received.
  bool led_last_term = false;  ///< The primary of the last term that had one.
};

/// Smallest majority of a group of this size.
constexpr std::size_t majority_of(std::size_t group_size) {
  return group_size / 2 + 1;
}

/// Number of databases that must be fenced before one is promoted. `sync_replicas`: replicas that must
/// receive a write before it is acknowledged (semi-synchronous replication); 0: a write needs a majority of
/// the group.
///
/// With `sync_replicas` > 0, an acknowledged write is on the primary and on that many replicas. Once all but
/// `sync_replicas` databases are fenced, at least one holder of each acknowledged write is among the fenced,
/// and no further write can be acknowledged.
constexpr std::size_t fences_needed(std::size_t group_size, std::size_t sync_replicas) {
  if (sync_replicas == 0) {
    return majority_of(group_size);
  }
  return group_size > sync_replicas ? group_size - sync_replicas : group_size;
}

/// True when the fenced databases are enough to choose from. Either fences_needed() of them have kept their
/// logs, or the whole group is fenced, or the last primary is and another database has all of its log. A
/// database that may have lost its log is no holder of any write: it counts as a member that is not fenced,
/// but for the case that no member is missing. `members`: size of the group.
bool enough_fenced(const std::vector<FencedMember>& fenced, std::size_t members, std::size_t sync_replicas);

/// The last primary, if it is fenced, has kept its log, and no other fenced database is ahead of it, which
/// would show that it has not. It holds every acknowledged write, and none can be acknowledged any more: no
/// other database has acknowledged one since its own promotion. Null if there is none.
const FencedMember* fenced_last_primary(const std::vector<FencedMember>& fenced);

/// Returns the database to promote, or empty while too few are fenced.
///
/// A database is safe to promote when its log is at least as up to date as those of a majority of the group,
/// itself included. An acknowledged write is on a majority, and any two majorities share a database; the log
/// of the shared one is not ahead of the chosen one, and of two logs the more up-to-date one contains every
/// committed entry of the other (as in Raft's election restriction). Safe databases are ranked by
/// `leaving`, then `avoided`, then the most up-to-date log. With `sync_replicas` > 0, fences_needed()
/// replaces the majority: at most `sync_replicas` databases can be ahead of the chosen one, and an
/// acknowledged write is on one database more than that. Databases that may have lost their logs are left
/// out. Where too few are left, but the whole group is fenced, only the most up-to-date log is safe: it holds
/// every acknowledged write that any database still holds. With `sync_replicas` > 0, whatever has all that
/// fenced_last_primary() has is safe too, itself included.
std::optional<core::DatabaseId> choose_primary(const std::vector<FencedMember>& fenced,
                                               std::size_t group_size, std::size_t sync_replicas = 0);

}  // namespace pipitpond::failover
