// What callers' sessions may have run, by their keys and their tenants' quotas.
#include <gtest/gtest.h>

#include "pooling/caller_session.hpp"
#include "pooling/fake_backends.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRevocation{5000};

class CallerAccessTest : public ::testing::Test {
 protected:
  CallerAccessTest()
      : connector_(io_),
        backends_(io_, connector_, agent_, core::DaemonId("d"), core::ZoneName("zone-b")),
        access_(io_, agent_, core::DaemonId("d"), core::ZoneName("zone-b"), options()),
        services_{io_, backends_, routes_, access_, counters_, times_, {}} {
    connector_.database("a").primary = true;
    apply(configuration_with_tenants());
  }

  static AccessOptions options() {
    AccessOptions options;
    options.keys.revocation = kRevocation;
    return options;
  }

  void apply(const protocol::Configuration& configuration) {
    agent_.set_configuration(configuration);
    routes_.apply(configuration.routes);
    access_.apply(core::BootClock::now(), configuration);
    backends_.apply(configuration);
  }

  /// The next table, after `change`.
  template <typename Change>
  void change_tenants(Change change) {
    protocol::Configuration configuration = agent_.configuration();
    ++configuration.revision;
    ++configuration.routes.version;
    change(*configuration.routes.tenants);
    apply(configuration);
  }

  std::unique_ptr<CallerSession> session(const std::string& key) {
    return std::make_unique<CallerSession>(services_, "writes", tenancy::digest_of(key));
  }

  StatementReply run(CallerSession& session, Statement asked) {
    return pipitpond::testing::run(io_, session.run(std::move(asked)));
  }
  StatementReply read(CallerSession& session) {
    return run(session, example_statement(StatementKind::kRead));
  }

  std::vector<RanStatement>& ran() { return connector_.database("a").ran; }

  boost::asio::io_context io_;
  FakeConnector connector_;
  FakeAgent agent_;
  Backends backends_;
  Routes routes_;
  CallerAccess access_;
  PoolingCounters counters_;
  StatementTimes times_;
  SessionServices services_;
};

TEST_F(CallerAccessTest, DatabasesAreToldTheTenantsName) {
  EXPECT_FALSE(read(*session("k1")).failure);
  EXPECT_FALSE(read(*session("k2")).failure);
  ASSERT_EQ(ran().size(), 2U);
  EXPECT_EQ(ran()[0].tenant, "t1");
  EXPECT_EQ(ran()[1].tenant, "t2");
}

TEST_F(CallerAccessTest, AnUnknownKeyIsDeniedAndNothingRuns) {
  const StatementReply reply = read(*session("k3"));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kDenied);
  EXPECT_TRUE(ran().empty());
  EXPECT_EQ(access_.counters().unknown_key, 1U);
}

TEST_F(CallerAccessTest, AnOpenSessionWhoseKeyGoesIsToldAtItsNextStatement) {
  const auto caller = session("k1");
  EXPECT_FALSE(read(*caller).failure);
  change_tenants([](protocol::Tenants& tenants) { tenants[0].keys.clear(); });
  EXPECT_EQ(read(*caller).failure->code, FailureCode::kDenied);
  EXPECT_EQ(ran().size(), 1U);
}

TEST_F(CallerAccessTest, AKeyThatMovesServesItsNewTenant) {
  const auto caller = session("k1");
  EXPECT_FALSE(read(*caller).failure);
  change_tenants([](protocol::Tenants& tenants) { std::swap(tenants[0].keys, tenants[1].keys); });
  EXPECT_FALSE(read(*caller).failure);
  EXPECT_EQ(ran()[1].tenant, "t2");
}

TEST_F(CallerAccessTest, ATransactionWhoseKeyGoesEndsAndKeepsNothing) {
  const auto caller = session("k1");
  EXPECT_FALSE(run(*caller, example_statement(StatementKind::kBegin)).failure);
  EXPECT_FALSE(run(*caller, example_statement(StatementKind::kWrite, "thing data")).failure);
  change_tenants([](protocol::Tenants& tenants) { tenants[0].keys.clear(); });
  const std::size_t before = ran().size();
  const StatementReply commit = run(*caller, example_statement(StatementKind::kCommit));
  EXPECT_EQ(commit.failure->code, FailureCode::kDenied);
  EXPECT_EQ(commit.state, TransactionState::kIdle);
  EXPECT_EQ(ran().size(), before);
  EXPECT_EQ(*connector_.database("a").open_connections, 0) << "the database rolls back";
}

TEST_F(CallerAccessTest, ATransactionWhoseKeyMovesEndsToo) {
  const auto caller = session("k1");
  EXPECT_FALSE(run(*caller, example_statement(StatementKind::kBegin)).failure);
  change_tenants([](protocol::Tenants& tenants) { std::swap(tenants[0].keys, tenants[1].keys); });
  const StatementReply write = run(*caller, example_statement(StatementKind::kWrite, "thing data"));
  EXPECT_EQ(write.failure->code, FailureCode::kDenied);
  EXPECT_EQ(write.state, TransactionState::kFailed);
  EXPECT_FALSE(run(*caller, example_statement(StatementKind::kRollback)).failure);
  EXPECT_EQ(caller->state(), TransactionState::kIdle);
}

TEST_F(CallerAccessTest, OutOfTouchForLongNothingRunsAndTheCallerMayTryElsewhere) {
  const auto caller = session("k1");
  agent_.complete = core::BootClock::now() - kRevocation;
  const StatementReply reply = read(*caller);
  EXPECT_EQ(reply.failure->code, FailureCode::kBusy);
  EXPECT_TRUE(ran().empty());
  EXPECT_EQ(access_.counters().keys_not_certain, 1U);
  agent_.complete = core::BootClock::now() - milliseconds(500);
  EXPECT_FALSE(read(*caller).failure);
}

TEST_F(CallerAccessTest, AStatementThatWaitedWhileItsKeyWentDoesNotRun) {
  connector_.database("a").work = milliseconds(60);
  std::vector<std::unique_ptr<CallerSession>> sessions;
  std::vector<std::shared_ptr<pipitpond::testing::Pending<StatementReply>>> pending;
  for (int number = 0; number < 12; ++number) {  // More than the database runs at once.
    sessions.push_back(session("k1"));
    pending.push_back(
        pipitpond::testing::start(io_, sessions.back()->run(example_statement(StatementKind::kRead))));
  }
  pipitpond::testing::run_until(
      io_, [] { return false; }, milliseconds(30));
  change_tenants([](protocol::Tenants& tenants) { tenants[0].keys.clear(); });
  std::size_t denied = 0;
  for (const auto& one : pending) {
    ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return one->done(); }));
    denied += one->value->failure && one->value->failure->code == FailureCode::kDenied ? 1 : 0;
  }
  EXPECT_GT(denied, 0U);
  EXPECT_EQ(ran().size() + denied, pending.size());
}

TEST_F(CallerAccessTest, WhatIsOverTheQuotaIsRefusedAtOnceSayingWhenToComeBack) {
  protocol::Configuration configuration = configuration_with_tenants(protocol::TenantQuota{1, 1});
  configuration.routes.version = 3;
  configuration.daemons.begin()->second.live_since = 1;
  configuration.daemons.begin()->second.revision = 4;
  apply(configuration);
  const auto caller = session("k1");
  int granted = 0;
  StatementReply reply = read(*caller);
  for (; !reply.failure; reply = read(*caller)) {
    ASSERT_LT(++granted, 20);
  }
  EXPECT_EQ(reply.failure->code, FailureCode::kOverQuota);
  EXPECT_TRUE(guarantees_not_run(reply.failure->code));
  EXPECT_NE(reply.failure->text.find("retry in"), std::string::npos);
  EXPECT_EQ(ran().size(), static_cast<std::size_t>(granted));
  EXPECT_EQ(access_.counters().over_quota, 1U);
  EXPECT_EQ(counters_.failures.at(static_cast<std::size_t>(FailureCode::kOverQuota)), 1U);
}

class GivenBackTest : public CallerAccessTest {
 protected:
  GivenBackTest() {
    protocol::Configuration configuration = configuration_with_tenants(protocol::TenantQuota{100, 100});
    configuration.routes.version = 3;
    configuration.daemons.begin()->second.live_since = 1;
    configuration.daemons.begin()->second.revision = 4;
    apply(configuration);
  }
  [[nodiscard]] std::uint64_t given_back() const { return access_.home().given_back(); }
};

TEST_F(GivenBackTest, AnOperationThatFoundNoConnectionGoesBackToItsHome) {
  connector_.database("a").refuses_connections = true;
  const StatementReply reply = read(*session("k1"));
  ASSERT_TRUE(reply.failure);
  EXPECT_TRUE(guarantees_not_run(reply.failure->code));
  EXPECT_EQ(given_back(), 1U);
}

TEST_F(GivenBackTest, AnOperationThatTheDatabaseRefusedGoesBackToItsHome) {
  constexpr std::size_t kMoreThanAreTried = 10'000;
  connector_.database("a").next_failures.assign(kMoreThanAreTried, FailureCode::kBusy);
  const StatementReply reply = read(*session("k1"));
  ASSERT_TRUE(reply.failure);
  EXPECT_TRUE(guarantees_not_run(reply.failure->code));
  EXPECT_EQ(given_back(), 1U);
}

TEST_F(GivenBackTest, WhatRanDoesNotGoBack) {
  EXPECT_FALSE(read(*session("k1")).failure);
  EXPECT_EQ(given_back(), 0U);
}

TEST_F(GivenBackTest, WhatMayHaveRunDoesNotGoBack) {
  connector_.database("a").break_after_running = true;
  const StatementReply write = run(*session("k1"), example_statement(StatementKind::kWrite, "thing data"));
  EXPECT_EQ(write.failure->code, FailureCode::kUnsure);
  EXPECT_EQ(given_back(), 0U);
}

TEST_F(GivenBackTest, AReadThatRanAndThenFoundNoConnectionDoesNotGoBack) {
  constexpr std::size_t kMoreThanAreTried = 10'000;
  std::vector<FailureCode>& failures = connector_.database("a").next_failures;
  failures.assign(kMoreThanAreTried, FailureCode::kBusy);
  failures.front() = FailureCode::kFailed;
  const StatementReply reply = read(*session("k1"));
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(given_back(), 0U);
}

TEST_F(GivenBackTest, AHomeTakesBackWhatAnotherDaemonTellsWithItsNextQuestionOnce) {
  const core::TenantName tenant("t1");
  const core::Instant now = core::BootClock::now();
  agent_.complete = now;
  const QuotaReply first = access_.answer(now, QuotaRequest{tenant, {}, 1, 0});
  ASSERT_TRUE(first.granted);
  const GivenBackOperation unused{tenant, first.number};
  EXPECT_TRUE(access_.answer(now, QuotaRequest{tenant, {unused, unused}, 1, 0}).granted);
  EXPECT_TRUE(access_.answer(now, QuotaRequest{tenant, {unused}, 1, 0}).granted);
  EXPECT_EQ(given_back(), 1U);
}

TEST_F(CallerAccessTest, ADaemonThatJustJoinedGivesNothingAsAHome) {
  protocol::Configuration configuration = configuration_with_tenants(protocol::TenantQuota{100, 100});
  configuration.routes.version = 3;
  configuration.daemons.begin()->second.incarnation = 1;
  configuration.daemons.begin()->second.live_since = 4;
  configuration.daemons.begin()->second.revision = 4;
  apply(configuration);
  EXPECT_EQ(read(*session("k1")).failure->code, FailureCode::kBusy);
  EXPECT_EQ(access_.counters().quota_not_told, 1U);
  const core::Instant later = core::BootClock::now() + tenancy::kHomeProofAge;
  agent_.complete = later;
  EXPECT_TRUE(access_.answer(later, QuotaRequest{core::TenantName("t1"), {}, 1, 0}).granted);
}

}  // namespace
}  // namespace pipitpond::pooling
