// Which faults a run injects and when, from its seed alone.
#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.hpp"
#include "oracle/fault_record.hpp"

namespace pipitpond::experiment {

/// One fault to come. It hits one group or process of each deployment.
struct PlannedFault {
  oracle::FaultKind kind = oracle::FaultKind::kKillPrimary;
  core::Duration at{0};      ///< After the run's start.
  core::Duration lasts{0};   ///< Until it is healed.
  std::uint64_t choice = 0;  ///< Picks the group or process: taken modulo their number.
};

/// Time at both ends of a run without faults.
inline constexpr core::Duration kQuietStart = std::chrono::seconds(3);
inline constexpr core::Duration kQuietEnd = std::chrono::seconds(5);
/// From one fault's beginning to the next one's.
inline constexpr core::Duration kFaultSpacing = std::chrono::milliseconds(4500);

/// Faults of the allowed kinds, one after another and never two at once. Every kind comes once before any
/// comes twice, in an order drawn from the seed; kinds that take a primary come first.
std::vector<PlannedFault> plan_faults(std::uint64_t seed, core::Duration length,
                                      const std::vector<oracle::FaultKind>& kinds);

/// All kinds.
std::vector<oracle::FaultKind> all_fault_kinds();

}  // namespace pipitpond::experiment
