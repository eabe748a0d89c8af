// A home's part of a quota, against the bucket that the quota describes.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

#include "tenancy/quota_examples.hpp"
#include "tenancy/quota_home.hpp"

namespace pipitpond::tenancy {
namespace {

/// A tenant at three homes, without faults. The zones that ask have unequal parts of the callers.
struct SteadyResult {
  int granted = 0;
  int refused = 0;
};

SteadyResult play_steady(const HomePart& part, double operations_per_s, std::uint64_t seed) {
  constexpr double kSeconds = 60;
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(operations_per_s);
  std::discrete_distribution<std::size_t> zone{0.5, 0.3, 0.2};
  const core::Instant start{std::chrono::hours(1)};
  const core::Instant begin = start - std::chrono::seconds(10);  // Buckets have filled.
  std::vector<QuotaBucket> homes(kZones, QuotaBucket(begin, part.limits, part.first_tokens));
  SteadyResult result;
  for (double at = gap(random); at < kSeconds; at += gap(random)) {
    const auto now = start + std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(at));
    const std::size_t near = zone(random);
    bool granted = false;
    for (std::size_t next = 0; next < homes.size() && !granted; ++next) {
      granted = homes[(near + next) % homes.size()].take(now).has_value();
    }
    ++(granted ? result.granted : result.refused);
  }
  return result;
}

/// The bucket that a quota describes.
HomePart plain_part(const protocol::TenantQuota& quota) {
  constexpr double kHomes = kZones;
  return HomePart{{quota.rate_per_s / kHomes, std::max(quota.burst / kHomes, 1.0)}, 0};
}

SteadyResult play_many(const HomePart& part, double operations_per_s) {
  constexpr std::uint64_t kPlays = 100;
  SteadyResult all;
  for (std::uint64_t seed = 1; seed <= kPlays; ++seed) {
    const SteadyResult one = play_steady(part, operations_per_s, seed);
    all.granted += one.granted;
    all.refused += one.refused;
  }
  return all;
}

double refused_percent(const SteadyResult& result) {
  return 100.0 * result.refused / (result.granted + result.refused);
}

constexpr protocol::TenantQuota kMiddle{30, 30};
constexpr protocol::TenantQuota kLargest{580, 580};

TEST(QuotaPart, ATenantBelowItsLimitIsRefusedLessThanByTheBucketThatTheQuotaDescribes) {
  // All at 1.3 times the usual, under limits of 1.6 times the usual.
  constexpr double kPartOfLimit = 1.3 / 1.6;
  for (const protocol::TenantQuota& quota : {kSmall, kMiddle, kLarge, kLargest}) {
    const double asked = kPartOfLimit * quota.rate_per_s;
    const SteadyResult plain = play_many(plain_part(quota), asked);
    const SteadyResult built = play_many(part_of_home(quota, QuotaLimits{}, kZones), asked);
    EXPECT_LE(built.refused, plain.refused) << quota.rate_per_s;
    EXPECT_LT(refused_percent(built), 0.1)
        << quota.rate_per_s << " per s; plain bucket " << refused_percent(plain) << " %";
    std::printf("limit %u/s: refused %.4f %% (plain bucket %.4f %%)\n", quota.rate_per_s,
                refused_percent(built), refused_percent(plain));
  }
}

TEST(QuotaPart, ATenantFarOverItsLimitGetsWhatTheWindowPermits) {
  constexpr double kTimesTheLimit = 5;
  constexpr double kSeconds = 60;
  for (const protocol::TenantQuota& quota : {kSmall, kMiddle, kLarge, kLargest}) {
    const double asked = kTimesTheLimit * quota.rate_per_s;
    const SteadyResult plain = play_steady(plain_part(quota), asked, 1);
    const SteadyResult built = play_steady(part_of_home(quota, QuotaLimits{}, kZones), asked, 1);
    const double window = std::chrono::duration<double>(QuotaLimits{}.window).count();
    EXPECT_GE(built.granted / kSeconds, 0.97 * (quota.rate_per_s + quota.burst / window));
    std::printf("limit %u/s, asked %.0f/s: granted %.1f/s (plain bucket %.1f/s)\n", quota.rate_per_s, asked,
                built.granted / kSeconds, plain.granted / kSeconds);
  }
}

TEST(QuotaPart, WithoutExcessAndSlackBucketsAreThoseThatTheQuotaDescribes) {
  QuotaLimits strict;
  strict.excess = 0;
  strict.slack = 0;
  for (const protocol::TenantQuota& quota : {kSmall, kLarge}) {
    const HomePart part = part_of_home(quota, strict, kZones);
    EXPECT_EQ(part.limits, plain_part(quota).limits);
    EXPECT_EQ(part.first_tokens, 0);
  }
}

TEST(QuotaPart, HeldFilledAndBegunWithAreWhatIsPermittedInAWindow) {
  const QuotaLimits limits;
  const double window = std::chrono::duration<double>(limits.window).count();
  for (const protocol::TenantQuota& quota : {kSmall, kMiddle, kLarge, kLargest}) {
    for (std::size_t homes = 1; homes <= kMostQuotaHomes; ++homes) {
      const HomePart part = part_of_home(quota, limits, homes);
      const double most =
          part.limits.capacity + part.limits.rate_per_s * window + part.first_tokens * kBeginningsInWindow;
      EXPECT_LE(most * static_cast<double>(homes), permitted(quota) + 1e-6) << quota.rate_per_s;
    }
  }
}

}  // namespace
}  // namespace pipitpond::tenancy
