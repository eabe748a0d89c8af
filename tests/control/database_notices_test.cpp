#include "control/database_notices.hpp"

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "run_coroutine.hpp"

namespace pipitpond::control {
namespace {

using configuration::ChangeDatabases;
using configuration::CommandResult;
using configuration::DepartDatabase;
using configuration::RegisterDatabase;
using Taken = std::optional<core::Result<void>>;

constexpr core::Duration kInterval = std::chrono::milliseconds(1);

RegisterDatabase registration(int number, bool draining = false) {
  RegisterDatabase made;
  made.group = core::GroupName("plates");
  made.database.id = core::DatabaseId("i-" + std::to_string(number));
  made.database.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(number)};
  made.database.draining = draining;
  return made;
}

/// Proposals end when the test says so.
class DatabaseNoticesTest : public testing::Test {
 protected:
  boost::asio::awaitable<core::Result<CommandResult>> propose(ChangeDatabases changes) {
    proposals_.push_back(std::move(changes));
    const std::size_t number = proposals_.size();
    boost::asio::steady_timer timer(io_);
    while (decided_ < number) {
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    if (fail_) {
      co_return core::fail(core::ErrorKind::kNotLeader, "No leader.", "Ask another one.");
    }
    CommandResult result;
    result.changed = true;
    result.refused = refused_;
    co_return result;
  }

  std::shared_ptr<Taken> take(DatabaseNotice notice, core::Duration timeout = kTestLimit) {
    auto taken = std::make_shared<Taken>();
    boost::asio::co_spawn(io_, keep(std::move(notice), timeout, taken), boost::asio::detached);
    return taken;
  }

  boost::asio::awaitable<void> keep(DatabaseNotice notice, core::Duration timeout,
                                    std::shared_ptr<Taken> taken) {
    taken->emplace(co_await notices_.take(std::move(notice), timeout));
  }

  bool wait_for(const std::shared_ptr<Taken>& taken) {
    return run_until(io_, [&] { return taken->has_value(); });
  }

  bool wait_for_proposals(std::size_t count) {
    return run_until(io_, [this, count] { return proposals_.size() >= count; });
  }

  void let_all_start() {
    for (int turns = 0; turns < 10; ++turns) {
      io_.restart();
      io_.poll();
    }
  }

  boost::asio::io_context io_;
  std::vector<ChangeDatabases> proposals_;
  std::vector<configuration::RefusedDatabase> refused_;
  std::size_t decided_ = 0;
  bool fail_ = false;
  DatabaseNotices notices_{io_, [this](ChangeDatabases changes) { return propose(std::move(changes)); },
                           kInterval};
};

TEST_F(DatabaseNoticesTest, AllThatComeDuringAProposalAreProposedTogetherInOrderOfArrival) {
  take(registration(1));
  ASSERT_TRUE(wait_for_proposals(1));
  std::vector<std::shared_ptr<Taken>> taken;
  for (int number = 400; number >= 2; --number) {
    taken.push_back(take(registration(number)));
  }
  let_all_start();
  decided_ = 2;
  for (const auto& one : taken) {
    ASSERT_TRUE(wait_for(one));
    EXPECT_TRUE(one->value());
  }
  ASSERT_EQ(proposals_.size(), 2U);
  ASSERT_EQ(proposals_.at(1).registrations.size(), 399U);
  EXPECT_EQ(proposals_.at(1).registrations.front(), registration(400));
}

TEST_F(DatabaseNoticesTest, AResentNoticeJoinsTheOneInProgress) {
  const auto first = take(registration(1));
  ASSERT_TRUE(wait_for_proposals(1));
  const auto second = take(registration(1));
  let_all_start();
  EXPECT_EQ(notices_.count_waiting(), 0U);
  decided_ = 1;
  ASSERT_TRUE(wait_for(first));
  ASSERT_TRUE(wait_for(second));
  EXPECT_TRUE(second->value());
  EXPECT_EQ(proposals_.size(), 1U);
}

TEST_F(DatabaseNoticesTest, OnlyTheNewestCallsOfADatabaseAreHeld) {
  std::vector<std::shared_ptr<Taken>> calls;
  for (std::size_t number = 0; number < kMaxCallsOfADatabase + 2; ++number) {
    calls.push_back(take(registration(1)));
    let_all_start();
  }
  EXPECT_TRUE(calls.at(0)->has_value());
  EXPECT_TRUE(calls.at(1)->has_value());
  EXPECT_FALSE(calls.at(2)->has_value());
  decided_ = 1;
  ASSERT_TRUE(wait_for(calls.back()));
  EXPECT_TRUE(calls.back()->value());
}

TEST_F(DatabaseNoticesTest, ANoticeIsProposedAlthoughItsCallerHasGone) {
  take(registration(1));
  ASSERT_TRUE(wait_for_proposals(1));
  const auto gone = take(registration(2), std::chrono::milliseconds(5));
  ASSERT_TRUE(wait_for(gone));
  EXPECT_EQ(gone->value().error().kind, core::ErrorKind::kTimeout);
  decided_ = 2;
  ASSERT_TRUE(wait_for_proposals(2));
  EXPECT_EQ(proposals_.at(1).registrations.at(0), registration(2));
}

TEST_F(DatabaseNoticesTest, OneRefusedLeavesTheOthers) {
  refused_.push_back({core::DatabaseId("i-1"), core::Error{core::ErrorKind::kConflict, "No.", "Don't.", 0}});
  const auto refused = take(registration(1));
  const auto accepted = take(registration(2));
  decided_ = 2;
  ASSERT_TRUE(wait_for(refused));
  ASSERT_TRUE(wait_for(accepted));
  EXPECT_EQ(refused->value().error().kind, core::ErrorKind::kConflict);
  EXPECT_TRUE(accepted->value());
}

TEST_F(DatabaseNoticesTest, WaitingDrainingAndDeparturesAreNotTakenBackByALaterHeartbeat) {
  take(registration(9));
  ASSERT_TRUE(wait_for_proposals(1));
  take(registration(1, true));
  take(registration(1, false));
  take(DepartDatabase{core::DatabaseId("i-2")});
  take(registration(2));
  let_all_start();
  decided_ = 2;
  ASSERT_TRUE(wait_for_proposals(2));
  ASSERT_EQ(proposals_.at(1).registrations.size(), 1U);
  EXPECT_TRUE(proposals_.at(1).registrations.at(0).database.draining);
  ASSERT_EQ(proposals_.at(1).departures.size(), 1U);
}

TEST_F(DatabaseNoticesTest, WhatSurelyComesTooLateIsAnsweredAtOnceAndProposedAllTheSame) {
  const auto first = take(registration(1));
  ASSERT_TRUE(wait_for_proposals(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  decided_ = 1;
  ASSERT_TRUE(wait_for(first));
  take(registration(2));
  ASSERT_TRUE(wait_for_proposals(2));
  const auto shed = take(registration(3), std::chrono::milliseconds(10));
  let_all_start();
  ASSERT_TRUE(shed->has_value()) << "the last proposal took 50 ms";
  EXPECT_EQ(shed->value().error().kind, core::ErrorKind::kOverloaded);
  decided_ = 3;
  ASSERT_TRUE(wait_for_proposals(3));
  EXPECT_EQ(proposals_.at(2).registrations.at(0), registration(3));
}

TEST_F(DatabaseNoticesTest, TheLineIsBounded) {
  take(registration(0));
  ASSERT_TRUE(wait_for_proposals(1));
  for (std::size_t number = 1; number <= kMaxWaitingNotices; ++number) {
    take(registration(static_cast<int>(number)));
  }
  const auto over = take(registration(static_cast<int>(kMaxWaitingNotices) + 1));
  ASSERT_TRUE(wait_for(over));
  EXPECT_EQ(over->value().error().kind, core::ErrorKind::kOverloaded);
  EXPECT_EQ(notices_.count_waiting(), kMaxWaitingNotices);
}

TEST_F(DatabaseNoticesTest, AFollowersBatchIsAnsweredWithItsRefusals) {
  refused_.push_back({core::DatabaseId("i-1"), core::Error{core::ErrorKind::kConflict, "No.", "Don't.", 0}});
  decided_ = 3;
  ChangeDatabases batch;
  batch.registrations = {registration(1), registration(2)};
  batch.departures = {DepartDatabase{core::DatabaseId("i-3")}};
  const auto result = run(io_, notices_.take_all(batch, kTestLimit));
  ASSERT_TRUE(result);
  ASSERT_EQ(result.value().refused.size(), 1U);
  EXPECT_EQ(result.value().refused.at(0).database, core::DatabaseId("i-1"));
}

TEST_F(DatabaseNoticesTest, CallersLearnOfAFailedProposal) {
  fail_ = true;
  decided_ = 1;
  const auto failed = take(registration(1));
  ASSERT_TRUE(wait_for(failed));
  EXPECT_EQ(failed->value().error().kind, core::ErrorKind::kNotLeader);
}

}  // namespace
}  // namespace pipitpond::control
