#include "failover/coordinator.hpp"

#include <gtest/gtest.h>

#include "failover/group_coordinator.hpp"
#include "failover/primary_choice.hpp"
#include "failover_logic/example_group.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {
namespace {

using protocol::Suspicion;
using std::chrono::milliseconds;
using std::chrono::seconds;

void kill(ExampleDatabase& database) {
  database.reachable = false;
  database.reachable_by_owners = false;
}

/// Tests with a group that has its first primary.
class CoordinatorTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(group_.run_until_primary_differs(""));
    group_.run(seconds(1));  // Until the leader's probe answers from the first change have expired.
  }

  void expect_no_change_within(core::Duration duration) {
    const core::Term before = group_.term();
    group_.run(duration);
    EXPECT_EQ(group_.term(), before);
    EXPECT_FALSE(group_.primary().empty());
  }

  ExampleGroup group_;
};

TEST_F(CoordinatorTest, NewGroupGetsAPrimaryAtTermOne) {
  EXPECT_EQ(group_.term(), 1U);
  EXPECT_EQ(group_.primary(), "a");
}

TEST_F(CoordinatorTest, DeadPrimaryIsReplacedByTheMostUpToDateReplica) {
  group_.database("a").received = {1, 100};
  group_.database("b").received = {1, 80};
  group_.database("c").received = {1, 95};
  kill(group_.database("a"));
  ASSERT_TRUE(group_.run_until_primary_differs("a"));
  EXPECT_EQ(group_.primary(), "c");
  EXPECT_EQ(group_.group().terms.back().start, (core::LogPosition{1, 95}));
}

TEST_F(CoordinatorTest, SecondFailoverRightAfterTheFirstSucceeds) {
  kill(group_.database("a"));
  ASSERT_TRUE(group_.run_until_primary_differs("a"));
  const std::string second = group_.primary();
  group_.database("a").reachable = true;
  group_.database("a").reachable_by_owners = true;
  kill(group_.database(second));
  ASSERT_TRUE(group_.run_until_primary_differs(second));
}

TEST_F(CoordinatorTest, ReportOfOneOwnerDoesNotTriggerAFailover) {
  group_.force_reports(1, {ExampleGroup::report("a", Suspicion::kUnreachable, group_.term())});
  expect_no_change_within(seconds(20));
}

TEST_F(CoordinatorTest, ReportsOfHalfTheOwnersDoNotTriggerAFailover) {
  for (const int owner : {1, 2}) {
    group_.force_reports(owner, {ExampleGroup::report("a", Suspicion::kUnreachable, group_.term())});
  }
  expect_no_change_within(seconds(20));
}

TEST_F(CoordinatorTest, ReportsOfAnEarlierTermAreIgnored) {
  for (const int owner : {1, 2, 3, 4}) {
    group_.force_reports(owner, {ExampleGroup::report("a", Suspicion::kUnreachable, group_.term() - 1)});
  }
  expect_no_change_within(seconds(5));
}

TEST_F(CoordinatorTest, HeardOwnersAndTheLeaderReplaceThePrimaryWhenOtherOwnersDied) {
  kill(group_.database("a"));
  group_.stop_heartbeats(1);
  group_.stop_heartbeats(2);
  EXPECT_TRUE(group_.run_until_primary_differs("a"));
}

TEST_F(CoordinatorTest, HeardOwnersAloneDoNotOverrideTheLeadersProbe) {
  group_.database("a").reachable_by_owners = false;
  group_.stop_heartbeats(1);
  group_.stop_heartbeats(2);
  expect_no_change_within(seconds(10));
}

TEST_F(CoordinatorTest, StalledPrimaryPartitionedFromItsReplicasIsReplaced) {
  group_.database("a").stalled_ms = 900;
  EXPECT_TRUE(group_.run_until_primary_differs("a"));
}

TEST_F(CoordinatorTest, StallDoesNotTriggerAFailoverWhileReplicasAdvance) {
  group_.database("a").stalled_ms = 900;
  const core::Term before = group_.term();
  for (std::uint64_t index = 1; index <= 50; ++index) {
    group_.database("b").received = {1, index};
    group_.run(milliseconds(200));
  }
  EXPECT_EQ(group_.term(), before);
}

TEST_F(CoordinatorTest, StallDoesNotTriggerAFailoverWithoutAMajorityOfOthers) {
  group_.database("a").stalled_ms = 900;
  kill(group_.database("b"));
  expect_no_change_within(seconds(10));
}

TEST_F(CoordinatorTest, ChangeWaitsForAMajorityToBeReachable) {
  kill(group_.database("a"));
  kill(group_.database("b"));
  expect_no_change_within(seconds(5));
  group_.database("b").reachable = true;
  EXPECT_TRUE(group_.run_until_primary_differs("a"));
}

TEST_F(CoordinatorTest, LostPromotionAnswerLeadsToANewTermNotToASecondPrimaryInTheSameTerm) {
  group_.database("b").received = {1, 10};
  group_.database("c").received = {1, 10};
  group_.database("b").promote_answers_lost = true;
  kill(group_.database("a"));
  ASSERT_TRUE(group_.run_until_primary_differs("a"));
  EXPECT_EQ(group_.primary(), "c");
  EXPECT_GE(group_.term(), 3U);
}

TEST_F(CoordinatorTest, NewLeaderDoesNotPromoteInATermOfAnEarlierLeader) {
  group_.database("b").promote_answers_lost = true;
  group_.database("c").promote_answers_lost = true;
  kill(group_.database("a"));
  group_.run(seconds(1));
  ASSERT_EQ(group_.primary(), "");
  const core::Term begun = group_.term();
  group_.change_leader();
  group_.database("b").promote_answers_lost = false;
  group_.database("c").promote_answers_lost = false;
  ASSERT_TRUE(group_.run_until_primary_differs("a"));
  EXPECT_GT(group_.term(), begun);
}

TEST_F(CoordinatorTest, LostProposalsAreRetried) {
  group_.drop_proposals(true);
  kill(group_.database("a"));
  group_.run(seconds(2));
  group_.drop_proposals(false);
  EXPECT_TRUE(group_.run_until_primary_differs("a"));
}

TEST_F(CoordinatorTest, DatabaseFencedAtALaterTermDoesNotBlockAFailover) {
  group_.database("b").term = 9;
  kill(group_.database("a"));
  ASSERT_TRUE(group_.run_until_primary_differs("a"));
  EXPECT_GE(group_.term(), 9U);
}

TEST_F(CoordinatorTest, DrainingPrimaryIsReplacedExactlyOnce) {
  group_.set_draining("a", true);
  ASSERT_TRUE(group_.run_until_primary_differs("a"));
  EXPECT_EQ(group_.begun_terms(), 2U);
  expect_no_change_within(seconds(20));
}

TEST_F(CoordinatorTest, DrainingPrimaryIsNotReplacedBeforeTheNoticePeriodEnds) {
  group_.set_draining("a", true);
  expect_no_change_within(kPlannedChangeNotice - milliseconds(100));
  EXPECT_TRUE(group_.run_until_primary_differs("a"));
}

TEST_F(CoordinatorTest, LeavingPrimaryIsNotReplacedWithoutAHealthyCandidate) {
  group_.database("a").leaving = true;
  kill(group_.database("b"));
  group_.database("c").leaving = true;
  expect_no_change_within(seconds(20));
}

TEST(CoordinatorWithOneOwner, DoesNotReplaceThePrimaryWithoutTheLeadersProbe) {
  ExampleGroup group(1);
  ASSERT_TRUE(group.run_until_primary_differs(""));
  group.database("a").reachable_by_owners = false;
  group.run(seconds(10));
  EXPECT_EQ(group.primary(), "a");
  group.database("a").reachable = false;
  EXPECT_TRUE(group.run_until_primary_differs("a"));
}

/// A coordinator with one group that has no primary, so that each tick of the group produces effects.
class CoordinatorHeartbeatTest : public testing::Test {
 protected:
  void SetUp() override {
    protocol::Group group;
    group.name = core::GroupName("g");
    group.databases.push_back({core::DatabaseId("a"), {"127.0.0.1", 1}, core::ZoneName("z"), 8, 4, false});
    configuration_.groups[group.name] = group;
    configuration_.revision = 1;
    coordinator_.on_leadership(now_, true);
    coordinator_.on_configuration(now_, configuration_);
    (void)coordinator_.take_effects();
  }

  core::Instant now_ = core::Instant(std::chrono::hours(1));
  protocol::Configuration configuration_;
  Coordinator coordinator_;
};

TEST_F(CoordinatorHeartbeatTest, HeartbeatWithoutSuspicionsTicksNoGroup) {
  coordinator_.on_suspicions(now_, core::DaemonId("o1"), {});
  EXPECT_TRUE(coordinator_.take_effects().empty());
}

TEST_F(CoordinatorHeartbeatTest, HeartbeatWithASuspicionTicksItsGroupAtOnce) {
  coordinator_.on_suspicions(now_, core::DaemonId("o1"),
                             {ExampleGroup::report("a", Suspicion::kUnreachable, 0)});
  EXPECT_FALSE(coordinator_.take_effects().empty());
}

TEST(CoordinatorWithoutOwners, ReplacesThePrimaryByTheLeadersProbesAlone) {
  ExampleGroup group(0);
  ASSERT_TRUE(group.run_until_primary_differs(""));
  group.run(seconds(10));
  EXPECT_EQ(group.begun_terms(), 1U);
  kill(group.database("a"));
  EXPECT_TRUE(group.run_until_primary_differs("a"));
}

FencedMember fenced(const std::string& name, core::LogPosition received) {
  return FencedMember{core::DatabaseId(name), received, false, false};
}

TEST(PrimaryChoice, ChoosesNoDatabaseWithoutAMajority) {
  EXPECT_FALSE(choose_primary({fenced("a", {1, 5})}, 3).has_value());
}

TEST(PrimaryChoice, PrefersALaterTermToALongerLog) {
  EXPECT_EQ(choose_primary({fenced("a", {1, 50}), fenced("b", {2, 5})}, 3)->value(), "b");
}

TEST(PrimaryChoice, AvoidsADatabaseOnlyIfAnotherIsSafe) {
  FencedMember first = fenced("a", {1, 50});
  first.avoided = true;
  EXPECT_EQ(choose_primary({first, fenced("b", {1, 40}), fenced("c", {1, 30})}, 3)->value(), "b");
  EXPECT_EQ(choose_primary({first, fenced("b", {1, 40})}, 3)->value(), "a");
}

}  // namespace
}  // namespace pipitpond::failover
