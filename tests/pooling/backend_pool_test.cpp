#include "pooling/backend_pool.hpp"

#include <gtest/gtest.h>

#include "pooling/fake_backends.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

class BackendPoolTest : public ::testing::Test {
 protected:
  BackendPoolTest() : connector_(io_) {
    const BackendAddress address{{"127.0.0.1", 7001}, core::GroupName("g"), core::DatabaseId("a")};
    pool_ = std::make_shared<BackendPool>(io_, connector_, address, core::ZoneName("z"));
    pool_->set_share(ConnectionShare{2, 2, std::chrono::hours(1), 2, 2});
  }

  static ConnectionRequest request(int wait_millis = 500, std::uint32_t priority = 1) {
    ConnectionRequest made;
    made.priority = priority;
    made.deadline = core::BootClock::now() + milliseconds(wait_millis);
    return made;
  }

  static ConnectionRequest request_of(const std::string& tenant, int wait_millis = 500) {
    ConnectionRequest made = request(wait_millis);
    made.tenant = core::TenantName(tenant);
    return made;
  }

  core::Result<ConnectionLease> acquire(ConnectionRequest asked = request()) {
    return pipitpond::testing::run(io_, BackendPool::acquire(pool_, asked));
  }

  boost::asio::io_context io_;
  FakeConnector connector_;
  std::shared_ptr<BackendPool> pool_;
};

TEST_F(BackendPoolTest, ConnectionsAreOpenedOnDemandAndKept) {
  for (int number = 0; number < 5; ++number) {
    EXPECT_TRUE(acquire().has_value());
  }
  EXPECT_EQ(connector_.database("a").connections_opened, 1);
  EXPECT_EQ(pool_->held(), 1U);
}

// A proxy ended with signal 11: the pool chose a waiter for whom a connection was idle, and the database
// closed that connection before the pool took it.
TEST_F(BackendPoolTest, AConnectionThatItsDatabaseClosesWhileItIsHandedOutLeavesTheWaiterServed) {
  constexpr int kMostLooks = 6;
  for (int looks = 0; looks <= kMostLooks; ++looks) {
    pool_->set_share(ConnectionShare{1, 1, std::chrono::hours(1), 1, 1});
    auto held = std::make_unique<core::Result<ConnectionLease>>(acquire());
    ASSERT_TRUE(held->has_value());
    const auto waiting = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request()));
    ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return pool_->waiting() == 1; }));
    connector_.database("a").looks_until_closed = looks;
    held.reset();
    connector_.database("a").looks_until_closed.reset();
    ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return waiting->done(); }));
    EXPECT_TRUE(waiting->value->has_value()) << "closed after " << looks << " looks";
  }
}

TEST_F(BackendPoolTest, HoldsNoMoreConnectionsThanItsShare) {
  auto first = acquire();
  auto second = acquire();
  ASSERT_TRUE(first && second);
  const auto third = acquire(request(30));
  ASSERT_FALSE(third);
  EXPECT_EQ(third.error().kind, core::ErrorKind::kNoCapacity);
  EXPECT_EQ(connector_.database("a").connections_opened, 2);
}

TEST_F(BackendPoolTest, ABorrowedConnectionIsClosedSoonAfterItsUse) {
  pool_->set_share(ConnectionShare{0, 2, std::chrono::hours(1), 2, 2});
  { const auto lease = acquire(); }
  ASSERT_EQ(pool_->held(), 1U);
  pool_->tick(core::BootClock::now());
  EXPECT_EQ(pool_->held(), 1U) << "the next statement may follow at once";
  pool_->tick(core::BootClock::now() + std::chrono::seconds(2));
  EXPECT_EQ(pool_->held(), 0U);
  EXPECT_EQ(pool_->counters().given_back, 1U);
}

TEST_F(BackendPoolTest, AKeptConnectionStaysOpen) {
  { const auto lease = acquire(); }
  pool_->tick(core::BootClock::now() + std::chrono::seconds(2));
  EXPECT_EQ(pool_->counters().given_back, 0U);
  EXPECT_GE(pool_->held(), 1U);
}

TEST_F(BackendPoolTest, RefusalsShortenTheIdleTimeOfBorrowedConnections) {
  pool_->set_share(ConnectionShare{0, 2, std::chrono::hours(1), 2, 2});
  connector_.database("a").max_connections = 1;
  { const auto lease = acquire(); }
  auto only = acquire();
  for (int refused = 0; refused < 3; ++refused) {
    pool_->tick(core::BootClock::now());
    EXPECT_FALSE(acquire(request(60)));
  }
  { const ConnectionLease given_back = std::move(only.value()); }
  pool_->tick(core::BootClock::now() + milliseconds(300));
  EXPECT_EQ(pool_->held(), 0U);
}

TEST_F(BackendPoolTest, ASlowDatabasesExpectedWaitDecaysWhileItIsNotUsed) {
  const core::Duration usual = pool_->expected_wait();
  for (int slow = 0; slow < 50; ++slow) {
    pool_->note_latency(std::chrono::seconds(1));
  }
  ASSERT_GT(pool_->expected_wait(), milliseconds(900));
  core::Instant now = core::BootClock::now();
  for (int tick = 0; tick < 200; ++tick) {
    now += milliseconds(50);
    pool_->tick(now);
  }
  EXPECT_LT(pool_->expected_wait(), usual + milliseconds(10));
}

TEST_F(BackendPoolTest, ADatabaseInUseKeepsItsMeasuredLatency) {
  core::Instant now = core::BootClock::now();
  for (int tick = 0; tick < 200; ++tick) {
    pool_->note_latency(std::chrono::seconds(1));
    now += milliseconds(50);
    pool_->tick(now);
  }
  EXPECT_GT(pool_->expected_wait(), milliseconds(900));
}

TEST_F(BackendPoolTest, KeptConnectionsAreOpenedAheadOfDemandOneAtATime) {
  pool_->set_share(ConnectionShare{2, 2, milliseconds(100), 2, 2});
  const core::Instant now = core::BootClock::now();
  const auto held_after = [this](core::Instant at) {
    pool_->tick(at);
    pipitpond::testing::run_until(
        io_, [] { return false; }, milliseconds(20));
    return pool_->held();
  };
  EXPECT_EQ(held_after(now), 1U);
  EXPECT_EQ(held_after(now + milliseconds(50)), 1U);
  EXPECT_EQ(held_after(now + milliseconds(150)), 2U);
  EXPECT_EQ(held_after(now + milliseconds(300)), 2U);
}

TEST_F(BackendPoolTest, TheMostUrgentRequestIsServedFirst) {
  auto first = acquire();
  auto second = acquire();
  const auto late = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request(500, 2)));
  const auto urgent = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request(500, 0)));
  pipitpond::testing::run_until(io_, [this] { return pool_->waiting() == 2; });
  { const ConnectionLease given_back = std::move(first.value()); }
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return urgent->done(); }));
  EXPECT_FALSE(late->done());
  { const ConnectionLease given_back = std::move(second.value()); }
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return late->done(); }));
}

TEST_F(BackendPoolTest, ALateRequestIsServedAfterThoseThatCanStillBeInTime) {
  // Guards against serving requests that are late already before those that can still be in time. With
  // lagging replicas, a fifth of the reads was late at a primary that was fully loaded.
  auto first = acquire();
  auto second = acquire();
  const auto ask = [this](int goal_millis) {
    ConnectionRequest asked = request();
    asked.goal = core::BootClock::now() + milliseconds(goal_millis);
    return pipitpond::testing::start(io_, BackendPool::acquire(pool_, asked));
  };
  const auto late = ask(0);
  const auto in_time = ask(400);
  const auto in_time_later = ask(400);
  pipitpond::testing::run_until(io_, [this] { return pool_->waiting() == 3; });
  { const ConnectionLease given_back = std::move(first.value()); }
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return in_time->done(); }));
  EXPECT_FALSE(late->done());
  EXPECT_FALSE(in_time_later->done());
  { const ConnectionLease given_back = std::move(second.value()); }
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return in_time_later->done(); }));
  EXPECT_FALSE(late->done());
  in_time->value.reset();
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return late->done(); }));
}

TEST_F(BackendPoolTest, AFullQueueRejectsItsLeastUrgentRequestAtOnce) {
  pool_->set_share(ConnectionShare{1, 1, std::chrono::hours(1), 1, 1});
  auto first = acquire();
  const auto cheap = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request(20'000, 2)));
  std::vector<std::shared_ptr<pipitpond::testing::Pending<core::Result<ConnectionLease>>>> others;
  for (std::size_t number = 1; number < kMaxWaitingPerSlot; ++number) {
    others.push_back(pipitpond::testing::start(io_, BackendPool::acquire(pool_, request(20'000, 1))));
  }
  pipitpond::testing::run_until(io_, [this] { return pool_->waiting() == kMaxWaitingPerSlot; });
  EXPECT_FALSE(cheap->done());
  const auto urgent = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request(20'000, 0)));
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return cheap->done(); }));
  ASSERT_FALSE(cheap->value->has_value());
  EXPECT_EQ(cheap->value->error().kind, core::ErrorKind::kNoCapacity);
  EXPECT_EQ(pool_->counters().displaced, 1U);
  const auto last = acquire(request(20'000, 2));
  ASSERT_FALSE(last);
  EXPECT_EQ(last.error().kind, core::ErrorKind::kNoCapacity);
  EXPECT_EQ(pool_->counters().line_full, 1U);
  EXPECT_EQ(pool_->waiting(), kMaxWaitingPerSlot);
  { const ConnectionLease given_back = std::move(first.value()); }
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return urgent->done(); }));
  EXPECT_TRUE(urgent->value->has_value());
  pool_->close();
  pipitpond::testing::run_until(io_, [&] { return others.back()->done(); });
}

TEST_F(BackendPoolTest, AStatementInATransactionCountsAgainstTheLimitAndAnIdleTransactionDoesNot) {
  pool_->set_share(ConnectionShare{3, 3, std::chrono::hours(1), 1, 1});
  auto transaction = acquire();
  Statement begin;
  begin.kind = StatementKind::kBegin;
  ASSERT_TRUE(pipitpond::testing::run(io_, transaction.value().run_own(begin, milliseconds(500))));
  EXPECT_TRUE(acquire().has_value()) << "the transaction is idle";
  connector_.database("a").work = milliseconds(60);
  Statement read;
  const auto runs = pipitpond::testing::start(io_, transaction.value().run_own(read, milliseconds(5000)));
  const auto waits = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request(5000)));
  pipitpond::testing::run_until(io_, [&] { return pool_->waiting() == 1 || waits->done(); });
  EXPECT_FALSE(waits->done()) << "the transaction's statement uses up the concurrency limit";
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] {
    EXPECT_TRUE(runs->done() || !waits->done());
    return waits->done();
  }));
  EXPECT_TRUE(waits->value->has_value());
}

TEST_F(BackendPoolTest, ADatabaseThatRefusesConnectionsFailsWaitingRequestsAtOnce) {
  connector_.database("a").refuses_connections = true;
  const core::Instant before = core::BootClock::now();
  const auto lease = acquire(request(5000));
  ASSERT_FALSE(lease);
  EXPECT_EQ(lease.error().kind, core::ErrorKind::kConnectionRefused);
  EXPECT_LT(core::BootClock::now() - before, milliseconds(2000));
}

// --- Tenants

TEST_F(BackendPoolTest, AConnectionServesTheTenantForWhichItWasOpened) {
  { const auto lease = acquire(request_of("t1")); }
  { const auto lease = acquire(request_of("t1")); }
  EXPECT_EQ(connector_.opened_for, (std::vector<std::string>{"t1"}));
  { const auto lease = acquire(request_of("t2")); }
  EXPECT_EQ(connector_.opened_for, (std::vector<std::string>{"t1", "t2"}));
  { const auto lease = acquire(request_of("t1")); }
  EXPECT_EQ(connector_.database("a").connections_opened, 2);
}

TEST_F(BackendPoolTest, AnotherTenantsIdleConnectionIsClosedForANewOne) {
  { const auto lease = acquire(request_of("t1")); }
  { const auto lease = acquire(request_of("t2")); }
  ASSERT_EQ(pool_->held(), 2U);
  EXPECT_TRUE(acquire(request_of("t3")).has_value());
  EXPECT_EQ(pool_->held(), 2U);
  EXPECT_EQ(pool_->counters().made_room, 1U);
  { const auto lease = acquire(request_of("t2")); }
  EXPECT_EQ(connector_.opened_for, (std::vector<std::string>{"t1", "t2", "t3"}))
      << "the least recently used connection was closed";
}

TEST_F(BackendPoolTest, TheConnectionOfTheTenantWithLeastDemandIsClosedForANewOne) {
  // Guards against closing the least recently used connection whatever its tenant's demand. With 84 tenants
  // that opened 46,405 connections for 72,606 requests: each request of a small tenant closed a large one's
  // connection.
  for (int times = 0; times < 3; ++times) {
    const auto lease = acquire(request_of("large"));
  }
  for (const char* small : {"s1", "s2", "s3", "s4"}) {
    const auto lease = acquire(request_of(small));
  }
  { const auto lease = acquire(request_of("large")); }
  EXPECT_EQ(connector_.opened_for, (std::vector<std::string>{"large", "s1", "s2", "s3", "s4"}));
}

TEST_F(BackendPoolTest, AWaitingTenantReplacesAnotherTenantsIdleConnection) {
  // t1 waits for its only connection, which is in use; t2 has an idle one.
  pool_->set_share(ConnectionShare{2, 2, std::chrono::hours(1), 4, 4});
  auto first = acquire(request_of("t1"));
  { const auto lease = acquire(request_of("t2")); }
  auto second = acquire(request_of("t2"));
  const auto waits = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request_of("t1")));
  pipitpond::testing::run_until(io_, [this] { return pool_->waiting() == 1; });
  { const ConnectionLease given_back = std::move(second.value()); }
  pipitpond::testing::run_until(io_, [&] { return waits->done(); });
  EXPECT_TRUE(waits->value->has_value()) << "the idle connection of t2 was closed for t1";
}

TEST_F(BackendPoolTest, AStatementWaitsForItsTenantsConnectionThatIsInUse) {
  auto first = acquire(request_of("t1"));
  const auto waits = pipitpond::testing::start(io_, BackendPool::acquire(pool_, request_of("t1")));
  pipitpond::testing::run_until(io_, [this] { return pool_->waiting() == 1; });
  { const ConnectionLease given_back = std::move(first.value()); }
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return waits->done(); }));
  EXPECT_TRUE(waits->value->has_value());
  EXPECT_EQ(connector_.database("a").connections_opened, 1);
  EXPECT_EQ(pool_->counters().waited_instead, 1U);
}

TEST_F(BackendPoolTest, AStatementDoesNotWaitForATransactionOfItsTenant) {
  auto resting = acquire(request_of("t1"));
  Statement begin;
  begin.kind = StatementKind::kBegin;
  ASSERT_TRUE(pipitpond::testing::run(io_, resting.value().run_own(begin, milliseconds(100))).has_value());
  EXPECT_TRUE(acquire(request_of("t1")).has_value());
  EXPECT_EQ(connector_.database("a").connections_opened, 2);
  EXPECT_EQ(pool_->counters().waited_instead, 0U);
}

TEST_F(BackendPoolTest, AStatementDoesNotWaitLongForAConnectionThatIsOverdue) {
  const auto overdue = acquire(request_of("t1"));
  const core::Instant before = core::BootClock::now();
  EXPECT_TRUE(acquire(request_of("t1", 5000)).has_value());
  EXPECT_LT(core::BootClock::now() - before, milliseconds(2000));
  EXPECT_EQ(connector_.database("a").connections_opened, 2);
}

TEST_F(BackendPoolTest, StatementsOfDifferentTenantsNeverShareAConnection) {
  std::vector<std::shared_ptr<pipitpond::testing::Pending<core::Result<ConnectionLease>>>> pending;
  for (int round = 0; round < 40; ++round) {
    const std::string tenant = "t" + std::to_string(round * 7 % 5);
    auto lease = acquire(request_of(tenant, 2000));
    ASSERT_TRUE(lease.has_value());
    Statement read;
    read.id = core::RequestId(tenant);
    BackendStatement asked{read, {}};
    ASSERT_TRUE(pipitpond::testing::run(io_, lease.value().run(SessionState{}, asked, milliseconds(500))));
  }
  for (const RanStatement& ran : connector_.database("a").ran) {
    EXPECT_EQ(ran.request, ran.tenant);
  }
  EXPECT_LE(pool_->held(), 2U);
}

TEST_F(BackendPoolTest, AClosedPoolRejectsRequests) {
  pool_->close();
  const auto lease = acquire();
  ASSERT_FALSE(lease);
  EXPECT_EQ(lease.error().kind, core::ErrorKind::kLeaving);
}

TEST_F(BackendPoolTest, AConnectionInATransactionIsClosedWhenItIsReturned) {
  {
    auto lease = acquire();
    Statement begin;
    begin.kind = StatementKind::kBegin;
    ASSERT_TRUE(pipitpond::testing::run(io_, lease.value().run_own(begin, milliseconds(100))).has_value());
  }
  EXPECT_EQ(pool_->held(), 0U);
}

TEST_F(BackendPoolTest, ASilentDatabaseIsFoundUnreachableWhileAReadWaits) {
  auto lease = acquire();
  connector_.database("a").silent = true;
  connector_.database("a").refuses_connections = true;
  SessionState session;
  Statement read;
  read.id = core::RequestId("q");
  BackendStatement asked{read, {}};
  const auto pending = pipitpond::testing::start(io_, lease.value().run(session, asked, milliseconds(900)));
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] {
    pool_->tick(core::BootClock::now());
    return !pool_->health().usable() || pending->done();
  }));
  EXPECT_FALSE(pool_->health().usable());
}

}  // namespace
}  // namespace pipitpond::pooling
