#include "pooling/replica_reach.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

core::Instant at(int millis) {
  return core::Instant(std::chrono::hours(1)) + milliseconds(millis);
}

TEST(ReplicaReachTest, ALaggingReplicaStillServesReadsThatNeedLess) {
  // Bench, kerbrat-pieces trouble-3: one refused read kept all reads from a replica that lagged by 2 s.
  ReplicaReach reach;
  reach.note_lacking(at(0), {1, 50});
  EXPECT_FALSE(reach.may_reach(at(1), {1, 50}));
  EXPECT_FALSE(reach.may_reach(at(1), {1, 60}));
  EXPECT_TRUE(reach.may_reach(at(1), {1, 49}));
}

TEST(ReplicaReachTest, ServingAReadThatNeedsLessSaysNothingOfTheLackingPosition) {
  ReplicaReach reach;
  reach.note_lacking(at(0), {1, 50});
  reach.note_reached({1, 30});
  EXPECT_FALSE(reach.may_reach(at(1), {1, 50}));
  reach.note_reached({1, 50});
  EXPECT_TRUE(reach.may_reach(at(1), {1, 60}));
}

TEST(ReplicaReachTest, ItIsAskedAgainAfterARestThatDoublesUpToALimit) {
  ReplicaReach reach;
  int now = 0;
  for (const int rest : {20, 40, 80, 160, 320, 320}) {
    reach.note_lacking(at(now), {1, 50});
    EXPECT_FALSE(reach.may_reach(at(now + rest - 1), {1, 50}));
    EXPECT_TRUE(reach.may_reach(at(now + rest), {1, 50}));
    now += rest;
  }
}

TEST(ReplicaReachTest, ReadsThatWereUnderWayTogetherLengthenTheRestOnce) {
  ReplicaReach reach;
  for (int answer = 0; answer < 5; ++answer) {
    reach.note_lacking(at(answer), {1, 50});
  }
  EXPECT_TRUE(reach.may_reach(at(20), {1, 50}));
}

TEST(ReplicaReachTest, OneReadAtATimeEndsARest) {
  ReplicaReach reach;
  reach.note_lacking(at(0), {1, 50});
  reach.note_tried(at(20), {1, 55});
  EXPECT_FALSE(reach.may_reach(at(21), {1, 50})) << "its answer is awaited";
  EXPECT_TRUE(reach.may_reach(at(21), {1, 49}));
  reach.note_lacking(at(25), {1, 55});
  EXPECT_FALSE(reach.may_reach(at(64), {1, 50}));
  EXPECT_TRUE(reach.may_reach(at(65), {1, 50})) << "40 ms after the second refusal";
  reach.note_tried(at(65), {1, 50});
  EXPECT_TRUE(reach.may_reach(at(105), {1, 50})) << "an answer that is lost holds nobody back for longer";
  reach.note_reached({1, 50});
  EXPECT_TRUE(reach.may_reach(at(66), {1, 90}));
}

TEST(ReplicaReachTest, WhatAnOwnerFoundKeepsReadsAwayUntilItsRestEnds) {
  ReplicaReach owner;
  EXPECT_FALSE(owner.to_tell(at(0)));
  owner.note_lacking(at(0), {1, 50});
  const auto told = owner.to_tell(at(5));
  ASSERT_TRUE(told);
  ReplicaReach reach;
  reach.note_told(at(12), at(8), *told);  // Found at 3 ms at the latest, by the asker's clock.
  EXPECT_FALSE(reach.may_reach(at(13), {1, 50}));
  EXPECT_TRUE(reach.may_reach(at(13), {1, 49}));
  EXPECT_TRUE(reach.may_reach(at(23), {1, 50}));
  EXPECT_FALSE(owner.to_tell(at(20))) << "nothing is told of a rest that is over";
}

TEST(ReplicaReachTest, OldKnowledgeAndLongRestsThatAreToldCountForNothing) {
  ReplicaReach reach;
  reach.note_told(at(10), at(0), ToldLacking{{1, 50}, 400, 320});
  EXPECT_TRUE(reach.may_reach(at(10), {1, 50}));
  reach.note_told(at(1000), at(0), ToldLacking{{1, 50}, 0, 320});  // The answer took a second.
  EXPECT_TRUE(reach.may_reach(at(1000), {1, 50}));
  reach.note_told(at(2000), at(2000), ToldLacking{{1, 50}, 0, 4'000'000'000});
  EXPECT_TRUE(reach.may_reach(at(2000) + kLackingRestMax, {1, 50})) << "no owner keeps it away for longer";
}

/// Reads of a replica that lags by seconds, from daemons that each have one owner that they ask: how many it
/// refuses in a second, when all are told what owners know, and when each finds out for itself.
int refusals_in_a_second(bool owners_tell) {
  constexpr int kDaemons = 40;
  constexpr int kOwners = 8;
  constexpr int kReadsEach = 25;
  constexpr int kWay = 2;
  std::mt19937_64 random(7);
  std::vector<ReplicaReach> daemons(kDaemons);
  std::vector<ReplicaReach> owners(kOwners);
  int refused = 0;
  for (int now = 0; now < 1000; ++now) {
    for (int read = 0; read < kDaemons * kReadsEach / 1000; ++read) {
      const std::size_t which = random() % kDaemons;
      ReplicaReach& daemon = daemons.at(which);
      ReplicaReach& owner = owners.at(which % kOwners);
      const core::LogPosition needed{1, static_cast<std::uint64_t>(100 + now)};
      if (!daemon.may_reach(at(now), needed)) {
        continue;
      }
      daemon.note_tried(at(now), needed);
      if (!owners_tell || owner.may_reach(at(now + kWay), needed)) {
        ++refused;
        owner.note_tried(at(now + kWay), needed);
        owner.note_lacking(at(now + kWay), needed);
      }
      const auto told = owner.to_tell(at(now + kWay));
      if (owners_tell && told) {
        daemon.note_told(at(now + 2 * kWay), at(now), *told);
      }
      daemon.note_lacking(at(now + 2 * kWay), needed);
    }
  }
  return refused;
}

TEST(ReplicaReachTest, WhatOwnersTellSparesALaggingReplicaMostRefusals) {
  const int alone = refusals_in_a_second(false);
  const int told = refusals_in_a_second(true);
  RecordProperty("refusals_alone", alone);
  RecordProperty("refusals_told", told);
  EXPECT_LT(told * 2, alone);
}

// The oracle: a replica whose log only grows. A read that it could serve is kept from it only while a
// position at or below the read's was lacking within the longest rest.
RC_GTEST_PROP(ReplicaReachProperty, NoReadIsKeptBackWithoutARecentRefusalOfAsLittle, ()) {
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
        return refusal.second <= wanted && milliseconds(now - refusal.first) < kLackingRestMax;
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
