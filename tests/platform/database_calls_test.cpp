// Control's fence of a database, against the stand-in.
#include "platform/database_calls.hpp"

#include <gtest/gtest.h>

#include "platform_stage/service.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::platform {
namespace {

TEST(FenceTest, ADemotedPrimaryReceivesNothingEither) {
  // Bench, kcbu-counts trouble-1, LOST in 2 of 10 plays of seed 11: a primary of two terms ago was demoted
  // while its successor was replaced, followed that successor, and gave it receipts past the fence.
  boost::asio::io_context io;
  platform_stage::ServiceOptions options;
  platform_stage::Service service(io, options);
  service.start();
  platform_stage::Database& database = service.database(0);
  ASSERT_TRUE(database.primary());
  std::optional<database::FenceAnswer> fenced;
  bool failed = false;
  control::DatabaseCallCallbacks answers;
  answers.fenced = [&](const failover::FenceDatabase&, const database::FenceAnswer& answer) {
    fenced = answer;
  };
  answers.fence_failed = [&](const failover::FenceDatabase&) { failed = true; };
  control::FencedLeadership fenced_leadership;
  fenced_leadership.holds = [] { return true; };
  fenced_leadership.token = [] { return core::Term{1}; };
  DatabaseCalls calls(io, PromotionOptions{}, fenced_leadership, answers);
  const core::Endpoint endpoint{"127.0.0.1", database.options().port};
  calls.fence(failover::FenceDatabase{core::GroupName(database.options().service),
                                      core::DatabaseId(database.options().id), endpoint, 7});
  ASSERT_TRUE(pipitpond::testing::run_until(io, [&] { return fenced.has_value() || failed; }));
  EXPECT_TRUE(fenced);
  EXPECT_FALSE(database.primary());
  EXPECT_FALSE(database.receives());
}

}  // namespace
}  // namespace pipitpond::platform
