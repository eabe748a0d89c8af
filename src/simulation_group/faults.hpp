// Faults of one run of the group world, drawn from the seed or given by a test.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "simulation_group/fleet.hpp"

namespace pipitpond::simulation::group {

/// What goes wrong. Roles are those at the moment when the fault begins.
enum class FaultKind : std::uint8_t {
  kPrimaryCutFromControl,   ///< But not from daemons and replicas.
  kPrimaryCutFromReplicas,  ///< But not from daemons and control.
  kPrimaryFrozen,           ///< Thawed at the end, after its replacement.
  kDaemonFrozen,
  kDaemonFrozenInFailover,  ///< Together with the primary, so that it holds answers of a replaced one.
  kSplitGroup,    ///< The primary keeps one daemon and one replica; control and the rest see the others.
  kTwoFailovers,  ///< The next primary freezes as well, soon after its promotion.
  kPromotionAnswerLost,     ///< What databases answer to control is lost for a while during a change.
  kOldTermReturns,          ///< A replica, cut off during a change of primary, comes back.
  kReplicasFarBehind,       ///< Slow links to the replicas, and slow application there.
  kBestReplicaUnreachable,  ///< One replica falls behind; then the primary and the other are lost.
  kSecondLost,              ///< A replica returns and at once the primary is lost.
  kDatabaseRestart,
  kLossyLink,
  kOneWayCut,
  kDaemonCutFromControl,
  kDaemonCutFromPrimary,
  kDaemonRestart,
  kDaemonMachineLost,
  kControlLeaderChange,
  kDrawn,                         ///< Number of the kinds that are drawn from a seed; tests name the others.
  kDaemonSlowToPrimary = kDrawn,  ///< What one daemon sends to the primary arrives late and out of order.
  kPrimaryLostWithReplicaBehind,  ///< One replica misses the last writes before the primary freezes.
  kCount,
};

std::string_view to_string(FaultKind kind);

/// One fault. It ends after `length`.
struct Fault {
  FaultKind kind = FaultKind::kPrimaryFrozen;
  core::Duration begins;  ///< From the start of the simulation.
  core::Duration length;
};

/// Draws the faults of a seed.
std::vector<Fault> draw_faults(Random& random, core::Duration from, core::Duration to);

/// Schedules the faults on the fleet's group 0 to N - 1, drawn from the fabric's random numbers.
void schedule(Fabric& fabric, Fleet& fleet, const std::vector<Fault>& faults);

}  // namespace pipitpond::simulation::group
