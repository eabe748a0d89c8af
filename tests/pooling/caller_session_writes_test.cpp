// Which acknowledgements of writes a caller's session passes on.
#include <gtest/gtest.h>

#include "pooling/caller_session.hpp"
#include "pooling/caller_session_fixture.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::pooling {
namespace {

class CallerSessionWritesTest : public CallerSessionTest {
 protected:
  StatementReply finish(const PendingReply& pending) {
    EXPECT_TRUE(pipitpond::testing::run_until(io_, [&] { return pending->done(); }));
    return pending->value.value();
  }

  /// The position of the write that is under way.
  [[nodiscard]] core::LogPosition next_position() {
    const core::LogPosition& last = connector_.database("a").position;
    return {last.term, last.index + 1};
  }

  static FailureCode code_of(const StatementReply& reply) {
    return reply.failure ? reply.failure->code : FailureCode::kBad;
  }
};

// A write was acknowledged by a replaced primary, with the receipt of a replica that had forgotten its fence,
// and its caller was told that it was done.
TEST_F(CallerSessionWritesTest, AWriteThatIsAnsweredDuringAFailoverThatDropsItIsUnsure) {
  CallerSession session(services_, "writes");
  const core::LogPosition start = connector_.database("a").position;
  const auto pending = start_slowly(session, example_statement(StatementKind::kWrite, "thing data"));
  change_primary("");
  wait(2 * kSlowWork);
  EXPECT_FALSE(pending->done()) << "whether the write is kept is not known yet";
  change_primary("b", start);
  EXPECT_EQ(code_of(finish(pending)), FailureCode::kUnsure);
}

TEST_F(CallerSessionWritesTest, AWriteThatIsAnsweredDuringAFailoverThatKeepsItIsDone) {
  CallerSession session(services_, "writes");
  const core::LogPosition written = next_position();
  const auto pending = start_slowly(session, example_statement(StatementKind::kWrite, "thing data"));
  change_primary("");
  wait(2 * kSlowWork);
  change_primary("b", written);
  EXPECT_FALSE(finish(pending).failure);
}

// A write that no failover decides on in time ends as unsure, before its caller gives up.
TEST_F(CallerSessionWritesTest, AWriteWhoseFailoverDoesNotEndIsUnsureAtItsDeadline) {
  CallerSession session(services_, "writes");
  const auto pending = start_slowly(session, example_statement(StatementKind::kWrite, "thing data"));
  change_primary("");
  EXPECT_EQ(code_of(finish(pending)), FailureCode::kUnsure);
}

// A commit was sent to a primary that was known to be replaced, and its caller was told that it was done.
TEST_F(CallerSessionWritesTest, ACommitIsNotSentToAReplacedPrimary) {
  CallerSession session(services_, "writes");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  change_primary("");
  EXPECT_EQ(code_of(run(session, example_statement(StatementKind::kCommit, ""))), FailureCode::kAborted);
  EXPECT_EQ(ran("a").back().kind, StatementKind::kWrite);
  EXPECT_EQ(session.state(), TransactionState::kIdle);
}

// A commit that was under way as the failover began was passed on as done.
TEST_F(CallerSessionWritesTest, ACommitThatIsAnsweredDuringAFailoverThatDropsItIsUnsure) {
  CallerSession session(services_, "writes");
  const core::LogPosition start = connector_.database("a").position;
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  const auto pending = start_slowly(session, example_statement(StatementKind::kCommit, ""));
  change_primary("");
  change_primary("b", start);
  EXPECT_EQ(code_of(finish(pending)), FailureCode::kUnsure);
}

// A planned failover must cut no transaction: the leaving primary answers until its successor is named.
TEST_F(CallerSessionWritesTest, ALeavingPrimaryStillAnswersCommits) {
  CallerSession session(services_, "writes");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  const core::LogPosition end = connector_.database("a").position;
  set_draining("a");
  change_primary("");
  const auto pending = start_slowly(session, example_statement(StatementKind::kCommit, ""));
  change_primary("b", end);
  EXPECT_FALSE(finish(pending).failure);
}

TEST_F(CallerSessionWritesTest, WithoutALeaseAWriteIsDoneOnceTheDatabasesShowThatNoFailoverWasInProgress) {
  lose_lease_after_long_contact();
  CallerSession session(services_, "writes");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
}

// A proxy that had lost its lease passed on what a replaced primary acknowledged, for the replica that it
// asked had forgotten its fence.
TEST_F(CallerSessionWritesTest, WithoutALeaseReplicasThatMayHaveRestartedConfirmNoWrite) {
  lose_lease_after_long_contact();
  for (const char* replica : {"b", "c"}) {
    connector_.database(replica).restart();
  }
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  EXPECT_EQ(code_of(reply), FailureCode::kUnsure);
}

TEST_F(CallerSessionWritesTest, WithoutALeaseAFencedReplicaConfirmsNoWrite) {
  lose_lease_after_long_contact();
  for (const char* replica : {"b", "c"}) {
    connector_.database(replica).held_term = 2;
  }
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  EXPECT_EQ(code_of(reply), FailureCode::kUnsure);
}

// A proxy that nothing could confirm a write to sent it all the same: its outcome was unknown for nothing.
TEST_F(CallerSessionWritesTest, AWriteThatNothingCouldConfirmIsNotSent) {
  agent_.lease = false;
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  EXPECT_EQ(code_of(reply), FailureCode::kBusy);
  EXPECT_TRUE(ran("a").empty());
}

// A refusal during a long failover blamed the lease, where there was no primary to send the write to.
TEST_F(CallerSessionWritesTest, AWriteDuringALongFailoverIsRefusedForWantOfADatabase) {
  change_primary("");
  wait(kRecentProofAge + milliseconds(50));
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  ASSERT_EQ(code_of(reply), FailureCode::kBusy);
  EXPECT_NE(reply.failure->text.find("no database"), std::string::npos);
}

TEST_F(CallerSessionWritesTest, AWriteWithoutSynchronousReplicasNeedsNoConfirmation) {
  protocol::Configuration configuration = agent_.configuration();
  configuration.groups.begin()->second.sync_replicas = 0;
  agent_.set_configuration(configuration);
  apply();
  agent_.lease = false;
  CallerSession session(services_, "writes");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
}

}  // namespace
}  // namespace pipitpond::pooling
