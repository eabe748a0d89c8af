// Collects the suspicions that owners report about one group's databases and counts them to decide whether to
// replace the primary.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::failover {

/// When this leader last received a heartbeat from each daemon.
using LastHeartbeats = std::map<core::DaemonId, core::Instant>;

/// Counts of the reports about one primary at one term.
struct SuspicionCounts {
  std::size_t owners = 0;        ///< Owners of the primary in the configuration.
  std::size_t heard_owners = 0;  ///< Owners whose last heartbeat is no older than kOwnerHeartbeatTimeout.
  std::size_t unreachable = 0;   ///< Of `heard_owners`: report kUnreachable or kNotPrimary.
  std::size_t stalled = 0;       ///< Of `heard_owners`: report kReplicationStalled.
  bool leaving = false;          ///< An owner reports that the primary is leaving.

  /// More than half of all owners report the primary as unreachable or not primary.
  [[nodiscard]] bool majority_lost_primary() const { return owners > 1 && 2 * unreachable > owners; }
  /// More than half of all owners suspect the primary (unreachable, not primary or stalled).
  [[nodiscard]] bool majority_suspects() const { return owners > 1 && 2 * (unreachable + stalled) > owners; }
  /// At least a quarter of the heard owners report the primary as unreachable or not primary.
  [[nodiscard]] bool quarter_lost_primary() const {
    return unreachable > 0 && 4 * unreachable >= heard_owners;
  }
  /// More than half of the heard owners suspect the primary.
  [[nodiscard]] bool heard_majority_suspects() const {
    return heard_owners > 0 && 2 * (unreachable + stalled) > heard_owners;
  }
};

/// Stores the latest reports of each daemon about one group's databases.
class SuspicionTally {
 public:
  /// Replaces the daemon's earlier reports; an empty list withdraws them.
  void report(const core::DaemonId& daemon, std::vector<protocol::SuspicionReport> reports);
  void clear();
  /// True when no daemon reports a suspicion.
  [[nodiscard]] bool empty() const { return reports_.empty(); }

  /// Counts the reports of `owners` about `primary` at `term`.
  [[nodiscard]] SuspicionCounts count(core::Instant now, const std::vector<core::DaemonId>& owners,
                                      const LastHeartbeats& last_heartbeats, const core::DatabaseId& primary,
                                      core::Term term) const;

 private:
  std::map<core::DaemonId, std::vector<protocol::SuspicionReport>> reports_;
};

/// An owner without a heartbeat for this long (three heartbeat intervals) is not counted as heard.
inline constexpr core::Duration kOwnerHeartbeatTimeout = std::chrono::milliseconds(1500);

}  // namespace pipitpond::failover
