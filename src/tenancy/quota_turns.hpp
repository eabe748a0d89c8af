// When a home that has no operations left is to be asked again: each daemon is told a moment of its own, so
// that few ask in vain. No input or output.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::tenancy {

/// Nobody is told less: below the way between zones and back with the time of an answer, the next question
/// would only find the same bucket.
inline constexpr core::Duration kShortestTurn = std::chrono::milliseconds(10);
/// How far the refused questions before may put a turn off. Bounds what goes unused when they don't come
/// back, and is well below a second, in which most callers give up.
inline constexpr core::Duration kLongestTurn = std::chrono::milliseconds(100);

/// The turns of one tenant's refused questions. They lie apart by the time in which the bucket fills for
/// them.
class QuotaTurns {
 public:
  /// Refuses `operations`. `to_next`: until the bucket has one.
  core::Duration refuse(core::Instant now, core::Duration to_next, std::uint32_t operations,
                        double rate_per_s) {
    const core::Instant soonest = now + std::max(to_next, kShortestTurn);
    const core::Instant latest = soonest + kLongestTurn;
    const double seconds = rate_per_s > 0 ? operations / rate_per_s : 0;
    const double bounded = std::min(seconds, std::chrono::duration<double>(kLongestTurn).count());
    last_ += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(bounded));
    last_ = std::clamp(last_, soonest, latest);
    return last_ - now;
  }

 private:
  core::Instant last_{};  ///< The turn told last.
};

}  // namespace pipitpond::tenancy
