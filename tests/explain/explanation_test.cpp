// Causes found from lines as daemons write them. tests/platform/explain_test brings the faults about.
#include "explain/explanation.hpp"

#include <gtest/gtest.h>

namespace pipitpond::explain {
namespace {

class ExplanationTest : public ::testing::Test {
 protected:
  /// A line of second 10 of a minute; `millis` may be more than a second.
  void line(int millis, const std::string& process, const std::string& rest) {
    char time[32];
    std::snprintf(time, sizeof(time), "2026-12-02T06:00:%02d.%03dZ", 10 + millis / 1000, millis % 1000);
    auto record = parse_line(std::string(time) + " info process=" + process + " " + rest);
    ASSERT_TRUE(record) << rest;
    records_.push_back(std::move(*record));
  }
  void step(int millis, const std::string& rest) {
    line(millis, "p1", "requests: request=r1 group=g term=1 " + rest);
  }
  void outcome(int millis, const std::string& outcome, int took) {
    step(millis, "event=outcome outcome=" + outcome + " took_ms=" + std::to_string(took));
  }
  [[nodiscard]] Cause cause() const { return explain(records_, "r1").cause; }

  std::vector<LogRecord> records_;
};

TEST_F(ExplanationTest, ARequestThatNoLineNames) {
  step(0, "event=sent database=a");
  EXPECT_EQ(explain(records_, "other").cause, Cause::kNotLogged);
}

TEST_F(ExplanationTest, ALostAnswerOfAWellDatabase) {
  step(0, "event=sent database=a");
  step(0, "event=lost database=a detail=The_connection_was_closed.");
  outcome(0, "unsure", 20);
  line(100, "p2", "backends: event=suspect database=other suspicion=unreachable");
  EXPECT_EQ(cause(), Cause::kAnswerLost);
}

TEST_F(ExplanationTest, APrimaryWithoutReceipts) {
  step(800, "event=sent database=a");
  step(800, "event=lost database=a detail=No_answer_came_in_time.");
  outcome(800, "unsure", 800);
  line(500, "p2", "backends: event=suspect database=a suspicion=replication_stalled");
  EXPECT_EQ(cause(), Cause::kReplicationStalled);
}

TEST_F(ExplanationTest, AReadLostAtOneDatabaseIsNotBlamedOnAnother) {
  // Bench, bmsac-archive trouble-3: a late read, cut off at a replica, was put down to the primary's
  // receipts.
  step(300, "event=sent database=b detail=replica");
  step(300, "event=lost database=b detail=The_connection_was_closed.");
  step(300, "event=sent database=a detail=primary");
  outcome(300, "late", 300);
  line(100, "p2", "backends: event=suspect database=a suspicion=replication_stalled");
  line(200, "p1", "backends: event=suspect database=b suspicion=unreachable");
  EXPECT_EQ(cause(), Cause::kDatabaseUnreachable);
}

TEST_F(ExplanationTest, ItsOwnProcessIsBelievedFirst) {
  step(400, "event=no_connection database=a detail=The_database_can't_be_reached.");
  step(400, "event=no_backend database=- detail=x");
  outcome(400, "busy", 320);
  line(100, "p2", "backends: event=suspect database=a suspicion=replication_stalled");
  line(150, "p1", "backends: event=suspect database=a suspicion=unreachable");
  EXPECT_EQ(cause(), Cause::kDatabaseUnreachable);
}

TEST_F(ExplanationTest, ARefusalDuringAChangeOfPrimary) {
  step(400, "event=no_backend database=- detail=x");
  outcome(400, "busy", 320);
  line(200, "c1", "failover: event=begin_change group=g replaces_term=1");
  line(900, "c1", "failover: event=complete_change group=g primary=b");
  EXPECT_EQ(cause(), Cause::kPrimaryChange);
}

TEST_F(ExplanationTest, AChangeOfAnotherGroupIsNoCause) {
  step(400, "event=no_connection database=a detail=x");
  outcome(400, "busy", 320);
  line(200, "c1", "failover: event=begin_change group=h replaces_term=1");
  line(900, "c1", "failover: event=complete_change group=h primary=b");
  EXPECT_EQ(cause(), Cause::kOverload);
}

TEST_F(ExplanationTest, AChangeThatWasOverBeforeIsNoCause) {
  line(0, "c1", "failover: event=begin_change group=g replaces_term=1");
  line(300, "c1", "failover: event=complete_change group=g primary=b");
  step(2000, "event=no_connection database=a detail=x");
  outcome(2000, "busy", 320);
  EXPECT_EQ(cause(), Cause::kOverload);
}

TEST_F(ExplanationTest, AProcessOutOfTouchWithControl) {
  line(0, "p1", "pooling: event=lease_lost revision=7");
  step(500, "event=waits database=- detail=the_primary_is_not_certain");
  outcome(500, "busy", 320);
  EXPECT_EQ(cause(), Cause::kNoLease);
}

TEST_F(ExplanationTest, LaggingReplicas) {
  step(300, "event=not_run database=b detail=behind");
  step(300, "event=sent database=a detail=primary");
  outcome(300, "late", 300);
  EXPECT_EQ(cause(), Cause::kReplicasBehind);
}

TEST_F(ExplanationTest, OtherClocksAreSetRight) {
  const auto revision = [this](int millis, const std::string& process, int number) {
    line(millis, process, "agent: event=revision_in_force revision=" + std::to_string(number));
  };
  revision(0, "p1", 4);
  revision(20000, "p2", 4);  // Its clock is 20 s ahead.
  step(800, "event=sent database=a");
  step(800, "event=lost database=a detail=No_answer_came_in_time.");
  outcome(800, "unsure", 800);
  line(20500, "p2", "backends: event=suspect database=a suspicion=unreachable");
  EXPECT_EQ(cause(), Cause::kDatabaseUnreachable);
  const std::string text = to_text(explain(records_, "r1"));
  EXPECT_NE(text.find("06:00:10.500"), std::string::npos) << text;
}

}  // namespace
}  // namespace pipitpond::explain
