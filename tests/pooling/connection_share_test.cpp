#include "pooling/connection_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pipitpond::pooling {
namespace {

TEST(ConnectionShareTest, WhereThereIsEnoughEachDaemonKeepsAnEqualPart) {
  const ConnectionShare share = share_of({30, 3}, 6);
  EXPECT_EQ(share.kept, 5U);
  EXPECT_EQ(share.most, 5U);
}

TEST(ConnectionShareTest, WithMoreDaemonsThanConnectionsEachMayStillOpenOne) {
  // Bench, bmsac-archive-grown: 29 of 63 proxies owned no connection and refused what they were asked.
  const ConnectionShare share = share_of({34, 3}, 63);
  EXPECT_EQ(share.kept, 0U);
  EXPECT_EQ(share.most, 5U);
}

TEST(ConnectionShareTest, MoreDaemonsWarmUpMoreSlowly) {
  EXPECT_GT(share_of({200, 3}, 60).warm_up_interval, share_of({200, 3}, 6).warm_up_interval);
}

RC_GTEST_PROP(ConnectionShareProperty, IdleConnectionsOfAllDaemonsFitAndEveryDaemonMayConnect, ()) {
  const auto connections = *rc::gen::inRange<std::uint32_t>(1, 300);
  const auto slots = *rc::gen::inRange<std::uint32_t>(0, 12);
  const auto daemons = *rc::gen::inRange<std::uint32_t>(1, 1000);
  const ConnectionShare share = share_of({connections, slots}, daemons);
  RC_ASSERT(share.kept * daemons <= connections);
  RC_ASSERT(share.kept <= share.most);
  RC_ASSERT(share.most >= 1U);
  RC_ASSERT(share.most <= connections);
}

}  // namespace
}  // namespace pipitpond::pooling
