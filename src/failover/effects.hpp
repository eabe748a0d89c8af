// Actions that the failover coordinator requests from its driver. An effect may be lost or executed late: the
// coordinator requests it again until it gets an answer, and every effect is idempotent.
#pragma once

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "database/protocol.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// Returns true once no daemon can act on a configuration older than `revision`: each daemon has applied the
/// revision or no longer holds a lease.
using RevisionAppliedCheck = std::function<bool(core::Instant now, protocol::Revision revision)>;

/// Sends GET /v1/status. Report the result with on_probe_answer or on_probe_failed.
struct ProbeDatabase {
  core::DatabaseId database;
  core::Endpoint endpoint;
  core::GroupName group;
};

/// Sends POST /v1/fence. Report the result with on_fence_answer, on_refused or on_fence_failed.
struct FenceDatabase {
  core::GroupName group;
  core::DatabaseId database;
  core::Endpoint endpoint;
  core::Term term = 0;
  core::Instant requested{};  ///< The answer is not older than this.
};

/// Sends POST /v1/promote, or an order to the service that promotes. Report the result with
/// on_promote_answer, on_refused, on_promote_failed or on_promote_without_effect.
struct PromoteDatabase {
  core::GroupName group;
  core::DatabaseId database;
  core::Endpoint endpoint;
  core::Term term = 0;
  std::vector<database::Member> members;
};

/// Turns the database into a replica if it leads a term before `term`, which counts as the databases count
/// theirs. Sets no hold. No answer is awaited: later probes show what has come of it.
struct DemoteDatabase {
  core::GroupName group;
  core::DatabaseId database;
  core::Endpoint endpoint;
  core::Term term = 0;
};

/// Proposes a replicated change: append TermStart{new_term} without a primary to the group's terms. No effect
/// unless the group's last term is still `expected_term` (0: the group has no term).
struct ProposeBeginPrimaryChange {
  core::GroupName group;
  core::Term expected_term = 0;
  core::Term new_term = 0;
};

/// Proposes a replicated change: set the primary and start position of the group's last term. No effect
/// unless the last term is still `term` and has no primary.
struct ProposeCompletePrimaryChange {
  core::GroupName group;
  core::Term term = 0;
  core::DatabaseId primary;
  core::LogPosition start;
};

/// Proposes a replicated change: record the primary that a self-registered group already has.
struct ProposeAdoptPrimary {
  core::GroupName group;
  core::Term term = 0;
  core::DatabaseId primary;
};

/// Proposes a replicated change: remove a departed database from its group. No effect on another life of it.
struct ProposeRemoveDatabase {
  core::DatabaseId database;
  std::uint64_t born = 0;
};

/// Proposes a replicated change: a database that has started again holds all acknowledged writes. No effect
/// on another life of it.
struct ProposeProveDatabaseLog {
  core::DatabaseId database;
  std::uint64_t born = 0;
};

using Effect = std::variant<ProbeDatabase, FenceDatabase, PromoteDatabase, DemoteDatabase,
                            ProposeBeginPrimaryChange, ProposeCompletePrimaryChange, ProposeAdoptPrimary,
                            ProposeRemoveDatabase, ProposeProveDatabaseLog>;

}  // namespace pipitpond::failover
