// How a daemon takes operations from a tenant's home: one request per caller while operations are available,
// shared requests after the home had none left.
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

QuotaReply grant_reply(std::uint32_t operations, tenancy::TokenNumber first, std::uint32_t retry_in_ms = 0) {
  return QuotaReply{operations > 0, true, retry_in_ms, first, operations};
}

class QuotaClientTest : public ::testing::Test {
 protected:
  QuotaClientTest() : client_(io_, core::DaemonId("asking")) {
    auto server = wire::Server::start(
        io_, "127.0.0.1", 0,
        [this](wire::PeerId, wire::MessageType, std::string body) { return answer(std::move(body)); });
    server_ = std::move(server.value());
    protocol::Configuration configuration;
    protocol::Daemon daemon;
    daemon.id = kHome;
    daemon.internal = {"127.0.0.1", server_->port()};
    configuration.daemons[daemon.id] = daemon;
    client_.apply(configuration);
  }

  /// Answers with the next of `replies_`, or grants everything.
  boost::asio::awaitable<core::Result<std::string>> answer(std::string body) {
    const QuotaRequest request = wire::unpack<QuotaRequest>(body).value();
    requests_.push_back(request);
    QuotaReply reply = grant_reply(request.operations, 1);
    if (!replies_.empty()) {
      reply = replies_.front();
      replies_.pop_front();
    }
    co_await pause_for(io_, silent_ ? 2 * kQuotaTimeout : core::Duration(milliseconds(20)));
    co_return wire::pack(reply);
  }

  PendingAnswer start(std::uint32_t priority = 0) {
    return pipitpond::testing::start(
        io_, client_.take({kHome}, QuotaScope{kTenant, priority}, take_from_local_home_));
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
  /// Lets the home refuse an operation, then waits until its retry delay has passed.
  void exhaust_home() {
    constexpr std::uint32_t kRetryMillis = 5;
    replies_.push_back(grant_reply(0, 0, kRetryMillis));
    EXPECT_EQ(finish(start()).outcome, QuotaOutcome::kOverQuota);
    pipitpond::testing::run_until(
        io_, [] { return false; }, milliseconds(2 * kRetryMillis));
    requests_.clear();
  }

  boost::asio::io_context io_;
  QuotaClient client_;
  std::unique_ptr<wire::Server> server_;
  TakeFromLocalHome take_from_local_home_ = [](const QuotaScope&) { return tenancy::QuotaGrant{}; };
  std::deque<QuotaReply> replies_;
  std::vector<QuotaRequest> requests_;
  bool silent_ = false;
};

TEST_F(QuotaClientTest, WhileTheHomeHasOperationsEachCallerSendsItsOwnRequest) {
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kGranted);
  }
  ASSERT_EQ(requests_.size(), 5U);
  for (const QuotaRequest& request : requests_) {
    EXPECT_EQ(request.operations, 1U);
  }
}

TEST_F(QuotaClientTest, UntilTheRetryTimeCallersAreRefusedWithoutARequest) {
  replies_.push_back(grant_reply(0, 0, 1000));
  EXPECT_EQ(finish(start()).outcome, QuotaOutcome::kOverQuota);
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kOverQuota);
    EXPECT_GT(answer.retry_in, milliseconds(500));
  }
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(QuotaClientTest, AfterAShortageWaitingCallersShareARequest) {
  exhaust_home();
  replies_ = {grant_reply(1, 50), grant_reply(2, 100, 40)};
  const std::vector<QuotaAnswer> answers = ask_at_once(5);
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_[0].operations, 1U);
  EXPECT_EQ(requests_[1].operations, 4U);
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

TEST_F(QuotaClientTest, ARefusalAtLowPriorityDoesNotBlockAHigherPriority) {
  constexpr std::uint32_t kLowPriority = 2;
  replies_ = {grant_reply(0, 0, 1000)};
  EXPECT_EQ(finish(start(kLowPriority)).outcome, QuotaOutcome::kOverQuota);
  EXPECT_EQ(finish(start(0)).outcome, QuotaOutcome::kGranted);
  EXPECT_EQ(finish(start(kLowPriority)).outcome, QuotaOutcome::kOverQuota);
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_[0].priority, kLowPriority);
  EXPECT_EQ(requests_[1].priority, 0U);
}

TEST_F(QuotaClientTest, WaitingCallersAreRefusedWhenTheHomeHasNoneLeft) {
  exhaust_home();
  replies_ = {grant_reply(0, 0, 40)};
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kOverQuota);
  }
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(QuotaClientTest, CallersWaitingForASilentHomeAreReleased) {
  exhaust_home();
  silent_ = true;
  for (const QuotaAnswer& answer : ask_at_once(5)) {
    EXPECT_EQ(answer.outcome, QuotaOutcome::kNoHomeAvailable);
  }
  EXPECT_EQ(requests_.size(), 1U);
}

TEST_F(QuotaClientTest, AReturnedOperationIsSentOnceWithTheNextRequest) {
  replies_ = {grant_reply(1, 70)};
  const QuotaAnswer first = finish(start());
  client_.give_back(first.receipt.value());
  finish(start());
  finish(start());
  ASSERT_EQ(requests_.size(), 3U);
  ASSERT_EQ(requests_[1].given_back.size(), 1U);
  EXPECT_EQ(requests_[1].given_back[0].tenant, kTenant);
  EXPECT_EQ(requests_[1].given_back[0].number, 70U);
  EXPECT_TRUE(requests_[2].given_back.empty());
}

}  // namespace
}  // namespace pipitpond::pooling
