// The account of a day's losses, from lines as daemons write them.
#include "explain/day_account.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <random>

namespace pipitpond::explain {
namespace {

class DayAccountTest : public ::testing::Test {
 protected:
  /// A line of second `second` of an hour.
  void line(int second, const std::string& process, const std::string& rest) {
    const std::string time = fmt::format("2026-12-02T06:{:02}:{:02}.000Z", second / 60, second % 60);
    const auto record = parse_line(time + " info process=" + process + " " + rest);
    ASSERT_TRUE(record) << rest;
    account_.add(*record);
  }
  void outcome(int second, const std::string& request, const std::string& rest) {
    line(second, "p1", "requests: event=outcome request=" + request + " route=r group=g " + rest);
  }
  [[nodiscard]] std::uint64_t lost(int second, LossCause cause) const {
    const LogTime begin = LogTime(std::chrono::sys_days(std::chrono::year(2026) / 12 / 2)) +
                          std::chrono::hours(6) + std::chrono::seconds(second);
    const auto found = account_.windows().find(begin);
    return found == account_.windows().end() ? 0 : found->second.lost.at(static_cast<std::size_t>(cause));
  }

  DayAccount account_;
};

TEST_F(DayAccountTest, ARefusalForTheQuotaNamesItsTenant) {
  line(4, "p1", "access: event=refused request=a tenant=t1 reason=over_quota proof_age_ms=3 retry_in_ms=1");
  outcome(4, "a", "outcome=over_quota reason=retry_in_1_ms:_the_tenant_has_used_up_its_quota");
  EXPECT_EQ(lost(4, LossCause::kQuota), 1U);
  EXPECT_EQ(account_.windows().begin()->second.tenants.at("t1"), 1U);
}

TEST_F(DayAccountTest, ALateAnswerIsPutDownToWhatDelayedIt) {
  line(4, "p1", "requests: event=not_run request=a group=g database=d detail=behind");
  outcome(4, "a", "outcome=late reason=-");
  line(4, "p1", "requests: event=sent request=b group=g database=d detail=primary");
  outcome(4, "b", "outcome=late reason=-");
  line(4, "p1",
       "requests: event=lost request=c group=g database=d "
       "detail=No_connection_to_the_database_came_free_in_time.");
  outcome(4, "c", "outcome=late reason=-");
  EXPECT_EQ(lost(4, LossCause::kReplicaBehind), 1U);
  EXPECT_EQ(lost(4, LossCause::kSlowAnswer), 1U);
  EXPECT_EQ(lost(4, LossCause::kNoRoom), 1U);
}

TEST_F(DayAccountTest, AFailureSaysWhatItWasGivenUpFor) {
  line(4, "p1", "requests: event=not_run request=a group=g database=d detail=behind");
  outcome(4, "a", "outcome=busy reason=retry_in_100_ms:_the_primary_is_not_certain");
  EXPECT_EQ(lost(4, LossCause::kPrimaryUnknown), 1U);
  EXPECT_EQ(lost(4, LossCause::kReplicaBehind), 0U);
}

TEST_F(DayAccountTest, RequestsOfDifferentProcessesAreNotMixed) {
  line(4, "p2", "requests: event=not_run request=a group=g database=d detail=behind");
  outcome(4, "a", "outcome=late reason=-");
  EXPECT_EQ(lost(4, LossCause::kSlowAnswer), 1U);
}

TEST_F(DayAccountTest, WhatNoLineNamesIsALineOfItsOwn) {
  outcome(4, "a", "outcome=busy reason=words_of_another_version");
  EXPECT_EQ(lost(4, LossCause::kUnknown), 1U);
  EXPECT_NE(to_text(account_, 1).find("unknown"), std::string::npos);
}

TEST_F(DayAccountTest, ItAddsUpAndShowsTheWorstWindowFirst) {
  std::mt19937 random(7);
  constexpr int kStatements = 5'000;
  const char* outcomes[] = {"late", "busy", "over_quota", "unsure", "denied", "failed", "word"};
  for (int number = 0; number < kStatements; ++number) {
    const int second = static_cast<int>(random() % 60);
    outcome(second, std::to_string(number), std::string("outcome=") + outcomes[random() % 7] + " reason=-");
  }
  std::uint64_t total = 0;
  std::uint64_t most = 0;
  for (const auto& [begin, window] : account_.windows()) {
    total += window.total();
    most = std::max(most, window.total());
  }
  EXPECT_EQ(total, static_cast<std::uint64_t>(kStatements));
  EXPECT_NE(to_text(account_, 1).find("lost " + std::to_string(most)), std::string::npos);
}

TEST_F(DayAccountTest, WhatItFollowsAndNamesIsBounded) {
  for (std::size_t number = 0; number < 3 * kMostFollowed; ++number) {
    line(4, "p1",
         "requests: event=sent request=" + std::to_string(number) + " group=g database=d detail=primary");
  }
  EXPECT_GE(account_.given_up(), 2 * kMostFollowed);
  for (std::size_t number = 0; number < 2 * kMostNames; ++number) {
    outcome(8, "x" + std::to_string(number), "outcome=late tenant=t" + std::to_string(number) + " reason=-");
  }
  EXPECT_LE(account_.windows().rbegin()->second.tenants.size(), kMostNames + 1);
}

}  // namespace
}  // namespace pipitpond::explain
