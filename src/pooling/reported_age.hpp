// Ages that one daemon reports to another. The age of data is never reported smaller than it is, and the time
// for which something has lasted never greater. Does no I/O.
//
// The sender measures an age up to a moment after the request arrived; the receiver counts it from before it
// sent the request. So the age is too great by at most the request's transit time, however long the reply
// takes.
#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// Clock rates of two daemons may differ by 1/20 (5%), so reported ages are increased by this fraction.
inline constexpr int kClockDriftDivisor = 20;
/// Allowance for rounding an age up to whole milliseconds.
inline constexpr core::Duration kAgeRounding = std::chrono::milliseconds(2);

/// The age to report for `age`, which must not be negative.
inline std::uint32_t reported_age_ms(core::Duration age) {
  // Rounded up only once, at the end: 18.9 ms are 19.9 ms on a clock that is 5% faster.
  const core::Duration by_faster_clock = age + age / kClockDriftDivisor;
  return static_cast<std::uint32_t>(core::to_millis(by_faster_clock) + 1);
}

/// The time to report for something that has lasted for `age`, which must not be negative.
inline std::uint32_t reported_least_age_ms(core::Duration age) {
  const core::Duration by_slower_clock = age - age / kClockDriftDivisor;
  return static_cast<std::uint32_t>(core::to_millis(by_slower_clock));
}

/// The greatest age on the sender's clock that is reported as at most `max_reported`; negative if there is
/// none.
inline core::Duration max_reportable_age(core::Duration max_reported) {
  return max_reported * kClockDriftDivisor / (kClockDriftDivisor + 1) - kAgeRounding;
}

}  // namespace pipitpond::pooling
