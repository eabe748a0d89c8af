// Decides when a departed database (one that announced its shutdown) is removed from its group.
//
// Besides the primary, a departed database may hold the only copy of an acknowledged write. While it is a
// member, it counts in the fences that a change of primary needs. It is removed once another replica has
// received everything that was in the primary's log after the departed database stopped answering probes.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "failover/effects.hpp"
#include "failover/member_probes.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// Tracks the departed databases of one group.
class DepartedDatabaseRemoval {
 public:
  /// True while the group has a departed database; its members must be probed then.
  static bool has_departed_database(const protocol::Group& group);
  /// Appends a removal for each departed database that can go. `primary`: the group's current primary.
  void tick(core::Instant now, const protocol::Group& group, const core::DatabaseId& primary,
            const MemberProbes& probes, std::vector<Effect>& effects);
  /// Call when the primary has changed: the recorded positions refer to the log of the former primary.
  void reset() { silent_.clear(); }

 private:
  /// A departed database that answers no probes.
  struct Silent {
    core::Instant since;
    /// End of the primary's log as it was asked after that; empty until it has answered. An earlier answer
    /// may lack what the departed database has received last.
    std::optional<core::LogPosition> primary_position;
  };

  std::map<core::DatabaseId, Silent> silent_;
};

}  // namespace pipitpond::failover
