// What a daemon knows of the databases of a group, as routing decisions read it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::routing {

/// What a daemon knows of one database, from probes and answers, its own or other owners'.
struct ReplicaView {
  core::DatabaseId database;
  core::ZoneName zone;
  core::RegionName region;
  std::uint32_t slots = 0;    ///< Of the database, as far as this daemon may use them; 0: unknown.
  core::LogPosition applied;  ///< Greatest applied position seen. May be behind the truth, never ahead of it.
  core::Instant seen_at;      ///< When `applied` was last seen.
  /// Upper estimate of how old the data visible to reads is; empty when unknown. See GroupProgress.
  std::optional<core::Duration> staleness;
  std::uint32_t in_flight = 0;     ///< Statements that this daemon has running or queued there.
  core::Duration latency_average;  ///< Moving average of the latency of answers; 0 when none was seen.
  bool reachable = true;           ///< False while suspected.
  bool leaving = false;            ///< The database or the platform says that it is being stopped.
  bool draining = false;           ///< Set in the configuration.
};

/// One group as a daemon sees it now.
struct GroupView {
  core::GroupName group;
  std::vector<ReplicaView> databases;
  core::Term term = 0;        ///< Latest term known.
  core::DatabaseId primary;   ///< Primary of `term`; empty while a change is in progress.
  core::ZoneName local_zone;  ///< Zone of this daemon.
  core::RegionName local_region;
};

/// True when new work may be sent there.
bool usable(const ReplicaView& view);

/// True when this daemon reaches more than half of the group's databases, or may: one that it has never seen
/// may only be unknown yet, as after a start. Otherwise, as far as it knows, no database can become primary:
/// a change of primary needs a majority.
bool reaches_majority(const GroupView& group);

}  // namespace pipitpond::routing
