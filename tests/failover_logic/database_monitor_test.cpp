#include "failover/database_monitor.hpp"

#include <gtest/gtest.h>

#include "protocol/tunables.hpp"

namespace pipitpond::failover {
namespace {

using protocol::Suspicion;
using std::chrono::milliseconds;
using std::chrono::seconds;

class DatabaseMonitorTest : public testing::Test {
 protected:
  DatabaseMonitorTest() : monitor_(now_, core::DatabaseId("a")) { monitor_.set_expectation(3, true); }

  static database::StatusAnswer healthy() {
    database::StatusAnswer status;
    status.database = core::DatabaseId("a");
    status.role = database::Role::kPrimary;
    status.term = 3;
    return status;
  }

  /// Ticks for `duration`, answers each probe with `status` (empty: no answer), and returns the number of
  /// probes.
  int run(core::Duration duration, const std::optional<database::StatusAnswer>& status) {
    int probes = 0;
    for (const core::Instant end = now_ + duration; now_ < end; now_ += kMonitorInterval) {
      if (!monitor_.tick(now_)) {
        continue;
      }
      ++probes;
      if (status.has_value()) {
        monitor_.on_status(now_, *status);
      }
    }
    return probes;
  }

  std::optional<Suspicion> suspicion() {
    const auto report = monitor_.suspicion(now_);
    return report.has_value() ? std::optional(report->suspicion) : std::nullopt;
  }

  core::Instant now_ = core::Instant(seconds(100));
  DatabaseMonitor monitor_;
};

TEST_F(DatabaseMonitorTest, DatabaseIsSuspectedAfterTwoUnansweredProbes) {
  run(seconds(1), healthy());
  run(protocol::kProbeTimeout, std::nullopt);
  EXPECT_EQ(suspicion(), std::nullopt);
  run(2 * protocol::kProbeTimeout + protocol::kProbeInterval, std::nullopt);
  EXPECT_EQ(suspicion(), Suspicion::kUnreachable);
  run(seconds(1), healthy());
  EXPECT_EQ(suspicion(), std::nullopt);
}

TEST_F(DatabaseMonitorTest, OneLostProbeDoesNotRaiseASuspicion) {
  for (int round = 0; round < 20; ++round) {
    run(seconds(1), healthy());
    while (!monitor_.tick(now_)) {
      now_ += kMonitorInterval;
    }
    now_ += protocol::kProbeTimeout;  // This probe is lost.
    monitor_.tick(now_);
    monitor_.on_status(now_, healthy());
    EXPECT_EQ(suspicion(), std::nullopt);
  }
}

TEST_F(DatabaseMonitorTest, OneRefusedConnectionRaisesASuspicion) {
  ASSERT_TRUE(monitor_.tick(now_));
  monitor_.on_probe_failed(now_, true);
  EXPECT_EQ(suspicion(), Suspicion::kUnreachable);
}

TEST_F(DatabaseMonitorTest, OwnStallDoesNotRaiseASuspicion) {
  run(seconds(1), healthy());
  while (!monitor_.tick(now_)) {
    now_ += kMonitorInterval;
  }
  for (int freeze = 0; freeze < 5; ++freeze) {
    now_ += seconds(3);
    monitor_.tick(now_);
    EXPECT_EQ(suspicion(), std::nullopt);
  }
}

TEST_F(DatabaseMonitorTest, BusyDatabaseIsProbedLess) {
  const int idle_probes = run(seconds(10), healthy());
  int busy_probes = 0;
  for (int round = 0; round < 400; ++round) {
    monitor_.on_data_answer(now_);
    busy_probes += run(kMonitorInterval, healthy());
  }
  EXPECT_LT(busy_probes, idle_probes * 6 / 10);
  EXPECT_GT(busy_probes, 0);
}

TEST_F(DatabaseMonitorTest, StalledPrimaryIsSuspectedButAStalledReplicaIsNot) {
  database::StatusAnswer stalled = healthy();
  stalled.replication_stalled_ms = 900;
  run(seconds(1), stalled);
  EXPECT_EQ(suspicion(), Suspicion::kReplicationStalled);
  monitor_.set_expectation(4, false);
  stalled.term = 4;
  run(seconds(1), stalled);
  EXPECT_EQ(suspicion(), std::nullopt);
}

TEST_F(DatabaseMonitorTest, PrimaryFencedAtALaterTermIsNotSuspected) {
  database::StatusAnswer fenced = healthy();
  fenced.role = database::Role::kFenced;
  fenced.term = 4;
  run(seconds(1), fenced);
  EXPECT_EQ(suspicion(), std::nullopt);
  fenced.term = 3;
  run(seconds(1), fenced);
  EXPECT_EQ(suspicion(), Suspicion::kNotPrimary);
}

}  // namespace
}  // namespace pipitpond::failover
