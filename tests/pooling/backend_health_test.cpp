#include "pooling/backend_health.hpp"

#include <gtest/gtest.h>

namespace pipitpond::pooling {
namespace {

using protocol::Suspicion;
using std::chrono::milliseconds;

class BackendHealthTest : public ::testing::Test {
 protected:
  void pass(int millis) { now_ += milliseconds(millis); }

  core::Instant now_ = core::Instant(std::chrono::hours(1));
  BackendHealth health_;
};

TEST_F(BackendHealthTest, ADatabaseThatAnswersIsNeverProbed) {
  for (int number = 0; number < 20; ++number) {
    const BatchNumber batch = health_.on_sent(now_, false);
    pass(50);
    EXPECT_FALSE(health_.take_probe(now_));
    health_.on_answered(now_, batch);
  }
  EXPECT_TRUE(health_.usable());
}

TEST_F(BackendHealthTest, AnIdleDatabaseIsNotSuspected) {
  pass(60'000);
  EXPECT_FALSE(health_.take_probe(now_));
}

TEST_F(BackendHealthTest, SilenceAndAFailedProbeMakeItUnreachable) {
  health_.on_sent(now_, false);
  pass(310);
  ASSERT_TRUE(health_.take_probe(now_));
  pass(250);
  health_.on_probe_result(now_, false, false);
  EXPECT_FALSE(health_.usable());
  EXPECT_EQ(health_.suspicion(now_, false), Suspicion::kUnreachable);
}

TEST_F(BackendHealthTest, OneLostConnectionDoesNotMakeItUnreachable) {
  const BatchNumber batch = health_.on_sent(now_, false);
  health_.on_abandoned(now_, batch, true);
  ASSERT_TRUE(health_.take_probe(now_));
  health_.on_probe_result(now_, true, false);
  EXPECT_TRUE(health_.usable());
  EXPECT_FALSE(health_.suspicion(now_, true));
}

TEST_F(BackendHealthTest, ARefusedProbeAfterALostConnectionMakesItUnreachable) {
  const BatchNumber batch = health_.on_sent(now_, false);
  health_.on_abandoned(now_, batch, true);
  ASSERT_TRUE(health_.take_probe(now_));
  health_.on_probe_result(now_, false, true);
  EXPECT_FALSE(health_.usable());
}

TEST_F(BackendHealthTest, ANewConnectionMakesItUsableAgain) {
  health_.on_connect_failed(now_);
  ASSERT_TRUE(health_.take_probe(now_));
  health_.on_probe_result(now_, false, true);
  ASSERT_FALSE(health_.usable());
  health_.on_connected(now_);
  EXPECT_TRUE(health_.usable());
}

TEST_F(BackendHealthTest, AnUnansweredWriteWhileReadsAreAnsweredSuspectsStalledReplication) {
  health_.on_sent(now_, true);
  pass(450);
  health_.on_answered(now_, health_.on_sent(now_, false));
  EXPECT_FALSE(health_.suspicion(now_, true));
  pass(60);
  EXPECT_EQ(health_.suspicion(now_, true), Suspicion::kReplicationStalled);
  EXPECT_FALSE(health_.suspicion(now_, false)) << "a replica waits for no acknowledgement";
}

TEST_F(BackendHealthTest, StalledReplicationIsSuspectedUntilAWriteIsAnswered) {
  const BatchNumber write = health_.on_sent(now_, true);
  pass(800);
  health_.on_abandoned(now_, write, false);
  EXPECT_EQ(health_.suspicion(now_, true), Suspicion::kReplicationStalled);
  health_.on_answered(now_, health_.on_sent(now_, true));
  EXPECT_FALSE(health_.suspicion(now_, true));
}

TEST_F(BackendHealthTest, ANewTermClearsTheSuspicionOfThePrimary) {
  health_.on_refused_write();
  EXPECT_EQ(health_.suspicion(now_, true), Suspicion::kNotPrimary);
  health_.on_new_term();
  EXPECT_FALSE(health_.suspicion(now_, true));
}

}  // namespace
}  // namespace pipitpond::pooling
