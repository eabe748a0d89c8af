// What the log of a control replica says of the members: who joins, votes and is removed, and why.
#pragma once

#include <string>
#include <vector>

#include "core/ids.hpp"
#include "raft/node.hpp"
#include "raft/ready.hpp"
#include "raft/types.hpp"

namespace pipitpond::control {

/// "a,b": names for one field of a line; "-" for none.
std::string describe(const std::vector<core::ControlId>& replicas);

/// A leader has put a change of the members into its log.
void log_decision(const raft::MembershipDecision& decision);
/// A change of the members is committed and known to this replica.
void log_members(raft::Index index, const raft::Membership& membership);
/// This replica stands for election; `node` knows how its last candidacy went.
void log_candidacy(const raft::Node& node);

}  // namespace pipitpond::control
