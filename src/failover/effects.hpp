// What the failover coordinator asks its driver to do. Each effect may be lost or carried out late: the
// coordinator asks again until it hears an answer, and every effect is idempotent.
#pragma once

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

/// True once no daemon acts on an older configuration than that of the revision: each has applied it or has
/// no lease any more.
using RevisionFollowed = std::function<bool(core::Instant now, protocol::Revision revision)>;

/// GET /v1/status. Answer with on_probe_answer or on_probe_failed.
struct ProbeDatabase {
  core::DatabaseId database;
  core::Endpoint endpoint;
  core::GroupName group;
};

/// POST /v1/fence. Answer with on_fence_answer, on_refused or on_fence_failed.
struct FenceDatabase {
  core::GroupName group;
  core::DatabaseId database;
  core::Endpoint endpoint;
  core::Term term = 0;
};

/// POST /v1/promote. Answer with on_promote_answer, on_refused or on_promote_failed.
struct PromoteDatabase {
  core::GroupName group;
  core::DatabaseId database;
  core::Endpoint endpoint;
  core::Term term = 0;
  std::vector<database::Member> members;
};

/// Replicated change: append TermStart{new_term, none} to the group's terms, provided that its last term is
/// still `expected_term` (0: it has none); otherwise nothing.
struct ProposeBeginPrimaryChange {
  core::GroupName group;
  core::Term expected_term = 0;
  core::Term new_term = 0;
};

/// Replicated change: set primary and start of the group's last term, provided that it is still `term` and
/// has no primary; otherwise nothing.
struct ProposeCompletePrimaryChange {
  core::GroupName group;
  core::Term term = 0;
  core::DatabaseId primary;
  core::LogPosition start;
};

/// Replicated change: take over the primary that a self-registered group already has.
struct ProposeAdoptPrimary {
  core::GroupName group;
  core::Term term = 0;
  core::DatabaseId primary;
};

/// Replicated change: forget a departed database.
struct ProposeRemoveDatabase {
  core::DatabaseId database;
};

using Effect = std::variant<ProbeDatabase, FenceDatabase, PromoteDatabase, ProposeBeginPrimaryChange,
                            ProposeCompletePrimaryChange, ProposeAdoptPrimary, ProposeRemoveDatabase>;

}  // namespace pipitpond::failover
