#include "pooling/connection_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace pipitpond::pooling {
namespace {

TEST(ConnectionShareTest, WhereThereIsEnoughEachDaemonMayHoldAnEqualPartAndKeepsTwoThirdsOfIt) {
  const ConnectionShare share = share_of({30, 3}, 6);
  EXPECT_EQ(share.kept, 3U);
  EXPECT_EQ(share.most, 5U);
}

TEST(ConnectionShareTest, AThirdOfTheConnectionsStaysFreeWhileDaemonsAreIdle) {
  // Guards against idle connections that take up the whole limit: after a power loss, databases counted the
  // connections of lost machines for 3 s more, and 343 new ones were refused.
  for (const std::uint32_t daemons : {1U, 2U, 4U, 8U}) {
    const ConnectionShare share = share_of({32, 2}, daemons);
    EXPECT_LE(share.kept * daemons, 32U * 2 / 3) << daemons;
    EXPECT_GE(share.kept, 1U);
  }
}

TEST(ConnectionShareTest, WithMoreDaemonsThanConnectionsEachMayStillOpenOne) {
  // Guards against daemons without any connection: 29 of 63 proxies owned none and refused their requests.
  const ConnectionShare share = share_of({34, 3}, 63);
  EXPECT_EQ(share.kept, 0U);
  EXPECT_EQ(share.most, 5U);
}

TEST(ConnectionShareTest, OwnersWithMoreCallersGetMoreTenantConnections) {
  const DatabaseCapacity capacity{50, 6};
  const ConnectionShare near = tenant_share_of(capacity, OwnerPlace{8, 4, true, false});
  const ConnectionShare far = tenant_share_of(capacity, OwnerPlace{8, 4, false, false});
  EXPECT_EQ(near.most, 9U);
  EXPECT_EQ(near.kept, 6U);
  EXPECT_EQ(far.most, 3U);
  const ConnectionShare near_primary = tenant_share_of(capacity, OwnerPlace{8, 4, true, true});
  const ConnectionShare far_primary = tenant_share_of(capacity, OwnerPlace{8, 4, false, true});
  EXPECT_EQ(near_primary.most, 4U);
  EXPECT_EQ(far_primary.most, 8U);
}

TEST(ConnectionShareTest, TenantSharesNeverExceedTheDatabasesLimit) {
  for (std::uint32_t connections = 1; connections <= 200; ++connections) {
    for (std::size_t owners = 1; owners <= 8; ++owners) {
      for (const bool primary : {false, true}) {
        const std::size_t near = (owners + 1) / 2;
        const auto most = [&](bool is_near) {
          return tenant_share_of({connections, 6}, OwnerPlace{owners, near, is_near, primary}).most;
        };
        const std::size_t all = most(true) * near + most(false) * (owners - near);
        const std::size_t equal_parts = share_of({connections, 6}, owners).most * owners;
        EXPECT_LE(all, std::max<std::size_t>(connections, equal_parts)) << connections << " " << owners;
      }
    }
  }
}

TEST(ConnectionShareTest, MoreDaemonsWarmUpMoreSlowly) {
  EXPECT_GT(share_of({200, 3}, 60).warm_up_interval, share_of({200, 3}, 6).warm_up_interval);
}

TEST(ConnectionShareTest, IdleConnectionsFollowWhatTheDatabaseCanRunNotItsLimit) {
  // Guards against opening far more connections than a database can use: with 20 groups of 3 databases, each
  // with a limit of 600 connections and 2 slots, 4,564 connections were opened in the first two seconds,
  // although all databases together run 120 statements at once.
  const ConnectionShare share = share_of({596, 2}, 8);
  EXPECT_EQ(share.kept, 3U);
  EXPECT_EQ(share.most, 74U);
}

TEST(ConnectionShareTest, DaemonsTogetherBeginWithTwoStatementsForEachSlot) {
  EXPECT_EQ(share_of({30, 3}, 6).first_concurrency, 1U);
  EXPECT_EQ(share_of({30, 3}, 2).first_concurrency, 3U);
  EXPECT_EQ(share_of({30, 3}, 2).most_concurrency, 6U) << "the other daemon may be idle";
  EXPECT_EQ(share_of({600, 2}, 198).most_concurrency, 3U) << "at most as many as its connections";
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
  RC_ASSERT(share.first_concurrency >= 1U);
  RC_ASSERT(share.first_concurrency <= share.most_concurrency);
  RC_ASSERT(share.most_concurrency <= share.most);
}

}  // namespace
}  // namespace pipitpond::pooling
