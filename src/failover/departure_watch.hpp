// When a departed database may be forgotten.
//
// A database that has ended may have held the only receipt of an acknowledged write, beside the primary. As
// long as it counts as a member, no change of primary goes past it. It may be forgotten once another replica
// has received all that the primary held after the departed one had fallen silent.
#pragma once

#include <map>
#include <vector>

#include "core/clock.hpp"
#include "failover/effects.hpp"
#include "failover/member_probes.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// Watches the departed databases of one group.
class DepartureWatch {
 public:
  /// True while the group has a departed database, so that its members must be probed.
  static bool needed(const protocol::Group& group);
  /// Appends the removals that are due. `primary`: the group's current one.
  void tick(core::Instant now, const protocol::Group& group, const core::DatabaseId& primary,
            const MemberWatch& watch, std::vector<Effect>& effects);
  /// The primary has changed: what was seen says nothing about the new one's log.
  void reset() { held_by_primary_.clear(); }

 private:
  /// What the primary held when it was first asked after the departed database had fallen silent.
  std::map<core::DatabaseId, core::LogPosition> held_by_primary_;
};

}  // namespace pipitpond::failover
