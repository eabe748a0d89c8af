// What the owners of one group's databases report, and whether it is enough to replace the primary.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::failover {

/// When each daemon was last heard by this leader.
using HeardTable = std::map<core::DaemonId, core::Instant>;

/// Reports about one primary at one term.
struct Tally {
  std::size_t owners = 0;       ///< Owners by the configuration.
  std::size_t heard = 0;        ///< Of them, heard within kOwnerSilence.
  std::size_t unreachable = 0;  ///< Of those heard: kUnreachable or kNotPrimary.
  std::size_t stalled = 0;      ///< Of those heard: kReplicationStalled.
  bool leaving = false;         ///< Anyone heard it say that it is leaving.

  /// More than half of all owners have lost the primary.
  [[nodiscard]] bool majority_lost() const { return owners > 1 && 2 * unreachable > owners; }
  /// More than half of all owners mistrust it, for whatever reason.
  [[nodiscard]] bool majority_suspects() const { return owners > 1 && 2 * (unreachable + stalled) > owners; }
  /// A quarter or more of the owners that are still heard have lost the primary.
  [[nodiscard]] bool part_lost() const { return unreachable > 0 && 4 * unreachable >= heard; }
  /// More than half of the owners that are still heard mistrust it.
  [[nodiscard]] bool heard_majority_suspects() const {
    return heard > 0 && 2 * (unreachable + stalled) > heard;
  }
};

/// Keeps the latest reports of each daemon about one group's databases.
class SuspicionTally {
 public:
  /// Replaces what the daemon reported before; an empty list withdraws it.
  void report(const core::DaemonId& daemon, std::vector<protocol::SuspicionReport> reports);
  void clear();
  /// Nobody reports anything.
  [[nodiscard]] bool empty() const { return reports_.empty(); }

  /// Counts what `owners` say about `primary` at `term`.
  [[nodiscard]] Tally count(core::Instant now, const std::vector<core::DaemonId>& owners,
                            const HeardTable& heard, const core::DatabaseId& primary, core::Term term) const;

 private:
  std::map<core::DaemonId, std::vector<protocol::SuspicionReport>> reports_;
};

/// An owner without a heartbeat for this long neither suspects nor trusts: three heartbeats.
inline constexpr core::Duration kOwnerSilence = std::chrono::milliseconds(1500);

}  // namespace pipitpond::failover
