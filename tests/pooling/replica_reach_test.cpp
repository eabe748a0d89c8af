#include "pooling/replica_reach.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

core::Instant at(int millis) {
  return core::Instant(std::chrono::hours(1)) + milliseconds(millis);
}

TEST(ReplicaReachTest, ALaggingReplicaStillServesReadsOfOlderPositions) {
  // Guards against one refused read that keeps all reads from a replica: this happened with a replica that
  // lagged by 2 s.
  ReplicaReach reach;
  reach.note_lacking(at(0), {1, 50});
  EXPECT_FALSE(reach.may_reach(at(1), {1, 50}));
  EXPECT_FALSE(reach.may_reach(at(1), {1, 60}));
  EXPECT_TRUE(reach.may_reach(at(1), {1, 49}));
}

TEST(ReplicaReachTest, ServingAnOlderPositionDoesNotClearTheLackingOne) {
  ReplicaReach reach;
  reach.note_lacking(at(0), {1, 50});
  reach.note_reached({1, 30});
  EXPECT_FALSE(reach.may_reach(at(1), {1, 50}));
  reach.note_reached({1, 50});
  EXPECT_TRUE(reach.may_reach(at(1), {1, 60}));
}

TEST(ReplicaReachTest, ALackingPositionIsRetriedAfterABackoffThatDoublesUpToALimit) {
  ReplicaReach reach;
  int now = 0;
  for (const int rest : {20, 40, 80, 160, 320, 320}) {
    reach.note_lacking(at(now), {1, 50});
    EXPECT_FALSE(reach.may_reach(at(now + rest - 1), {1, 50}));
    EXPECT_TRUE(reach.may_reach(at(now + rest), {1, 50}));
    now += rest;
  }
}

// The oracle is a replica whose log only grows. A read may be kept from the replica only while a position at
// or below the read's was refused within the longest backoff.
RC_GTEST_PROP(ReplicaReachProperty, NoReadIsKeptBackWithoutARecentRefusalAtOrBelowItsPosition, ()) {
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  ReplicaReach reach;
  std::vector<std::pair<int, std::uint64_t>> refusals;
  std::uint64_t reached = 10;
  int now = 0;
  for (const int step : steps) {
    now += step;
    reached += static_cast<std::uint64_t>(step % 3);
    const std::uint64_t wanted = reached + static_cast<std::uint64_t>(step) % 7 - 3;
    if (!reach.may_reach(at(now), {1, wanted})) {
      const bool explained = std::any_of(refusals.begin(), refusals.end(), [&](const auto& refusal) {
        return refusal.second <= wanted && milliseconds(now - refusal.first) < kLackingBackoffMax;
      });
      RC_ASSERT(explained);
    } else if (wanted <= reached) {
      reach.note_reached({1, wanted});
    } else {
      reach.note_lacking(at(now), {1, wanted});
      refusals.emplace_back(now, wanted);
    }
  }
}

}  // namespace
}  // namespace pipitpond::pooling
