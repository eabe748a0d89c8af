// Judges a run of the group world from the databases' logs, the times at which primaries were committed, and
// what callers saw: never from what the code under test believes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "database/protocol.hpp"
#include "simulation_group/control_node.hpp"
#include "simulation_group/records.hpp"

namespace pipitpond::simulation::group {

/// Positions that one database holds as committed, in order.
struct CommittedCopy {
  std::string database;
  std::vector<core::LogPosition> committed;
};

/// What became of one group.
struct GroupEvidence {
  core::GroupName group;
  /// Committed entries of the last primary, in order.
  std::vector<database::LogEntry> log;
  ControlNode::PrimaryHistory primaries;
  std::vector<CommittedCopy> copies;
};

/// Connections of one database against its limit.
struct ConnectionEvidence {
  std::string database;
  std::uint64_t greatest = 0;
  std::uint64_t limit = 0;
  std::uint64_t refused = 0;
};

/// Everything that the oracle judges.
struct Evidence {
  std::vector<GroupEvidence> groups;
  std::vector<ConnectionEvidence> connections;
  const History* history = nullptr;
  core::Instant faults_ended;
};

/// An acknowledgement is too late when the primary that gave it had been replaced for longer than this: the
/// longest that an answer may be under way, and a daemon may stand still without noticing it.
inline constexpr core::Duration kLateAcknowledgement = std::chrono::milliseconds(500);
/// Writes must land again this soon after the last fault has ended.
inline constexpr core::Duration kRecoveryLimit = std::chrono::seconds(10);

/// What was broken, one sentence each; at most kMaxFindings.
std::vector<std::string> judge(const Evidence& evidence);

inline constexpr std::size_t kMaxFindings = 50;

}  // namespace pipitpond::simulation::group
