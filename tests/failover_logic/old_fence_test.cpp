// What a fence is worth in a semi-synchronous group once its database may have begun another life.
#include <gtest/gtest.h>

#include "failover_logic/semi_synchronous_group.hpp"

namespace pipitpond::failover {
namespace {

using std::chrono::milliseconds;

/// Replica b is fenced; the change waits for c.
class OldFenceTest : public SemiSynchronousGroupTest {
 protected:
  OldFenceTest() {
    run(milliseconds(500));
    databases_["a"].reachable = false;
    databases_["a"].received = {1, 60};
    databases_["b"].received = {1, 60};
    suspect("a", 4, protocol::Suspicion::kUnreachable);
    while (group_.terms.back().term == 1) {
      run(kTickInterval, 4);
    }
    databases_["c"].reachable = false;
    run(milliseconds(1000));
  }
};

TEST_F(OldFenceTest, ADatabaseThatStartedAgainEmptyIsNotChosenByItsOldFence) {
  databases_["b"].received = {};  // Its first heartbeat has not come yet.
  databases_["c"].reachable = true;
  run(milliseconds(2000));
  EXPECT_EQ(promoted_, std::vector<std::string>{}) << "the others lack writes that the lost log had";
  databases_["a"].reachable = true;
  run(milliseconds(3000));
  EXPECT_EQ(primary(), "a");
}

TEST_F(OldFenceTest, ADatabaseThatAnswersNoMoreIsNotChosenByItsOldFence) {
  databases_["b"].reachable = false;
  databases_["c"].reachable = true;
  run(milliseconds(2000));
  EXPECT_EQ(promoted_, std::vector<std::string>{});
  databases_["b"].reachable = true;
  run(milliseconds(1000));
  EXPECT_EQ(primary(), "b");
}

TEST_F(OldFenceTest, AReplicaThatReceivedMoreAfterItsHoldWasForgottenIsChosenByWhatItHasNow) {
  databases_["b"].received = {1, 80};
  databases_["c"].received = {1, 70};
  databases_["c"].reachable = true;
  run(milliseconds(1000));
  EXPECT_EQ(promoted_, std::vector<std::string>{"b"});
}

// The change waited for ever for the fence of a database that had been replaced meanwhile.
TEST_F(OldFenceTest, ADatabaseThatIsNoMemberAnyMoreIsNotAwaited) {
  protocol::Database& replaced = group_.databases.at(1);
  replaced.id = core::DatabaseId("d");
  replaced.born = ++births_;
  databases_["d"].received = {1, 60};
  commit();
  databases_["c"].reachable = true;
  run(milliseconds(2000));
  EXPECT_EQ(primary(), "d");
}

// Acknowledged writes were lost: a replica that had started again after its fence gave receipts while daemons
// still passed them on, and its fence's answer was taken for all that it had.
TEST_F(SemiSynchronousGroupTest, ThePrimaryIsChosenByFencesThatWereSentOnceNoDaemonPassesAcknowledgementsOn) {
  run(milliseconds(500));
  revision_applied_ = false;
  databases_["a"].reachable = false;
  databases_["b"].received = {1, 60};
  run(milliseconds(200), 4);
  ASSERT_TRUE(promoted_.empty());
  databases_["c"].received = {1, 70};  // Its hold was forgotten, unseen by control.
  revision_applied_ = true;
  run(milliseconds(500), 4);
  EXPECT_EQ(promoted_, std::vector<std::string>{"c"});
}

TEST_F(SemiSynchronousGroupTest, FencesThatAnswerTogetherAreNotRepeated) {
  run(milliseconds(500));
  databases_["a"].primary = false;
  run(milliseconds(1000), 4, protocol::Suspicion::kNotPrimary);
  EXPECT_NE(primary(), "a");
  EXPECT_EQ(fences_, group_.databases.size());
}

}  // namespace
}  // namespace pipitpond::failover
