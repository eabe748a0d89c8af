// Proof that a database was its group's primary when it was asked, given by the group's databases without
// control. Performs no I/O.
//
// A write is acknowledged only after a database other than the primary has received it. Consider a round of
// status requests, all sent at or after a moment s. Suppose the presumed primary replies that it is the
// primary of a term, and all but one of the other databases reply that their logs hold nothing of a later
// term. Then no write of a later term had been acknowledged before s: a later primary could only be the
// database that did not reply, and the replica that acknowledged its write would have that write in its log.
// So every write acknowledged before s is in the presumed primary's log, up to the position that it reported,
// and stays there: when a primary is replaced, it keeps the part of its log that its successor has. Nothing
// that happens after the replies invalidates the proof, so a paused or slow daemon does no harm.
//
// The proof relies on three properties. A database keeps its log across restarts: one that may have lost it
// is not asked until its log has been seen to be complete, and until control has told of that, an empty log
// is contradicted by any other database that holds entries. What the primary replies after the proof counts
// only if its log still reaches the proven position (kept_log). A replica acknowledges an entry only once the
// entry is in its log. The group never has more databases that can acknowledge writes than the daemon's
// configuration lists: a database is replaced by another at its address, after it has stopped. An outdated
// configuration is therefore safe too: each database that was replaced without the daemon's knowledge counts
// as one that did not reply, and at most one may be missing. Databases that have left count as not replying
// for as long as the configuration lists them.
//
// The proof is about the past: that the primary acknowledges a write later does not show that its successor
// will have the write. A failover chooses the successor by what the databases hold when they are fenced. A
// replica that restarts afterwards has forgotten its fence, and may acknowledge writes to the old primary
// until the successor leads. So an acknowledged write is certain to be kept only if no successor had been
// chosen by then (excludes_failover): too few databases had been fenced, and none of those asked can have
// forgotten its fence, as its connection shows that it has not restarted.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "pooling/backend.hpp"

namespace pipitpond::pooling {

/// Evaluates one round of status requests to the databases of a group.
class PrimaryProof {
 public:
  /// `members`: number of databases in the group, the presumed primary included.
  PrimaryProof(core::DatabaseId primary, std::size_t members);

  /// Adds a database's reply in this round, which came at `replied`.
  void add_status(const core::DatabaseId& database, const BackendStatus& status, core::Instant replied = {});

  /// True when the replies show that the presumed primary is not the primary, or that a change of primary is
  /// in progress.
  [[nodiscard]] bool refuted() const;
  /// The position up to which the primary's log holds every write acknowledged before the round; empty until
  /// that is proven.
  [[nodiscard]] std::optional<core::LogPosition> position() const;
  /// The term that the presumed primary led during the round, if no successor of it had been chosen before
  /// the round; empty until that is proven. `excluded_at`: a moment at which none had been chosen.
  [[nodiscard]] std::optional<core::Term> excludes_failover(core::Instant excluded_at) const;

 private:
  /// A database's status.
  struct Reply {
    BackendStatus status;
    core::Instant running_since{};  ///< The database has not restarted since this moment.
  };

  [[nodiscard]] bool confirms_primary(const BackendStatus& status) const;

  core::DatabaseId primary_;
  std::size_t confirmations_needed_;
  std::optional<Reply> primary_reply_;
  std::map<core::DatabaseId, Reply> others_;
};

/// A failover chooses the new primary by fences that are younger than this.
inline constexpr core::Duration kFenceLifetime = std::chrono::milliseconds(1000);

}  // namespace pipitpond::pooling
