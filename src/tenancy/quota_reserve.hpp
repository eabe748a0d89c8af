// Operations of a tenant that a home keeps back for more urgent requests of the same tenant, by the demand
// that it has seen lately. No input or output.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::tenancy {

/// Priorities told apart; all greater numbers count as the last one.
inline constexpr std::size_t kQuotaPriorities = 4;
/// Demand counts by half after this long: some seconds, so that the reserve follows a class that comes or
/// goes, and is steady while it comes at random.
inline constexpr core::Duration kDemandHalfLife = std::chrono::milliseconds(1000);
/// The reserve covers the more urgent demand of so long, as if no operation were added meanwhile. Covers what
/// comes at random above its mean; what it keeps is not lost, as a bucket goes on to fill.
inline constexpr core::Duration kReserveAhead = std::chrono::milliseconds(250);
/// Of a bucket's capacity the reserve never takes more than this part.
inline constexpr double kMostReserved = 0.5;

/// One tenant's demand at a home, by priority.
class QuotaReserve {
 public:
  /// Operations of a priority were asked for.
  void note(core::Instant now, std::uint32_t priority, std::uint32_t operations) {
    fade(now);
    weights_[index_of(priority)] += operations;
  }

  /// Operations to be left for requests that are more urgent than `priority`.
  [[nodiscard]] double before(std::uint32_t priority, double capacity) const {
    const double reserve = rate_before(priority) * std::chrono::duration<double>(kReserveAhead).count();
    return std::min(reserve, capacity * kMostReserved);
  }

  /// Operations a second that more urgent requests have asked for lately.
  [[nodiscard]] double rate_before(std::uint32_t priority) const {
    double weight = 0;
    for (std::size_t index = 0; index < index_of(priority); ++index) {
      weight += weights_[index];
    }
    // A steady rate r adds up to r x half-life / ln 2.
    return weight * std::log(2.0) / std::chrono::duration<double>(kDemandHalfLife).count();
  }

 private:
  static std::size_t index_of(std::uint32_t priority) {
    return std::min<std::size_t>(priority, kQuotaPriorities - 1);
  }

  void fade(core::Instant now) {
    if (now <= faded_) {
      return;
    }
    const double half_lives = std::chrono::duration<double>(now - faded_).count() /
                              std::chrono::duration<double>(kDemandHalfLife).count();
    const double factor = std::exp2(-half_lives);
    for (double& weight : weights_) {
      weight *= factor;
    }
    faded_ = now;
  }

  std::array<double, kQuotaPriorities> weights_{};
  core::Instant faded_{};
};

}  // namespace pipitpond::tenancy
