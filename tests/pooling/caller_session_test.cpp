#include "pooling/caller_session.hpp"

#include <gtest/gtest.h>

#include "pooling/caller_session_fixture.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

// --- Where statements run
// ----------------------------------------------------------------------------------------

TEST_F(CallerSessionTest, AnUnknownDatabaseNameIsRefused) {
  CallerSession session(services_, "nothing");
  const StatementReply reply = run(session, example_statement(StatementKind::kRead));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kUnknownDatabase);
}

TEST_F(CallerSessionTest, ReadsOfPrimaryRoutesRunAtThePrimary) {
  learn_position();
  CallerSession session(services_, "writes");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  EXPECT_EQ(ran("a").size(), 2U);
  EXPECT_TRUE(ran("b").empty());
}

TEST_F(CallerSessionTest, ABoundedReadWithoutAKnownPositionRunsAtThePrimary) {
  CallerSession session(services_, "board");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  EXPECT_EQ(ran("a").size(), 1U);
}

TEST_F(CallerSessionTest, OneReadAsksThePrimaryForAPositionAndTheOthersWaitForIt) {
  // After a start no position is known. Without this rule all reads go to the primary, here one with two
  // slots.
  connector_.database("a").work = milliseconds(30);
  std::vector<std::unique_ptr<CallerSession>> sessions;
  std::vector<std::shared_ptr<pipitpond::testing::Pending<StatementReply>>> pending;
  for (int number = 0; number < 6; ++number) {
    sessions.push_back(std::make_unique<CallerSession>(services_, "board"));
    pending.push_back(
        pipitpond::testing::start(io_, sessions.back()->run(example_statement(StatementKind::kRead))));
  }
  for (const auto& one : pending) {
    ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return one->done(); }));
    EXPECT_FALSE(one->value->failure);
  }
  EXPECT_EQ(ran("a").size(), 1U);
  EXPECT_EQ(ran("b").size(), 5U);
}

TEST_F(CallerSessionTest, WithoutALeaseNoReadIsSentThatOnlyThePrimaryCouldServe) {
  stop_replica_status();
  agent_.lease = false;
  for (const char* route : {"writes", "board", "own"}) {
    CallerSession session(services_, route);
    EXPECT_EQ(run(session, example_statement(StatementKind::kRead)).failure->code, FailureCode::kBusy);
  }
  EXPECT_TRUE(ran("a").empty());
}

TEST_F(CallerSessionTest, ABoundedReadRunsAtTheNearestReplicaThatReachesThePosition) {
  connector_.database("a").position = {1, 40};
  learn_position();
  connector_.database("b").position = {1, 40};
  CallerSession session(services_, "board");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  ASSERT_EQ(ran("b").size(), 1U);
  EXPECT_EQ(ran("b")[0].after, (core::LogPosition{1, 40}));
}

TEST_F(CallerSessionTest, AReplicaThatIsBehindIsSkipped) {
  connector_.database("a").position = {1, 40};
  learn_position();
  connector_.database("b").position = {1, 39};
  connector_.database("c").position = {1, 39};
  CallerSession session(services_, "board");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  EXPECT_TRUE(ran("b").empty());
  EXPECT_TRUE(ran("c").empty());
  EXPECT_EQ(ran("a").size(), 2U);
}

TEST_F(CallerSessionTest, ASessionReadsItsOwnWrites) {
  learn_position();
  connector_.database("b").position = {1, 10};
  CallerSession session(services_, "own");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  const core::LogPosition written = connector_.database("a").position;
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  EXPECT_TRUE(ran("b").empty()) << "the replica has not applied the write";
  connector_.database("b").position = written;
  connector_.database("c").position = written;
  backends_.pools()[1]->reach() = ReplicaReach();
  wait(milliseconds(400));
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  ASSERT_EQ(ran("b").size(), 1U);
  EXPECT_GE(*ran("b")[0].after, written);
}

TEST_F(CallerSessionTest, ASessionWhoseRouteMovesToAnotherGroupDoesNotWaitThereForItsWritesInTheFormer) {
  learn_position();
  CallerSession session(services_, "own");
  connector_.database("a").position = {9, 40};
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  move_route_to_another_group("own");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  EXPECT_EQ(ran("other-a").size() + ran("other-b").size() + ran("other-c").size(), 2U);
}

// --- Reads that must come from the current primary
// ---------------------------------------------------------------------------------------------------

TEST_F(CallerSessionTest, WithoutALeaseAReadOfAPrimaryRouteIsRefused) {
  stop_replica_status();
  agent_.lease = false;
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kRead));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kBusy);
  EXPECT_NE(reply.failure->text.find("retry in"), std::string::npos);
}

TEST_F(CallerSessionTest, WithoutALeaseNoPositionIsRecorded) {
  CallerSession session(services_, "writes");
  stop_replica_status();
  agent_.lease = false;
  run(session, example_statement(StatementKind::kRead));
  EXPECT_FALSE(backends_.position_for(core::GroupName("g"), milliseconds(1500), core::BootClock::now()));
}

TEST_F(CallerSessionTest, WithoutALeaseReadsRunOnceTheDatabasesConfirmThePrimary) {
  // Without this rule reads are refused while all control replicas are down; 1,787 refusals were seen.
  agent_.lease = false;
  for (const char* route : {"writes", "board", "own"}) {
    CallerSession session(services_, route);
    EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure) << route;
  }
  EXPECT_FALSE(ran("a").empty());
}

TEST_F(CallerSessionTest, APrimaryConfirmedBeforeAReadArrivedIsNotTrustedForIt) {
  agent_.lease = false;
  CallerSession session(services_, "writes");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  stop_replica_status();
  wait(milliseconds(50));
  EXPECT_EQ(run(session, example_statement(StatementKind::kRead)).failure->code, FailureCode::kBusy);
}

TEST_F(CallerSessionTest, AReplicaThatHasSeenALaterTermKeepsReadsFromTheOldPrimary) {
  agent_.lease = false;
  connector_.database("b").position = {2, 11};
  CallerSession session(services_, "writes");
  EXPECT_EQ(run(session, example_statement(StatementKind::kRead)).failure->code, FailureCode::kBusy);
  EXPECT_TRUE(ran("a").empty());
}

TEST_F(CallerSessionTest, WithoutSyncReplicasTheDatabasesCannotConfirmThePrimary) {
  protocol::Configuration configuration = agent_.configuration();
  configuration.groups.begin()->second.sync_replicas = 0;
  agent_.set_configuration(configuration);
  apply();
  agent_.lease = false;
  CallerSession session(services_, "writes");
  EXPECT_EQ(run(session, example_statement(StatementKind::kRead)).failure->code, FailureCode::kBusy);
}

TEST_F(CallerSessionTest, WithoutALeaseAnAcknowledgedWriteGivesAPosition) {
  // Without this rule a proxy that cannot reach control refuses bounded reads; seen for 6 s.
  lose_lease_after_long_contact();
  wait(milliseconds(400));  // Positions that were known before are too old for the read.
  CallerSession writer(services_, "writes");
  ASSERT_FALSE(run(writer, example_statement(StatementKind::kWrite, "thing data")).failure);
  connector_.database("b").position = connector_.database("a").position;
  CallerSession session(services_, "board");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  ASSERT_EQ(ran("b").size(), 1U);
  EXPECT_EQ(ran("b")[0].after, connector_.database("a").position);
}

TEST_F(CallerSessionTest, WithoutALeaseACommitOfWritesGivesAPositionAndOneOfReadsGivesNone) {
  const auto known_since = [this](core::Instant moment) {
    const core::Instant now = core::BootClock::now();
    return backends_.position_for(core::GroupName("g"), now - moment, now);
  };
  lose_lease_after_long_contact();
  wait(milliseconds(100));
  const core::Instant begun = core::BootClock::now();
  CallerSession session(services_, "own");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  ASSERT_FALSE(run(session, example_statement(StatementKind::kCommit, "")).failure);
  EXPECT_FALSE(known_since(begun));
  ASSERT_FALSE(run(session, example_statement(StatementKind::kBegin, "")).failure);
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  EXPECT_FALSE(known_since(begun)) << "nothing is acknowledged before the commit";
  ASSERT_FALSE(run(session, example_statement(StatementKind::kCommit, "")).failure);
  EXPECT_EQ(known_since(begun), connector_.database("a").position);
}

TEST_F(CallerSessionTest, WithoutALeaseAndWithoutSyncReplicasAWriteGivesNoPosition) {
  protocol::Configuration configuration = agent_.configuration();
  configuration.groups.begin()->second.sync_replicas = 0;
  agent_.set_configuration(configuration);
  apply();
  agent_.lease = false;
  CallerSession session(services_, "writes");
  ASSERT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  EXPECT_FALSE(backends_.position_for(core::GroupName("g"), milliseconds(1500), core::BootClock::now()));
}

TEST_F(CallerSessionTest, AReadThatIsAnsweredAfterItsPrimaryWasReplacedRunsAgain) {
  CallerSession session(services_, "writes");
  const auto pending = start_slowly(session, example_statement(StatementKind::kRead));
  change_primary("");
  change_primary("b");
  connector_.database("b").primary = true;
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return pending->done(); }));
  EXPECT_FALSE(pending->value->failure);
  EXPECT_EQ(ran("b").size(), 1U);
}

// --- Primaries that start again without their logs
// ------------------------------------------------------------

// A read of a primary route ran on the empty log of a primary that had started again, by control's lease.
TEST_F(CallerSessionTest, AReadAtAPrimaryThatHasLostItsLogIsNotAnswered) {
  learn_position();
  start_again_without_log("a");
  for (const char* route : {"writes", "own"}) {
    CallerSession session(services_, route);
    Statement statement = example_statement(StatementKind::kBegin, "");
    EXPECT_TRUE(run(session, std::move(statement)).failure) << route;
  }
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kRead));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kBusy);
}

// Where callers only read, nobody else notices that the group has no primary.
TEST_F(CallerSessionTest, APrimaryThatHasLostItsLogIsReportedToControl) {
  learn_position();
  start_again_without_log("a");
  CallerSession session(services_, "writes");
  run(session, example_statement(StatementKind::kRead));
  backends_.tick(core::BootClock::now());
  ASSERT_EQ(agent_.suspicions.size(), 1U);
  EXPECT_EQ(agent_.suspicions[0].database, core::DatabaseId("a"));
  EXPECT_EQ(agent_.suspicions[0].suspicion, protocol::Suspicion::kNotPrimary);
}

TEST_F(CallerSessionTest, AnEmptyPrimaryIsNotTrustedByADaemonThatKnowsNoPosition) {
  start_again_without_log("a");
  for (const char* route : {"writes", "board", "own"}) {
    CallerSession session(services_, route);
    EXPECT_TRUE(run(session, example_statement(StatementKind::kRead)).failure) << route;
  }
  EXPECT_FALSE(backends_.position_for(core::GroupName("g"), milliseconds(1500), core::BootClock::now()));
}

TEST_F(CallerSessionTest, APrimaryThatHoldsLessThanBeforeIsNotTrusted) {
  learn_position();
  connector_.database("a").position = {1, 3};
  CallerSession session(services_, "writes");
  EXPECT_TRUE(run(session, example_statement(StatementKind::kRead)).failure);
  backends_.tick(core::BootClock::now());
  EXPECT_TRUE(agent_.suspicions.empty()) << "it may only be slow to apply";
}

TEST_F(CallerSessionTest, APrimaryThatHoldsLessThanItsTermBeganWithIsNotTrusted) {
  protocol::Configuration configuration = agent_.configuration();
  configuration.groups.begin()->second.terms.push_back(
      protocol::TermStart{3, core::DatabaseId("a"), {1, 11}});
  agent_.set_configuration(configuration);
  apply();
  CallerSession session(services_, "writes");
  EXPECT_TRUE(run(session, example_statement(StatementKind::kRead)).failure);
}

TEST_F(CallerSessionTest, WithoutALeaseAPrimaryThatLosesItsLogAfterItsProofIsNotTrusted) {
  agent_.lease = false;
  connector_.database("a").work = milliseconds(60);
  CallerSession session(services_, "writes");
  const auto pending = pipitpond::testing::start(io_, session.run(example_statement(StatementKind::kRead)));
  wait(milliseconds(30));
  ASSERT_GT(backends_.rounds().shown, 0U);
  start_again_without_log("a");
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return pending->done(); }));
  EXPECT_TRUE(pending->value->failure);
}

TEST_F(CallerSessionTest, AGroupThatHoldsNothingYetServesReadsOnceTheDatabasesConfirmThePrimary) {
  for (const char* id : {"a", "b", "c"}) {
    connector_.database(id).position = {};
  }
  for (const char* route : {"writes", "board", "own"}) {
    CallerSession session(services_, route);
    EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure) << route;
  }
  EXPECT_EQ(ran("a").size() + ran("b").size() + ran("c").size(), 3U) << "each runs once";
}

// No round of the databases can confirm the primary of such a group.
TEST_F(CallerSessionTest, AGroupWithoutSynchronousReplicasThatHoldsNothingYetServesReads) {
  protocol::Configuration configuration = agent_.configuration();
  configuration.groups.begin()->second.sync_replicas = 0;
  agent_.set_configuration(configuration);
  apply();
  connector_.database("a").position = {};
  CallerSession session(services_, "writes");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
}

TEST_F(CallerSessionTest, ANewPrimaryIsNotMeasuredByWhatTheFormerOneHeld) {
  learn_position();
  change_primary("");
  change_primary("b");
  connector_.database("b").primary = true;
  connector_.database("b").position = {1, 9};
  CallerSession session(services_, "writes");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
}

// --- Failures and retries
// ------------------------------------------------------------------------------------

TEST_F(CallerSessionTest, AWriteWhoseAnswerIsLostHasAnUnknownOutcomeAndIsNeverRepeated) {
  connector_.database("a").break_after_running = true;
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kUnsure);
  EXPECT_EQ(ran("a").size(), 1U);
}

TEST_F(CallerSessionTest, AWriteThatWasNotRunIsRetried) {
  connector_.database("a").next_failures = {FailureCode::kBusy, FailureCode::kBusy};
  CallerSession session(services_, "writes");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kWrite, "thing data")).failure);
  EXPECT_EQ(ran("a").size(), 1U);
}

TEST_F(CallerSessionTest, AWriteThatRanAndFailedIsNotRetried) {
  connector_.database("a").next_failures = {FailureCode::kFailed};
  CallerSession session(services_, "writes");
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kFailed);
  EXPECT_TRUE(ran("a").empty());
}

TEST_F(CallerSessionTest, AReadWhoseAnswerIsLostIsRetriedAtAnotherDatabase) {
  learn_position();
  connector_.database("b").break_after_running = true;
  CallerSession session(services_, "board");
  EXPECT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  EXPECT_EQ(ran("b").size(), 1U);
  EXPECT_EQ(ran("a").size() + ran("c").size(), 2U)
      << "the read that fetched the position, and the second attempt";
}

TEST_F(CallerSessionTest, WithoutAPrimaryAWriteIsGivenUpEarlyAndSaysWhenToRetry) {
  change_primary("");
  CallerSession session(services_, "writes");
  const core::Instant before = core::BootClock::now();
  const StatementReply reply = run(session, example_statement(StatementKind::kWrite, "thing data"));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kBusy);
  EXPECT_NE(reply.failure->text.find("retry in"), std::string::npos);
  EXPECT_GE(core::BootClock::now() - before, milliseconds(160));
}

TEST_F(CallerSessionTest, AWriteWaitsForANewPrimary) {
  change_primary("");
  CallerSession session(services_, "writes");
  const auto pending =
      pipitpond::testing::start(io_, session.run(example_statement(StatementKind::kWrite, "thing data")));
  wait(milliseconds(50));
  change_primary("c");
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return pending->done(); }));
  EXPECT_FALSE(pending->value->failure);
  EXPECT_EQ(ran("c").size(), 1U);
}

// --- Session values and prepared statements
// ----------------------------------------------------------------------------------------

TEST_F(CallerSessionTest, SharedConnectionsTakeEachSessionsValues) {
  CallerSession one(services_, "writes");
  CallerSession other(services_, "writes");
  Statement set = example_statement(StatementKind::kSetValue, "north");
  set.name = "zone";
  EXPECT_FALSE(run(one, set).failure);
  EXPECT_FALSE(run(one, example_statement(StatementKind::kRead)).failure);
  EXPECT_EQ(ran("a").back().values, (std::map<std::string, std::string>{{"zone", "north"}}));
  EXPECT_FALSE(run(other, example_statement(StatementKind::kRead)).failure);
  EXPECT_TRUE(ran("a").back().values.empty());
  EXPECT_EQ(connector_.database("a").connections_opened, 1);
}

TEST_F(CallerSessionTest, AnUnknownPreparedNameIsRefusedByTheProxy) {
  CallerSession session(services_, "writes");
  Statement executed = example_statement(StatementKind::kExecute);
  executed.name = "s1";
  EXPECT_EQ(run(session, executed).failure->code, FailureCode::kNoStatement);
}

TEST_F(CallerSessionTest, APreparedReadMayRunAtAReplica) {
  learn_position();
  CallerSession session(services_, "board");
  Statement prepare = example_statement(StatementKind::kPrepare, "shape");
  prepare.name = "s1";
  EXPECT_FALSE(run(session, prepare).failure);
  Statement executed = example_statement(StatementKind::kExecute);
  executed.name = "s1";
  EXPECT_FALSE(run(session, executed).failure);
  ASSERT_EQ(ran("b").size(), 2U);
  EXPECT_EQ(ran("b")[0].kind, StatementKind::kPrepare);
  EXPECT_EQ(ran("b")[1].name, ran("b")[0].name);
}

}  // namespace
}  // namespace pipitpond::pooling
