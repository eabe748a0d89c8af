// Changes of primary in semi-synchronous groups, which acknowledge a write once one replica has received it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "failover/group_coordinator.hpp"
#include "failover_logic/semi_synchronous_group.hpp"

namespace pipitpond::failover {
namespace {

using std::chrono::milliseconds;

TEST_F(SemiSynchronousGroupTest, ExistingPrimaryIsAdopted) {
  run(milliseconds(500));
  EXPECT_EQ(primary(), "a");
  EXPECT_TRUE(promoted_.empty());
}

TEST_F(SemiSynchronousGroupTest, AGroupThatOnlyHeartbeatsNameIsNotUsed) {
  group_.connection_limit = 0;
  commit();
  run(milliseconds(1000));
  EXPECT_EQ(probes_, 0U) << "its databases may be another group's, or none";
  EXPECT_EQ(primary(), "");
  group_.connection_limit = 34;
  commit();
  run(milliseconds(500));
  EXPECT_EQ(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, DeadPrimaryIsReplacedByTheMostUpToDateReplica) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  databases_["b"].received = {1, 60};
  run(milliseconds(2000), 4);
  EXPECT_EQ(primary(), "b");
}

// It acknowledged writes with the receipts of a replica that had started since the fences.
TEST_F(SemiSynchronousGroupTest, AReplacedPrimaryThatStillLeadsIsDemotedOnceItIsReachable) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  run(milliseconds(2000), 4);
  ASSERT_EQ(primary(), "b");
  EXPECT_TRUE(databases_["a"].primary);
  databases_["a"].reachable = true;
  run(milliseconds(500));
  EXPECT_FALSE(databases_["a"].primary);
  EXPECT_TRUE(databases_["b"].primary);
  run(milliseconds(1000));
  const std::size_t asked = probes_;
  run(milliseconds(5000));
  EXPECT_EQ(probes_, asked) << "a steady group is not probed";
}

// It acknowledged writes, with the receipts of a replica that was not held, which its successor lacked.
TEST_F(SemiSynchronousGroupTest, AReplacedPrimaryThatReturnsWhileAnOrderIsUnderWayIsDemoted) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  promotions_fail_ = true;
  promotions_take_ = milliseconds(1500);
  while (promoted_.empty()) {
    run(kTickInterval, 4);
  }
  databases_["a"].reachable = true;
  run(3 * kTickInterval);
  EXPECT_FALSE(databases_["a"].primary);
  ASSERT_EQ(demoted_to_.size(), 1U);
  EXPECT_EQ(demoted_to_.front(), databases_["a"].term + 1) << "a late order must spare whoever leads later";
}

TEST_F(SemiSynchronousGroupTest, TheCandidateOfAnOrderIsNotDemoted) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  databases_["b"].received = {1, 60};
  promotions_fail_ = true;
  promotions_take_ = milliseconds(1500);
  while (promoted_.empty()) {
    run(kTickInterval, 4);
  }
  databases_["b"].primary = true;  // The order takes effect before its answer comes.
  run(milliseconds(1000));
  EXPECT_TRUE(databases_["b"].primary);
}

TEST_F(SemiSynchronousGroupTest, NoPrimaryIsOrderedOrCommittedWhileADaemonMayUseTheOldOne) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  revision_applied_ = false;
  run(milliseconds(3000), 4);
  EXPECT_EQ(primary(), "") << "a daemon may still read at the old primary";
  EXPECT_TRUE(promoted_.empty()) << "a daemon may still pass on what the old primary acknowledges";
  revision_applied_ = true;
  run(milliseconds(500), 4);
  EXPECT_NE(primary(), "");
}

TEST_F(SemiSynchronousGroupTest, ReplicaIsNotPromotedWhileTheOtherIsUnfenced) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  databases_["c"].reachable = false;
  run(milliseconds(5000), 4);
  EXPECT_TRUE(promoted_.empty()) << "the other replica may hold the only copy of an acknowledged write";
  databases_["c"].reachable = true;
  run(milliseconds(2000), 4);
  EXPECT_NE(primary(), "a");
  EXPECT_FALSE(promoted_.empty());
}

TEST_F(SemiSynchronousGroupTest, PrimaryUnreachableForSomeDaemonsAndTheLeaderIsReplaced) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  run(milliseconds(3000), 1);
  EXPECT_NE(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, PrimaryUnreachableForSomeDaemonsOnlyIsNotReplaced) {
  run(milliseconds(500));
  run(milliseconds(3000), 2);
  EXPECT_EQ(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, PrimaryWithoutReplicaAcknowledgementsIsReplaced) {
  run(milliseconds(500));
  databases_["a"].received = {1, 70};
  run(milliseconds(3000), 3, protocol::Suspicion::kReplicationStalled);
  EXPECT_NE(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, OneStallReportSufficesWhenReplicaAcknowledgementsAreMissing) {
  run(milliseconds(500));
  databases_["a"].received = {1, 70};
  run(milliseconds(3000), 1, protocol::Suspicion::kReplicationStalled);
  EXPECT_NE(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, StallReportBeforeANewLeadersFirstProbeAnswerDoesNotCrash) {
  // A new control leader dereferenced the missing status of a primary that it had never reached (signal 11).
  run(milliseconds(500));
  coordinator_.on_leadership(now_, false);
  coordinator_.on_leadership(now_, true);
  databases_["a"].reachable = false;
  run(milliseconds(1000), 1, protocol::Suspicion::kReplicationStalled);
  EXPECT_EQ(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, StallThatTheLeaderDoesNotConfirmIsIgnored) {
  run(milliseconds(500));
  run(milliseconds(3000), 2, protocol::Suspicion::kReplicationStalled);
  EXPECT_EQ(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, LeavingPrimaryIsReplacedWithoutNoticePeriod) {
  run(milliseconds(500));
  group_.databases[0].draining = true;
  commit();
  run(milliseconds(1500));
  EXPECT_NE(primary(), "a");
  EXPECT_NE(primary(), "");
}

TEST_F(SemiSynchronousGroupTest, DepartedReplicaIsNotRemovedUntilAnotherHasCaughtUp) {
  run(milliseconds(500));
  databases_["a"].received = {1, 80};
  databases_["b"].received = {1, 60};
  databases_["c"].reachable = false;
  group_.databases[2].departed = true;
  commit();
  run(milliseconds(3000));
  EXPECT_EQ(group_.databases.size(), 3U) << "its log may hold the only copy of an acknowledged write";
  databases_["b"].received = {1, 80};
  run(milliseconds(1000));
  EXPECT_EQ(group_.databases.size(), 2U);
}

// Acknowledged writes were lost: a replica that had started again without its log was fenced, taken for a
// holder of all that it had acknowledged before, and another one that lacked it was promoted.
TEST_F(SemiSynchronousGroupTest, ADeadPrimaryIsAwaitedWhileTheReplicaThatHadItsWritesHasLostItsLog) {
  run(milliseconds(500));
  databases_["a"].received = {1, 90};
  start_again("b", {});
  databases_["a"].reachable = false;
  run(milliseconds(5000), 4);
  EXPECT_TRUE(promoted_.empty()) << "writes that only the lost log and the primary had would be gone";
  databases_["a"].reachable = true;
  run(milliseconds(3000), 4);
  EXPECT_EQ(primary(), "a") << "the only log with every acknowledged write";
}

TEST_F(SemiSynchronousGroupTest, AReplicaThatStartedAgainCountsOnceItHasCaughtUp) {
  run(milliseconds(500));
  databases_["a"].received = {1, 90};
  start_again("b", {});
  run(milliseconds(2000));
  EXPECT_TRUE(member("b").log_unproven);
  databases_["b"].received = {1, 90};
  run(milliseconds(2000));
  EXPECT_FALSE(member("b").log_unproven);
  databases_["a"].reachable = false;
  run(milliseconds(3000), 4);
  EXPECT_EQ(primary(), "b");
}

TEST_F(SemiSynchronousGroupTest, AnswersOfAnEarlierLifeProveNoLog) {
  run(milliseconds(500));
  start_again("b", {1, 50});  // As an answer under way at the end of the earlier life shows it.
  run(milliseconds(300));
  EXPECT_TRUE(member("b").log_unproven);
  databases_["b"].received = {};
  run(milliseconds(2000));
  EXPECT_TRUE(member("b").log_unproven);
}

TEST_F(SemiSynchronousGroupTest, APrimaryBackWithoutItsLogIsReplacedByTheReplicaWithEverything) {
  run(milliseconds(500));
  databases_["b"].received = {1, 40};
  databases_["c"].received = {1, 90};
  databases_["c"].reachable = false;
  start_again("a", {});
  run(milliseconds(3000), 4, protocol::Suspicion::kNotPrimary);
  EXPECT_TRUE(promoted_.empty()) << "the replica that does not answer may have everything";
  databases_["c"].reachable = true;
  run(milliseconds(3000), 4, protocol::Suspicion::kNotPrimary);
  EXPECT_EQ(primary(), "c");
}

TEST_F(SemiSynchronousGroupTest, APrimaryBackWithItsLogLeadsOnAndProvesTheOthers) {
  run(milliseconds(500));
  databases_["a"].received = {1, 90};
  start_again("a", {1, 90});
  start_again("b", {1, 90});
  databases_["a"].primary = true;
  run(milliseconds(3000));
  EXPECT_EQ(primary(), "a");
  EXPECT_FALSE(member("a").log_unproven);
  EXPECT_FALSE(member("b").log_unproven);
}

// The order may still take effect, and the new primary's writes would be lost with it.
TEST_F(SemiSynchronousGroupTest, ACandidateThatStartsAgainIsNotOrderedTwiceAndItsOrderGetsItsTime) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  databases_["b"].received = {1, 60};
  promotions_fail_ = true;
  promotions_take_ = milliseconds(1500);
  run(milliseconds(1000), 4);
  ASSERT_EQ(promoted_, std::vector<std::string>{"b"});
  start_again("b", {});
  databases_["a"].reachable = true;
  databases_["a"].received = {1, 60};
  const core::Term term = group_.terms.back().term;
  run(milliseconds(300));
  EXPECT_EQ(group_.terms.back().term, term) << "the order is still under way";
  promotions_fail_ = false;
  run(milliseconds(5000));
  EXPECT_EQ(promoted_, (std::vector<std::string>{"b", "a"}));
  EXPECT_EQ(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, NoDatabaseIsFencedWhileAPromotionThatAnEarlierLeaderOrderedMayTakeEffect) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  promotions_fail_ = true;
  promotions_take_ = milliseconds(5000);
  run(milliseconds(1000), 4);
  ASSERT_EQ(promoted_, std::vector<std::string>{"b"});
  coordinator_.on_leadership(now_, false);
  (void)coordinator_.take_effects();
  coordinator_.on_leadership(now_, true);
  failing_.reset();
  promotions_fail_ = false;
  const std::size_t fences_before = fences_;
  run(kOrderTakesEffectWithin - kTickInterval);
  EXPECT_EQ(fences_, fences_before);
  databases_["b"].primary = true;
  databases_["b"].received = {2, 51};
  run(milliseconds(2000));
  EXPECT_EQ(primary(), "b") << "which holds what it acknowledged since";
}

TEST_F(SemiSynchronousGroupTest, ALeavingPrimaryIsReplacedThoughTwoReplicasAreGoneForGood) {
  run(milliseconds(500));
  databases_["b"].reachable = false;
  databases_["c"].reachable = false;
  protocol::Database newcomer = member("a");
  newcomer.id = core::DatabaseId("d");
  newcomer.endpoint.port = 7009;
  group_.databases.push_back(newcomer);
  member("a").draining = true;
  commit();
  run(milliseconds(3000));
  EXPECT_EQ(primary(), "d");
}

TEST_F(SemiSynchronousGroupTest, ALeavingPrimaryLeadsOnIfItsOnlySuccessorLacksItsLastWrite) {
  run(milliseconds(500));
  databases_["a"].received = {1, 51};
  databases_["b"].reachable = false;
  member("a").draining = true;
  commit();
  run(milliseconds(1000));
  databases_["c"].reachable = false;
  run(milliseconds(2000));
  EXPECT_EQ(primary(), "a");
}

TEST_F(SemiSynchronousGroupTest, AChangeWhosePromotedDatabaseIsReplacedBeforeItIsCommittedEnds) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  databases_["b"].received = {1, 60};
  daemon_joins_at_order_ = true;
  run(milliseconds(1000), 4);
  ASSERT_EQ(promoted_, std::vector<std::string>{"b"});
  ASSERT_EQ(primary(), "");
  databases_["b"].reachable = false;
  databases_["d"].received = {1, 60};
  member("b").id = core::DatabaseId("d");
  commit();
  daemon_joins_at_order_ = false;
  revision_applied_ = true;
  run(milliseconds(5000));
  EXPECT_EQ(primary(), "d");
}

TEST_F(SemiSynchronousGroupTest, NoReplicaIsRemovedOnTheWordOfAPrimaryWithoutItsLog) {
  run(milliseconds(500));
  databases_["b"].received = {1, 60};
  databases_["c"].received = {1, 80};
  databases_["c"].reachable = false;
  member("c").departed = true;
  start_again("a", {});
  databases_["a"].primary = true;
  run(milliseconds(3000));
  EXPECT_EQ(group_.databases.size(), 3U) << "its log may hold the only copy of an acknowledged write";
}

}  // namespace
}  // namespace pipitpond::failover
