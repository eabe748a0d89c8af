// Faults brought about on a whole fleet, and whether the logs alone tell the true cause of a failed request.
#include "explain/explanation.hpp"

#include <gtest/gtest.h>

#include <fstream>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using explain::Cause;
using std::chrono::milliseconds;

class ExplainFleetTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(fleet_.become_ready()); }

  platform_stage::Database& primary() { return *fleet_.service().primary(); }

  /// The primary is the first of three.
  void darken_replicas(bool dark) {
    for (const std::size_t replica : {1U, 2U}) {
      fleet_.service().database(replica).set_dark(dark);
    }
  }

  /// The explanation of the caller's last query.
  explain::Explanation explain_last(const Caller& caller) {
    fleet_.pause(milliseconds(1500));
    std::vector<explain::LogRecord> records;
    for (const auto& file : fleet_.logs()) {
      std::ifstream lines(file);
      for (std::string line; std::getline(lines, line);) {
        if (auto record = explain::parse_line(line)) {
          records.push_back(std::move(*record));
        }
      }
    }
    return explain::explain(records, caller.last_request());
  }

  PlatformFleet fleet_;
};

TEST_F(ExplainFleetTest, AWriteWhoseAnswerWasLost) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  primary().lose_answers(1);
  ASSERT_TRUE(session->query("WRITE lost x").error.starts_with("UNSURE"));
  const explain::Explanation found = explain_last(*session);
  EXPECT_EQ(found.cause, Cause::kAnswerLost) << explain::to_text(found);
}

TEST_F(ExplainFleetTest, AWriteAtAPrimaryWithoutReceipts) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  primary().set_cut_off(true);
  const Answer answer = session->query("WRITE stalled x");
  ASSERT_FALSE(answer.ok());
  const explain::Explanation found = explain_last(*session);
  EXPECT_EQ(found.cause, Cause::kReplicationStalled) << explain::to_text(found);
}

TEST_F(ExplainFleetTest, AWriteAtAPrimaryThatFellSilent) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  primary().set_dark(true);
  const Answer answer = session->query("WRITE dark x");
  ASSERT_FALSE(answer.ok());
  const explain::Explanation found = explain_last(*session);
  EXPECT_EQ(found.cause, Cause::kDatabaseUnreachable) << explain::to_text(found);
}

TEST_F(ExplainFleetTest, AReadWhileControlIsAway) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  for (std::size_t number = 0; number < 3; ++number) {
    fleet_.control(number).signal(SIGSTOP);
  }
  // Without its replicas the primary can't be shown to be one by the databases either.
  darken_replicas(true);
  fleet_.pause(milliseconds(2200));
  const Answer answer = session->query("READ a");
  darken_replicas(false);
  for (std::size_t number = 0; number < 3; ++number) {
    fleet_.control(number).signal(SIGCONT);
  }
  ASSERT_TRUE(answer.error.starts_with("BUSY")) << answer.error;
  const explain::Explanation found = explain_last(*session);
  EXPECT_EQ(found.cause, Cause::kNoLease) << explain::to_text(found);
}

TEST_F(ExplainFleetTest, ARefusalDuringAChangeOfPrimary) {
  // Without a second replica in reach the change is begun but takes its time.
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  fleet_.service().set_promotion(milliseconds(2500));
  primary().crash();
  Answer answer;
  ASSERT_TRUE(fleet_.wait([&] {
    answer = session->query("WRITE during x");
    return answer.error.starts_with("BUSY") && answer.error.find("no database") != std::string::npos;
  }));
  fleet_.pause(milliseconds(2500));
  const explain::Explanation found = explain_last(*session);
  EXPECT_EQ(found.cause, Cause::kPrimaryChange) << explain::to_text(found);
}

TEST_F(ExplainFleetTest, AReadThatAllDatabasesFail) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  primary().fail_statements(10);
  const Answer answer = session->query("READ a");
  primary().fail_statements(0);
  ASSERT_FALSE(answer.ok());
  const explain::Explanation found = explain_last(*session);
  EXPECT_EQ(found.cause, Cause::kDatabaseFailed) << explain::to_text(found);
}

}  // namespace
}  // namespace pipitpond::platform
