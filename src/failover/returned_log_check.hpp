// Decides when the log of a database that has started again under its id is evidence once more.
//
// An acknowledged write is in the logs of the primary and of the replicas that received it in time. A member
// that starts again may have lost its log, so until it is shown to be complete it must not count among the
// members whose fences prove which writes were acknowledged (as a server that lost its disk must not vote in
// Raft). A replica's log is complete once it has received what the primary's held when the new life was first
// seen. Nobody refills the log of a primary: one that still leads, and is not behind any replica that can be
// asked, has kept its log.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "failover/effects.hpp"
#include "failover/member_probes.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// Tracks the members of one group whose log is unproven.
class ReturnedLogCheck {
 public:
  /// True while the group has a member whose log is unproven; its members must be probed then.
  static bool has_unproven_log(const protocol::Group& group);
  /// Appends a proof for each member whose log is seen to be complete. `primary`: the group's current
  /// primary.
  void tick(core::Instant now, const protocol::Group& group, const core::DatabaseId& primary,
            const MemberProbes& probes, std::vector<Effect>& effects);
  /// Call when the primary has changed: the recorded positions refer to the log of the former primary.
  void reset() { goals_.clear(); }

 private:
  /// Position that a replica must reach in one of its lives.
  struct Goal {
    std::uint64_t born = 0;
    core::Instant known_since;  ///< When this life was first seen.
    /// End of the primary's log as it was asked after that; empty until it has answered. An earlier answer
    /// may lack what the replica had received last in its earlier life.
    std::optional<core::LogPosition> position;
  };

  [[nodiscard]] static bool primary_kept_its_log(core::Instant now, const protocol::Group& group,
                                                 const core::DatabaseId& primary, const MemberProbes& probes);
  [[nodiscard]] bool replica_caught_up(core::Instant now, const protocol::Database& replica,
                                       const core::DatabaseId& primary, const MemberProbes& probes);

  std::map<core::DatabaseId, Goal> goals_;
};

}  // namespace pipitpond::failover
