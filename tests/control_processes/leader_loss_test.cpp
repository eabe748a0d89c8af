// Loss of the control leader with real processes: killed, frozen (SIGSTOP) and thawed, all processes killed,
// and graceful shutdown.
#include <gtest/gtest.h>

#include <future>
#include <vector>

#include "control_processes/control_cluster.hpp"

namespace pipitpond::testing {
namespace {

TEST(ControlProcesses, KilledLeaderIsReplacedWithoutLossOfCommittedChanges) {
  ControlCluster cluster;
  const std::size_t first = cluster.wait_for_leader();
  ASSERT_TRUE(accepted(cluster.put_zone(first, "hall-1", 0, "k1", "before")));

  cluster.kill(first);
  const auto others = ControlCluster::other_machines(first);
  const std::size_t second = cluster.wait_for_leader(others);
  EXPECT_NE(first, second);
  for (const std::size_t machine : others) {
    EXPECT_EQ(cluster.region(machine, "hall-1"), "before");
  }
  ASSERT_TRUE(accepted(cluster.put_zone(others[0], "hall-2", 0, "k2", "after")));

  cluster.start(first);
  EXPECT_TRUE(wait_for([&] { return cluster.region(first, "hall-2") == "after"; }));
}

TEST(ControlProcesses, ThawedLeaderServesNoStaleReads) {
  ControlCluster cluster;
  const std::size_t frozen = cluster.wait_for_leader();
  const auto created = cluster.put_zone(frozen, "hall-1", 0, "k1", "old");
  ASSERT_TRUE(accepted(created));
  const std::uint64_t old_revision = revision_of(created);

  cluster.freeze(frozen);
  const auto others = ControlCluster::other_machines(frozen);
  cluster.wait_for_leader(others);
  ASSERT_TRUE(accepted(cluster.put_zone(others[0], "hall-1", old_revision, "k2", "new")));

  // Sent while it is frozen, so that it reads them before it learns of the new leader.
  constexpr int kReads = 8;
  std::vector<std::future<std::string>> reads;
  reads.reserve(kReads);
  for (int read = 0; read < kReads; ++read) {
    reads.push_back(std::async(std::launch::async, [&] { return cluster.region(frozen, "hall-1"); }));
  }
  auto stale_write = std::async(std::launch::async, [&] {
    return cluster.put_zone(frozen, "hall-1", old_revision, "k3", "overwritten");
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cluster.thaw(frozen);

  for (auto& read : reads) {
    EXPECT_NE(read.get(), "old");
  }
  EXPECT_FALSE(accepted(stale_write.get()));
  EXPECT_TRUE(wait_for([&] { return cluster.region(frozen, "hall-1") == "new"; }));
}

TEST(ControlProcesses, ChangesSurviveTheLossOfAllProcesses) {
  ControlCluster cluster;
  constexpr int kChanges = 20;
  for (int change = 0; change < kChanges; ++change) {
    const std::string number = std::to_string(change);
    ASSERT_TRUE(accepted(cluster.put_zone(static_cast<std::size_t>(change) % ControlCluster::kMachines,
                                          "zone-" + number, 0, "k" + number)));
  }
  const auto resent_before = cluster.put_zone(0, "zone-7", 0, "k7");
  for (std::size_t machine = 0; machine < ControlCluster::kMachines; ++machine) {
    cluster.kill(machine);
  }
  for (std::size_t machine = 0; machine < ControlCluster::kMachines; ++machine) {
    cluster.start(machine);
  }
  cluster.wait_for_leader();
  for (int change = 0; change < kChanges; ++change) {
    EXPECT_EQ(cluster.region(0, "zone-" + std::to_string(change)), "kingston");
  }
  const auto resent_after = cluster.put_zone(1, "zone-7", 0, "k7");
  EXPECT_NE(revision_of(resent_after), 0U);
  EXPECT_EQ(revision_of(resent_after), revision_of(resent_before));
}

TEST(ControlProcesses, GracefulShutdownOfTheLeaderFailsNoOperatorRequest) {
  ControlCluster cluster;
  const std::size_t leader = cluster.wait_for_leader();
  constexpr int kWriters = 4;
  constexpr int kChangesEach = 25;
  std::vector<std::future<int>> writers;
  writers.reserve(kWriters);
  const auto others = ControlCluster::other_machines(leader);
  for (int writer = 0; writer < kWriters; ++writer) {
    // Each half of the writers uses one follower, which forwards the changes to the leader.
    writers.push_back(std::async(std::launch::async, [&, writer] {
      int refused = 0;
      for (int change = 0; change < kChangesEach; ++change) {
        const std::string zone = "zone-" + std::to_string(writer) + "-" + std::to_string(change);
        refused +=
            accepted(cluster.put_zone(others[static_cast<std::size_t>(writer % 2)], zone, 0, zone)) ? 0 : 1;
      }
      return refused;
    }));
  }
  // It can't be committed while the followers are frozen, so it is still in progress when the stop begins.
  for (const std::size_t follower : others) {
    cluster.freeze(follower);
  }
  auto waiting = std::async(std::launch::async, [&] { return cluster.put_zone(leader, "hall-1", 0, "k"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  for (const std::size_t follower : others) {
    cluster.thaw(follower);
  }
  EXPECT_EQ(cluster.stop(leader), 0);
  EXPECT_TRUE(accepted(waiting.get()));
  for (auto& writer : writers) {
    EXPECT_EQ(writer.get(), 0);
  }
}

}  // namespace
}  // namespace pipitpond::testing
