// One bucket: tokens that come back, and that every window holds whatever does.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "tenancy/quota_bucket.hpp"

namespace pipitpond::tenancy {
namespace {

using std::chrono::milliseconds;

/// A bucket of 3 that fills with 10 a second, full.
class QuotaBucketTest : public ::testing::Test {
 protected:
  core::Instant at(int after_ms) const { return start_ + milliseconds(after_ms); }
  int take_all(core::Instant now) {
    int taken = 0;
    while (bucket_.take(now)) {
      ++taken;
    }
    return taken;
  }

  core::Instant start_{std::chrono::hours(1)};
  QuotaBucket bucket_{start_, BucketLimits{10, 3}, 3};
};

TEST_F(QuotaBucketTest, ATokenThatComesBackCanBeTakenAgainOnce) {
  const auto number = bucket_.take(at(0));
  EXPECT_EQ(take_all(at(0)), 2);
  EXPECT_TRUE(bucket_.give_back(at(20), *number));
  EXPECT_FALSE(bucket_.give_back(at(20), *number)) << "doubled";
  EXPECT_EQ(take_all(at(20)), 1);
}

TEST_F(QuotaBucketTest, WhatComesBackLateOrWasNeverGivenChangesNothing) {
  const auto number = bucket_.take(at(0));
  EXPECT_FALSE(bucket_.give_back(at(20), *number + 1000));
  const int late = static_cast<int>(core::to_millis(kGiveBackTime)) + 1;
  EXPECT_FALSE(bucket_.give_back(at(late), *number));
  EXPECT_EQ(take_all(at(late)), 3) << "it had filled meanwhile";
}

TEST_F(QuotaBucketTest, ABucketThatWouldHaveBeenFullMeanwhileHasNoRoomForIt) {
  const auto number = bucket_.take(at(0));
  EXPECT_EQ(take_all(at(100)), 3);  // Full again: without the first one, what flowed in would have been lost.
  EXPECT_TRUE(bucket_.give_back(at(100), *number));
  EXPECT_EQ(take_all(at(100)), 0);
}

TEST_F(QuotaBucketTest, TokensThatComeBackUnderOtherLimitsAreLost) {
  const auto number = bucket_.take(at(0));
  bucket_.set_limits(at(10), BucketLimits{10, 4});
  EXPECT_FALSE(bucket_.give_back(at(20), *number));
}

TEST_F(QuotaBucketTest, NumbersOfALaterLifeAreOthers) {
  const auto number = bucket_.take(at(0));
  QuotaBucket next(at(10), BucketLimits{10, 3}, 3);
  EXPECT_GT(*next.take(at(10)), *number);
  EXPECT_FALSE(next.give_back(at(20), *number));
}

/// Tokens that were given, in order; those that came back in time are struck out.
class GivenTokens {
 public:
  void add(core::Instant now, TokenNumber number) { given_.emplace(number, now); }
  void strike_out(TokenNumber number) { given_.erase(number); }

  /// True when no span sees more of them than `capacity + rate x span`: from each token to each later one.
  [[nodiscard]] bool fit(const BucketLimits& limits) const {
    double room = limits.capacity;  // Of the strictest span that ends now.
    std::optional<core::Instant> last;
    for (const auto& [number, at] : given_) {
      const double seconds = last ? std::chrono::duration<double>(at - *last).count() : 0;
      room = std::min(limits.capacity, room + seconds * limits.rate_per_s) - 1;
      last = at;
      constexpr double kRounding = 1e-6;
      if (room < -kRounding) {
        return false;
      }
    }
    return true;
  }

 private:
  std::map<TokenNumber, core::Instant> given_;
};

TEST(QuotaBucket, WhateverComesBackTheRestFitsEveryWindow) {
  constexpr std::uint64_t kHistories = 3000;
  constexpr int kSteps = 600;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    std::mt19937_64 random(seed);
    const BucketLimits limits{static_cast<double>(1 + random() % 300),
                              1 + static_cast<double>(random() % 40)};
    core::Instant now{std::chrono::hours(1)};
    QuotaBucket bucket(now, limits, limits.capacity);
    GivenTokens kept;
    std::vector<TokenNumber> given{1};
    for (int step = 0; step < kSteps; ++step) {
      now += std::chrono::microseconds(random() % 2 == 0 ? 0 : random() % 100'000);
      const bool returns = random() % 3 == 0;
      // Often one of the last, so that it comes in time.
      const std::size_t back = std::min<std::size_t>(random() % 30, given.size() - 1);
      const TokenNumber number = given[given.size() - 1 - back];
      if (returns && bucket.give_back(now, number)) {
        kept.strike_out(number);
      }
      if (const auto taken = returns ? std::nullopt : bucket.take(now)) {
        kept.add(now, *taken);
        given.push_back(*taken);
      }
    }
    ASSERT_TRUE(kept.fit(limits)) << "seed " << seed;
  }
}

}  // namespace
}  // namespace pipitpond::tenancy
