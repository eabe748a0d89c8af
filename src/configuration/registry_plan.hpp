// Plans of route tables, and what they give to the groups that they name.
#pragma once

#include "configuration/plan.hpp"

namespace pipitpond::configuration {

Plan plan_one(const PlanContext& context, const PutRouteTable& put);

/// Connections that a self-registered database keeps free for control's own calls: those of the leader and of
/// one that has just been replaced.
inline constexpr std::uint32_t kConnectionsForControl = 4;
/// Connections that each owner of a self-registered database gets at least: fewer would leave its statements
/// waiting behind one resting transaction. Daemons beyond that many own none, and pass statements to owners.
inline constexpr std::uint32_t kConnectionsPerOwner = 3;
/// A database has this many owners even if that leaves each with fewer connections.
inline constexpr std::uint32_t kFewestOwners = 3;
/// More owners than this serve nobody: each opens connections and lets a statement run at once, and a
/// database runs 2 or 3. With an owner for each three of 600 connections, 198 daemons held 400 connections
/// before 2 slots, which takes 5 s of both slots after a loss of power at 27 ms a connection. Fewer would
/// lose a larger part of a database's statements with one owner that freezes.
inline constexpr std::uint32_t kMostOwners = 8;

}  // namespace pipitpond::configuration
