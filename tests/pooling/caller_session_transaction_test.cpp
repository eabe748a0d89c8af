// Transactions of a caller's session.
#include <gtest/gtest.h>

#include "pooling/caller_session.hpp"
#include "pooling/caller_session_fixture.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

TEST_F(CallerSessionTest, ATransactionKeepsItsConnection) {
  CallerSession session(services_, "writes");
  CallerSession other(services_, "writes");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  ASSERT_FALSE(run(other, example_statement(StatementKind::kRead)).failure);
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  ASSERT_FALSE(run(session, example_statement(StatementKind::kCommit, "")).failure);
  const auto& all = ran("a");
  ASSERT_EQ(all.size(), 4U);
  EXPECT_EQ(all[0].connection, all[2].connection);
  EXPECT_NE(all[0].connection, all[1].connection);
  EXPECT_EQ(session.state(), TransactionState::kIdle);
}

TEST_F(CallerSessionTest, AStatementInATransactionIsRetriedIfTheDatabaseHadNoFreeSlot) {
  // Without a retry, a primary that briefly has no free slot aborts open transactions; 227 in 6 s were seen.
  CallerSession session(services_, "writes");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  connector_.database("a").next_failures = {FailureCode::kBusy, FailureCode::kBusy};
  EXPECT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  connector_.database("a").next_failures = {FailureCode::kBusy};
  EXPECT_FALSE(run(session, example_statement(StatementKind::kCommit, "")).failure);
  EXPECT_EQ(ran("a").size(), 3U);
  EXPECT_EQ(session.state(), TransactionState::kIdle);
}

TEST_F(CallerSessionTest, AStatementInATransactionIsNotRetriedForItsWholeTimeout) {
  CallerSession session(services_, "writes");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  connector_.database("a").next_failures.assign(1000, FailureCode::kBusy);
  const core::Instant begun = core::BootClock::now();
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kBusy);
  EXPECT_LT(core::BootClock::now() - begun, milliseconds(250));
}

TEST_F(CallerSessionTest, ACommitWhoseAnswerIsLostHasAnUnknownOutcome) {
  CallerSession session(services_, "writes");
  run(session, example_statement(StatementKind::kBegin, ""));
  run(session, example_statement(StatementKind::kWrite, "thing data"));
  connector_.database("a").break_after_running = true;
  const StatementReply reply = run(session, example_statement(StatementKind::kCommit, ""));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kUnsure);
  EXPECT_EQ(session.state(), TransactionState::kIdle);
}

TEST_F(CallerSessionTest, ATransactionWhoseConnectionIsLostBeforeItsCommitIsAborted) {
  CallerSession session(services_, "writes");
  run(session, example_statement(StatementKind::kBegin, ""));
  connector_.database("a").break_after_running = true;
  const StatementReply lost = run(session, example_statement(StatementKind::kWrite, "thing data"));
  ASSERT_TRUE(lost.failure);
  EXPECT_EQ(lost.failure->code, FailureCode::kAborted);
  EXPECT_EQ(session.state(), TransactionState::kFailed);
  EXPECT_EQ(run(session, example_statement(StatementKind::kRead)).failure->code, FailureCode::kBad);
  EXPECT_EQ(run(session, example_statement(StatementKind::kCommit, "")).failure->code, FailureCode::kAborted);
  EXPECT_EQ(session.state(), TransactionState::kIdle);
}

TEST_F(CallerSessionTest, AnIdleTransactionIsAborted) {
  CallerSession session(services_, "writes");
  run(session, example_statement(StatementKind::kBegin, ""));
  session.end_transaction_if_idle(core::BootClock::now());
  EXPECT_EQ(session.state(), TransactionState::kOpen);
  session.end_transaction_if_idle(core::BootClock::now() + milliseconds(250));
  EXPECT_EQ(session.state(), TransactionState::kFailed);
  const StatementReply reply = run(session, example_statement(StatementKind::kCommit, ""));
  EXPECT_EQ(reply.failure->code, FailureCode::kAborted);
  EXPECT_EQ(backends_.pools()[0]->in_use(), 0U);
}

TEST_F(CallerSessionTest, ASessionThatEndsInATransactionClosesItsConnection) {
  {
    CallerSession session(services_, "writes");
    run(session, example_statement(StatementKind::kBegin, ""));
  }
  CallerSession next(services_, "writes");
  run(next, example_statement(StatementKind::kRead));
  EXPECT_EQ(ran("a").back().connection, 2);
}

}  // namespace
}  // namespace pipitpond::pooling
