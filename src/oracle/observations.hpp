// What was seen of databases and proxies while a run went on, by asking them at short intervals.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "database/protocol.hpp"
#include "workload/history.hpp"

namespace pipitpond::oracle {

/// One database's status at a moment.
struct DatabaseSample {
  workload::UnixMicros at_us = 0;
  database::StatusAnswer status;
};

/// The revision that a proxy had in force at a moment.
struct RevisionSample {
  workload::UnixMicros at_us = 0;
  std::string proxy;
  std::uint64_t revision = 0;
};

/// A change that control accepted.
struct AcceptedChange {
  workload::UnixMicros at_us = 0;  ///< When the operator had the answer.
  std::uint64_t revision = 0;
};

/// Time during which a proxy was stopped, or cut from control, by a fault.
struct Absence {
  std::string proxy;
  workload::UnixMicros began_us = 0;
  workload::UnixMicros ended_us = 0;
};

/// All of it.
struct Observations {
  std::vector<DatabaseSample> databases;
  std::vector<RevisionSample> revisions;
  std::vector<AcceptedChange> changes;
  std::vector<Absence> absences;
  /// Times at which control showed an older revision of a thing than it had accepted before.
  std::uint64_t control_reverts = 0;
};

/// How changes reached the proxies.
struct ConfigurationSpread {
  double max_delay_ms = 0;
  std::uint64_t reverts = 0;     ///< At proxies and at control.
  std::uint64_t never_seen = 0;  ///< Changes that some running proxy never showed before the run's end.
};

/// Connections seen or refused above a database's limit. A database that restarts counts from zero again.
std::uint64_t connections_over_limit(const Observations& observations);
/// The same for statements beyond a database's slots.
std::uint64_t statements_over_limit(const Observations& observations);

/// Delay of each change until every running proxy showed it or a later one, and reverts. A proxy that was
/// absent counts from its return.
ConfigurationSpread configuration_spread(const Observations& observations);

/// Greatest number of committed entries that any replica of the group had not yet applied, by time.
struct LagPoint {
  workload::UnixMicros at_us = 0;
  core::DatabaseId database;
  std::uint64_t entries = 0;
};
std::vector<LagPoint> replica_lag(const Observations& observations);

}  // namespace pipitpond::oracle
