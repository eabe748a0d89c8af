// A token bucket: one token lets one operation run. No input or output.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/clock.hpp"

namespace pipitpond::tenancy {

/// How fast a bucket fills, and how far.
struct BucketLimits {
  double rate_per_s = 0;
  double capacity = 0;  ///< At least 1, or nothing would ever run.

  bool operator==(const BucketLimits&) const = default;
};

/// Gives at most `begun with + rate x time` tokens, and at most `capacity + rate x window` in any window.
class QuotaBucket {
 public:
  QuotaBucket(core::Instant now, const BucketLimits& limits, double tokens)
      : limits_(limits), tokens_(std::min(tokens, limits.capacity)), filled_(now) {}

  /// Takes other limits; what is over the new capacity is lost.
  void set_limits(core::Instant now, const BucketLimits& limits) {
    fill(now);
    limits_ = limits;
    tokens_ = std::min(tokens_, limits_.capacity);
  }

  bool take(core::Instant now) {
    fill(now);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// When there will be a token if nobody takes one before; an hour when none will come.
  [[nodiscard]] core::Duration time_to_next() const {
    constexpr double kNever = 3600;
    const double seconds = limits_.rate_per_s > 0 ? (1 - tokens_) / limits_.rate_per_s : kNever;
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, kNever)));
  }

  [[nodiscard]] double tokens() const { return tokens_; }

 private:
  void fill(core::Instant now) {
    if (now <= filled_) {
      return;
    }
    const double seconds = std::chrono::duration<double>(now - filled_).count();
    tokens_ = std::min(limits_.capacity, tokens_ + seconds * limits_.rate_per_s);
    filled_ = now;
  }

  BucketLimits limits_;
  double tokens_;
  core::Instant filled_;
};

}  // namespace pipitpond::tenancy
