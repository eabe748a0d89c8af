// Ages that one daemon tells another, so that nothing is ever taken for younger than it is. No input or
// output.
//
// The teller counts an age up to a moment after the question came. The asker counts it from before it sent
// the question. So the age is too great by the way there, never too small, however long the answer takes.
#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// Clocks of two daemons may differ in rate by one part in so many (5%): ages are told that much greater.
inline constexpr int kClockRatePart = 20;
/// What rounding to milliseconds may add to an age.
inline constexpr core::Duration kAgeRounding = std::chrono::milliseconds(2);

/// The age to tell for `age`, which must not be negative.
inline std::uint32_t reported_age_ms(core::Duration age) {
  // Rounded up once, at the end: 18.9 ms are 19.9 ms by a clock that is 5% faster.
  const core::Duration by_faster_clock = age + age / kClockRatePart;
  return static_cast<std::uint32_t>(core::to_millis(by_faster_clock) + 1);
}

/// The greatest age by the teller's clock that is told as no more than `most`; negative when there is none.
inline core::Duration max_reportable_age(core::Duration most) {
  return most * kClockRatePart / (kClockRatePart + 1) - kAgeRounding;
}

}  // namespace pipitpond::pooling
