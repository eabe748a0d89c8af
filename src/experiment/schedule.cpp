#include "experiment/schedule.hpp"

#include <algorithm>
#include <random>

namespace pipitpond::experiment {
namespace {

using std::chrono::milliseconds;

core::Duration length_of(oracle::FaultKind kind) {
  switch (kind) {
    case oracle::FaultKind::kRestartProxy:
    case oracle::FaultKind::kDrainProxy:
    case oracle::FaultKind::kRaceOperators:
      return milliseconds(500);
    case oracle::FaultKind::kKillProxy:
      return milliseconds(1500);
    default:
      return milliseconds(3000);
  }
}

/// One round of all kinds in a drawn order.
std::vector<oracle::FaultKind> shuffled(std::vector<oracle::FaultKind> kinds, std::mt19937_64& random) {
  std::shuffle(kinds.begin(), kinds.end(), random);
  std::stable_partition(kinds.begin(), kinds.end(), oracle::takes_primary);
  return kinds;
}

}  // namespace

std::vector<oracle::FaultKind> all_fault_kinds() {
  using oracle::FaultKind;
  return {FaultKind::kKillPrimary,       FaultKind::kFreezePrimary, FaultKind::kCutPrimary,
          FaultKind::kCutPrimaryOneWay,  FaultKind::kRaiseLag,      FaultKind::kRestartReplica,
          FaultKind::kKillProxy,         FaultKind::kFreezeProxy,   FaultKind::kRestartProxy,
          FaultKind::kDrainProxy,        FaultKind::kDrainDatabase, FaultKind::kRaceOperators,
          FaultKind::kKillControlLeader, FaultKind::kFreezeControl};
}

std::vector<PlannedFault> plan_faults(std::uint64_t seed, core::Duration length,
                                      const std::vector<oracle::FaultKind>& kinds) {
  std::vector<PlannedFault> plan;
  if (kinds.empty()) {
    return plan;
  }
  std::mt19937_64 random(seed);
  std::vector<oracle::FaultKind> round;
  for (core::Duration at = kQuietStart; at + kQuietEnd <= length; at += kFaultSpacing) {
    if (round.empty()) {
      round = shuffled(kinds, random);
    }
    const oracle::FaultKind kind = round.front();
    round.erase(round.begin());
    plan.push_back({kind, at, length_of(kind), random()});
  }
  return plan;
}

}  // namespace pipitpond::experiment
