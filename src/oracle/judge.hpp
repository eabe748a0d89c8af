// Judges a run from outside: what callers were told against what the databases' logs hold.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "database/protocol.hpp"
#include "oracle/fault_record.hpp"
#include "workload/history.hpp"

namespace pipitpond::oracle {

/// The surviving log of a group: the committed entries of its last primary, in order.
struct GroupLog {
  core::GroupName group;
  std::vector<database::LogEntry> entries;
};

/// Counts of broken promises, and a sentence for each of the first ones.
struct Verdict {
  std::uint64_t lost_writes = 0;
  std::uint64_t doubled_writes = 0;
  std::uint64_t stale_session_reads = 0;
  std::uint64_t mixed_answers = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t acknowledged_by_replaced_primary = 0;
  std::uint64_t requests_cut_by_drain = 0;
  /// Requests that a draining database served although they began kLeavingGrace after its drain.
  std::uint64_t served_while_leaving = 0;
  /// Writes that ended for their caller without a clear outcome, before they were resubmitted. No violation.
  std::uint64_t unknown_outcomes = 0;
  /// Keys that were still in doubt when their caller gave up. No violation.
  std::uint64_t unsettled_keys = 0;
  std::vector<std::string> findings;  ///< At most kMaxFindings.
};

inline constexpr std::size_t kMaxFindings = 200;
/// A database that is leaving gets no new work later than this after its drain began.
inline constexpr workload::UnixMicros kLeavingGrace = 2'000'000;
/// An acknowledgement that its primary gave in time may reach its caller this long after the replacement.
inline constexpr workload::UnixMicros kPassingTime = 500'000;

/// Number of broken promises, whatever their kind.
std::uint64_t violations(const Verdict& verdict);

/// Judges one workload. `logs` holds the surviving log of each group that it used: the writes of a group
/// without a log count as lost.
Verdict judge(const workload::History& history, const std::vector<GroupLog>& logs,
              const std::vector<FaultRecord>& faults);

}  // namespace pipitpond::oracle
