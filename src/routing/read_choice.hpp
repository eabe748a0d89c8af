// Choice of the databases for a read: an ordered list, so that each attempt goes to the next candidate.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "policy/rules.hpp"
#include "routing/group_progress.hpp"
#include "routing/view.hpp"

namespace pipitpond::routing {

/// Why a database is a candidate.
enum class ChoiceReason : std::uint8_t {
  kFreshReplica,     ///< Known to hold what the session needs.
  kWaitForReplica,   ///< Expected to hold it within the policy's wait.
  kPrimaryByPolicy,  ///< The policy sends this request to the primary.
  kPrimaryNearest,   ///< The primary is the nearest fresh database.
  kPrimaryFallback,  ///< No replica is fresh enough.
};

/// Why a database is not a candidate.
enum class RejectionReason : std::uint8_t {
  kUnreachable,       ///< Suspected by its owners.
  kLeaving,           ///< Being stopped, or draining.
  kBehindSession,     ///< Not expected to reach the session's position in time.
  kStalePolicy,       ///< Further behind than the policy allows.
  kExcludedByPolicy,  ///< The policy's target or fallback leaves it out.
};

std::string_view to_string(ChoiceReason reason);
std::string_view to_string(RejectionReason reason);

/// A database to try.
struct ReadCandidate {
  core::DatabaseId database;
  ChoiceReason reason = ChoiceReason::kFreshReplica;
  std::uint32_t wait_ms = 0;  ///< How long the database may wait for the session's position.
  bool is_primary = false;
};

/// A database that is not tried.
struct Rejection {
  core::DatabaseId database;
  RejectionReason reason = RejectionReason::kUnreachable;
};

/// Candidates in the order of trying, and why the others are none.
struct ReadChoice {
  std::vector<ReadCandidate> candidates;
  std::vector<Rejection> rejected;
};

/// What a read needs.
struct ReadNeed {
  core::LogPosition min_position;  ///< From the session token; (0, 0) for none.
  policy::ReadRule rule;
  core::Duration time_left;  ///< Until the caller's deadline.
};

/// Orders the databases for a read: fresh ones first, nearest zone first, load spread by the power of two
/// choices; then replicas that are expected to catch up in time; then the primary. Never a suspected, leaving
/// or draining one. A wrong guess about freshness costs time, never staleness: the database itself checks
/// `min_position`.
ReadChoice choose_read(const GroupView& view, const GroupProgress& progress, const ReadNeed& need,
                       core::Instant now, pcg32& random);

/// Error for an empty list of candidates: kUnavailable, or kStale when only freshness was missing.
core::Error no_candidate(const GroupView& view, const ReadChoice& choice);

/// The primary of the current term for writes. Fails with kUnavailable while a change is in progress or the
/// primary is suspected, with a retry_after_ms. A draining primary still takes writes until it is replaced.
core::Result<core::DatabaseId> choose_write(const GroupView& view);

/// The primary for a new transaction. A primary that is being stopped gets none as soon as another database
/// may take over, so that those that are open can end before it is replaced. Fails like choose_write.
core::Result<core::DatabaseId> choose_begin(const GroupView& view);

}  // namespace pipitpond::routing
