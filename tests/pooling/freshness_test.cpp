#include "pooling/freshness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

core::Instant at(int millis) {
  return core::Instant(std::chrono::hours(1)) + milliseconds(millis);
}

TEST(PrimaryPositionsTest, NothingIsKnownBeforeTheFirst) {
  const PrimaryPositions positions;
  EXPECT_FALSE(positions.covering(at(0)));
  EXPECT_FALSE(positions.newest());
}

TEST(PrimaryPositionsTest, TheEarliestPositionThatCoversTheMomentIsEnough) {
  PrimaryPositions positions;
  positions.record(at(100), {1, 5});
  positions.record(at(200), {1, 9});
  EXPECT_EQ(positions.covering(at(50)), (core::LogPosition{1, 5}));
  EXPECT_EQ(positions.covering(at(100)), (core::LogPosition{1, 5}));
  EXPECT_EQ(positions.covering(at(101)), (core::LogPosition{1, 9}));
  EXPECT_FALSE(positions.covering(at(201)));
}

TEST(PrimaryPositionsTest, AnAnswerThatOvertookAnotherKeepsTheOrderOfSending) {
  PrimaryPositions positions;
  positions.record(at(300), {1, 9});
  positions.record(at(100), {1, 5});
  EXPECT_EQ(positions.covering(at(90)), (core::LogPosition{1, 5}));
  EXPECT_EQ(positions.covering(at(200)), (core::LogPosition{1, 9}));
}

// The oracle is a primary whose log grows with acknowledged writes: the returned position must always reach
// every write that was acknowledged before the requested moment.
RC_GTEST_PROP(PrimaryPositionsProperty, CoversEveryWriteAcknowledgedBefore, ()) {
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
  PrimaryPositions positions;
  std::vector<int> acknowledged;  // Times of the writes; the write at offset n has log index n + 1.
  int now = 0;
  for (const int step : steps) {
    now += step;
    if (step % 3 == 0) {
      acknowledged.push_back(now);
    } else {
      positions.record(at(now), {1, acknowledged.size()});
    }
  }
  const int asked = *rc::gen::inRange(0, now + 10);
  const auto position = positions.covering(at(asked));
  if (!position) {
    RC_SUCCEED("nothing known");
  }
  std::uint64_t wanted = 0;
  for (const int time : acknowledged) {
    wanted += time < asked ? 1 : 0;
  }
  RC_ASSERT(position->index >= wanted);
}

}  // namespace
}  // namespace pipitpond::pooling
