// How a daemon asks a tenant's home: alone while there are operations, together after it had none left.
#include "pooling/quota_client.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

#include "pooling/waiting.hpp"
#include "support/coroutine.hpp"
#include "wire/codec.hpp"
#include "wire/server.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;
using PendingAnswer = std::shared_ptr<pipitpond::testing::Pending<QuotaAnswer>>;

const core::DaemonId kHome("home");
const core::TenantName kTenant("t");

QuotaReply granting(std::uint32_t operations, tenancy::TokenNumber first, std::uint32_t retry_in_ms = 0) {
  return QuotaReply{operations > 0, true, retry_in_ms, first, operations};
}

class QuotaAskerTest : public ::testing::Test {
 protected:
  QuotaAskerTest() : asker_(io_, core::DaemonId("asking")) {
    auto server = wire::Server::start(
        io_, "127.0.0.1", 0,
        [this](wire::PeerId, wire::MessageType, std::string body) { return answer(std::move(body)); });
    server_ = std::move(server.value());
    protocol::Configuration configuration;
    protocol::Daemon daemon;
    daemon.id = kHome;
    daemon.internal = {"127.0.0.1", server_->port()};
    configuration.daemons[daemon.id] = daemon;
    asker_.apply(configuration);
  }

  /// The next of the replies, or one that grants all.
  boost::asio::awaitable<core::Result<std::string>> answer(std::string body) {
    const QuotaRequest request = wire::unpack<QuotaRequest>(body).value();
    asked_.push_back(request);
    QuotaReply reply = granting(request.operations, 1);
    if (!replies_.empty()) {
      reply = replies_.front();
      replies_.pop_front();
    }
    co_await pause_for(io_, silent_ ? 2 * kQuotaTimeout : core::Duration(milliseconds(20)));
    co_return wire::pack(reply);
  }

  PendingAnswer start(std::uint32_t priority = 0) {
    return pipitpond::testing::start(io_, asker_.take({kHome}, QuotaScope{kTenant, priority}, take_own_));
  }
  QuotaAnswer finish(const PendingAnswer& pending) {
    EXPECT_TRUE(pipitpond::testing::run_until(io_, [&] { return pending->done(); }));
    return pending->value.value();
  }
  std::vector<QuotaAnswer> ask_at_once(std::size_t callers) {
    std::vector<PendingAnswer> pending;
    pending.reserve(callers);
    for (std::size_t caller = 0; caller < callers; ++caller) {
      pending.push_back(start());
    }
    std::vector<QuotaAnswer> answers;
    answers.reserve(callers);
    for (const PendingAnswer& one : pending) {
      answers.push_back(finish(one));
    }
    return answers;
  }
  /// The home has none left, and its turn has come since.
  void run_short() {
    constexpr std::uint32_t kTurnMillis = 5;
    replies_.push_back(granting(0, 0, kTurnMillis));
    EXPECT_EQ(finish(start()).outcome, QuotaOutcome::kOverQuota);
    pipitpond::testing::run_until(
        io_, [] { return false; }, milliseconds(2 * kTurnMillis));
    asked_.clear();
  }

  boost::asio::io_context io_;
  QuotaClient asker_;
  std::unique_ptr<wire::Server> server_;
  TakeFromLocalHome take_own_ = [](const QuotaScope&) { return tenancy::QuotaGrant{}; };
  std::deque<QuotaReply> replies_;
  std::vector<QuotaRequest> asked_;
  bool silent_ = false;
};

TEST_F(QuotaAskerTest, WhileTheHomeHasOperationsEachCallerAsksForItself) {
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kGranted);
  }
  ASSERT_EQ(asked_.size(), 5U);
  for (const QuotaRequest& request : asked_) {
    EXPECT_EQ(request.operations, 1U);
  }
}

TEST_F(QuotaAskerTest, UntilItsTurnADaemonAnswersWithoutAsking) {
  replies_.push_back(granting(0, 0, 1000));
  EXPECT_EQ(finish(start()).outcome, QuotaOutcome::kOverQuota);
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kOverQuota);
    EXPECT_GT(answer.retry_in, milliseconds(500));
  }
  EXPECT_EQ(asked_.size(), 1U);
}

TEST_F(QuotaAskerTest, AfterAShortageCallersThatWaitShareAQuestion) {
  run_short();
  replies_ = {granting(1, 50), granting(2, 100, 40)};
  const std::vector<QuotaAnswer> answers = ask_at_once(5);
  ASSERT_EQ(asked_.size(), 2U);
  EXPECT_EQ(asked_[0].operations, 1U);
  EXPECT_EQ(asked_[1].operations, 4U);
  std::vector<tenancy::TokenNumber> numbers;
  for (const QuotaAnswer& answer : answers) {
    if (answer.outcome == QuotaOutcome::kGranted) {
      numbers.push_back(answer.receipt.value().operation.number);
    } else {
      EXPECT_EQ(answer.retry_in, milliseconds(40));
    }
  }
  EXPECT_EQ(numbers, (std::vector<tenancy::TokenNumber>{50, 100, 101}));
}

TEST_F(QuotaAskerTest, WhatACheapCallerWasToldDoesNotHoldUpAnUrgentOne) {
  constexpr std::uint32_t kCheap = 2;
  replies_ = {granting(0, 0, 1000)};
  EXPECT_EQ(finish(start(kCheap)).outcome, QuotaOutcome::kOverQuota);
  EXPECT_EQ(finish(start(0)).outcome, QuotaOutcome::kGranted);
  EXPECT_EQ(finish(start(kCheap)).outcome, QuotaOutcome::kOverQuota);
  ASSERT_EQ(asked_.size(), 2U);
  EXPECT_EQ(asked_[0].priority, kCheap);
  EXPECT_EQ(asked_[1].priority, 0U);
}

TEST_F(QuotaAskerTest, ThoseThatWaitAreToldWhenTheHomeHasNoneLeft) {
  run_short();
  replies_ = {granting(0, 0, 40)};
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kOverQuota);
  }
  EXPECT_EQ(asked_.size(), 1U);
}

TEST_F(QuotaAskerTest, ThoseThatWaitForASilentHomeAreReleased) {
  run_short();
  silent_ = true;
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kNoHomeAvailable);
  }
  EXPECT_EQ(asked_.size(), 1U);
}

TEST_F(QuotaAskerTest, WhatIsGivenBackGoesWithTheNextQuestionOnce) {
  replies_ = {granting(1, 70)};
  const QuotaAnswer first = finish(start());
  asker_.give_back(first.receipt.value());
  finish(start());
  finish(start());
  ASSERT_EQ(asked_.size(), 3U);
  ASSERT_EQ(asked_[1].given_back.size(), 1U);
  EXPECT_EQ(asked_[1].given_back[0].tenant, kTenant);
  EXPECT_EQ(asked_[1].given_back[0].number, 70U);
  EXPECT_TRUE(asked_[2].given_back.empty());
}

}  // namespace
}  // namespace pipitpond::pooling
