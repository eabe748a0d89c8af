// Time as the decision logic sees it. Leases must also run out while a process is frozen or the machine
// is suspended, so instants come from CLOCK_BOOTTIME and never from the wall clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace pipitpond::core {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock that keeps counting through suspension. Satisfies the standard's Clock requirements.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  /// Reads CLOCK_BOOTTIME.
  static time_point now() noexcept;
};

/// A moment on one machine's BootClock. Never sent to another machine.
using Instant = BootClock::time_point;

/// Milliseconds since the Unix epoch on the wall clock: for request keys and logs, never for leases.
using UnixMillis = std::int64_t;

/// Reads the wall clock.
UnixMillis unix_millis_now() noexcept;

/// Whole milliseconds of a duration, rounded down.
constexpr std::int64_t to_millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace pipitpond::core
