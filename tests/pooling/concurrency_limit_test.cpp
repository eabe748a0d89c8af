#include "pooling/concurrency_limit.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

/// Reports `count` replies in sequence, each `taken` after the previous one.
core::Instant answer(ConcurrencyLimit& limit, core::Instant now, int count, milliseconds taken) {
  for (int number = 0; number < count; ++number) {
    now += taken;
    limit.on_answered(now, taken);
  }
  return now;
}

TEST(ConcurrencyLimitTest, StartsAtTheInitialLimitAndGrowsToTheMaximum) {
  ConcurrencyLimit limit;
  limit.set_bounds(2, 5);
  EXPECT_EQ(limit.limit(), 2U);
  answer(limit, core::Instant{}, 100, milliseconds(10));
  EXPECT_EQ(limit.limit(), 5U);
}

TEST(ConcurrencyLimitTest, KeepsWhatItLearnedWhenItsBoundsChange) {
  ConcurrencyLimit limit;
  limit.set_bounds(1, 5);
  answer(limit, core::Instant{}, 100, milliseconds(10));
  limit.set_bounds(1, 6);
  EXPECT_EQ(limit.limit(), 5U);
  limit.set_bounds(1, 3);
  EXPECT_EQ(limit.limit(), 3U);
}

TEST(ConcurrencyLimitTest, FallsWhileLatencyIsHighAndRecoversAfterwards) {
  ConcurrencyLimit limit;
  limit.set_bounds(5, 5);
  core::Instant now = answer(limit, core::Instant{}, 100, milliseconds(10));
  EXPECT_EQ(limit.limit(), 5U);
  now = answer(limit, now, 60, milliseconds(150));
  EXPECT_EQ(limit.limit(), 1U);
  now = answer(limit, now, 100, milliseconds(10));
  EXPECT_EQ(limit.limit(), 5U);
}

TEST(ConcurrencyLimitTest, AnOverloadDoesNotBecomeTheBaseline) {
  ConcurrencyLimit limit;
  limit.set_bounds(5, 5);
  core::Instant now = answer(limit, core::Instant{}, 100, milliseconds(10));
  now = answer(limit, now, 400, milliseconds(150));
  EXPECT_LT(limit.baseline_latency(), milliseconds(80));
}

TEST(ConcurrencyLimitTest, SimultaneousRefusalsCountOnce) {
  ConcurrencyLimit limit;
  limit.set_bounds(10, 10);
  const core::Instant now = answer(limit, core::Instant{}, 50, milliseconds(10));
  for (int number = 0; number < 20; ++number) {
    limit.on_refused(now);
  }
  EXPECT_EQ(limit.limit(), 8U);
}

RC_GTEST_PROP(ConcurrencyLimitProperty, StaysBetweenOneAndTheMaximum, ()) {
  ConcurrencyLimit limit;
  const auto first = *rc::gen::inRange<std::uint32_t>(0, 60);
  const auto most = *rc::gen::inRange<std::uint32_t>(0, 50);
  limit.set_bounds(first, most);
  core::Instant now{};
  const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-1, 500));
  for (const int event : events) {
    now += milliseconds(3);
    if (event < 0) {
      limit.on_refused(now);
    } else {
      limit.on_answered(now, milliseconds(event));
    }
    RC_ASSERT(limit.limit() >= 1U);
    RC_ASSERT(limit.limit() <= std::max(most, 1U));
  }
}

}  // namespace
}  // namespace pipitpond::pooling
