// What another daemon's clock shows, as far as its answers tell. A request carries the time of its sending on
// the receiver's own clock, so that the receiver can tell how long the request lay unread, also in a freeze.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace pipitpond::routing {

/// A better reading replaces the last one at once; a worse one only when that is older than this, so that
/// clocks whose rates differ by 200 millionths are at most 12 ms apart.
inline constexpr core::Duration kClockReadingAge = std::chrono::seconds(60);

/// Estimates another machine's BootClock. The estimate is never ahead of the truth: an answer's way here
/// counts as if it had taken no time.
class PeerClock {
 public:
  /// An answer arrived that had left when the other clock showed `reading`, in microseconds; 0: not told.
  void observe(std::int64_t reading, core::Instant now);
  /// The connection was lost: the machine may have been started anew.
  void forget() { read_at_.reset(); }
  /// What the other clock showed at `now` at least, in microseconds; 0 when unknown.
  [[nodiscard]] std::int64_t reading_at(core::Instant now) const;

 private:
  std::optional<core::Instant> read_at_;
  std::int64_t ahead_ = 0;  ///< The other clock's reading less this one's, in microseconds.
};

/// A clock's reading as it is sent: only the machine that took it can compare it with others.
std::int64_t clock_reading(core::Instant now);

}  // namespace pipitpond::routing
