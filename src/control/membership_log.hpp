// Log lines about the Raft membership: which members join, vote and are removed, and why.
#pragma once

#include <string>
#include <vector>

#include "core/ids.hpp"
#include "raft/node.hpp"
#include "raft/ready.hpp"
#include "raft/types.hpp"

namespace pipitpond::control {

/// Formats identities as the value of one log field: "a,b", or "-" for none.
std::string describe(const std::vector<core::ControlId>& replicas);

/// Logs a membership change that this leader has appended to its Raft log.
void log_decision(const raft::MembershipDecision& decision);
/// Logs a committed membership.
void log_members(raft::Index index, const raft::Membership& membership);
/// Logs that this replica is a candidate, with the votes of its last unsuccessful candidacy.
void log_candidacy(const raft::Node& node);

}  // namespace pipitpond::control
