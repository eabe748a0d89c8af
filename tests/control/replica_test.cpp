#include "control/replica.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "control/memory_cluster.hpp"
#include "control/run_coroutine.hpp"

namespace pipitpond::control {
namespace {

using namespace std::chrono_literals;
using configuration::Command;
using configuration::CommandResult;

constexpr core::Duration kTimeout = 10s;

class ReplicaTest : public ::testing::Test {
 protected:
  static Command put_zone(const std::string& name, const std::string& key, protocol::Revision expected = 0,
                          const std::string& region = "kigali") {
    return Command{core::RequestKey(key), expected,
                   configuration::PutZone{core::ZoneName(name), core::RegionName(region)}};
  }

  core::Result<CommandResult> propose(const std::string& name, Command command) {
    return run(io, cluster.replica(name).propose(std::move(command), kTimeout));
  }

  std::string any_follower(const std::string& leader) { return leader == "c1" ? "c2" : "c1"; }

  boost::asio::io_context io;
  MemoryCluster cluster{io};
};

TEST_F(ReplicaTest, PartitionedLeaderServesNoStaleReadsAndRejoinsAsAFollower) {
  const std::string old_leader = cluster.wait_for_leader();
  ASSERT_TRUE(propose(old_leader, put_zone("gasabo", "k1")));
  cluster.partition(old_leader);
  const auto read = run(io, cluster.replica(old_leader).read_barrier(kTimeout));
  EXPECT_FALSE(read);
  const std::string new_leader = cluster.wait_for_leader();
  ASSERT_NE(new_leader, old_leader);
  ASSERT_TRUE(propose(new_leader, put_zone("gasabo", "k2", 1, "north")));
  EXPECT_FALSE(run(io, cluster.replica(old_leader).read_barrier(kTimeout)));
  EXPECT_EQ(cluster.replica(old_leader).machine().configuration().revision, 1U);

  const auto term = cluster.replica(new_leader).node().term();
  cluster.heal(old_leader);
  ASSERT_TRUE(
      run_until(io, [&] { return cluster.replica(old_leader).machine().configuration().revision == 2; }));
  EXPECT_EQ(cluster.wait_for_leader(), new_leader);
  EXPECT_EQ(cluster.replica(new_leader).node().term(), term);
}

TEST_F(ReplicaTest, LeaderWithAFullDiskStepsDownAndRejoinsOnceThereIsSpace) {
  const std::string full = cluster.wait_for_leader();
  ASSERT_TRUE(propose(full, put_zone("gasabo", "k1")));
  cluster.disk(full).set_full(true);
  EXPECT_FALSE(propose(full, put_zone("gasabo", "k2", 1, "north")));
  ASSERT_TRUE(cluster.replica(full).disk_full());
  EXPECT_FALSE(cluster.replica(full).leading());
  const auto refused = propose(full, put_zone("gasabo", "k3", 1, "south"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, core::ErrorKind::kUnavailable);
  EXPECT_FALSE(run(io, cluster.replica(full).read_barrier(kTimeout)));

  const std::string leader = cluster.wait_for_leader();
  ASSERT_NE(leader, full);
  // With the same key it applies once, whether or not the first attempt has reached another replica.
  ASSERT_TRUE(propose(leader, put_zone("gasabo", "k2", 1, "north")));
  ASSERT_TRUE(propose(leader, put_zone("kicukiro", "k4", 0)));
  EXPECT_EQ(cluster.replica(full).machine().configuration().revision, 1U);

  cluster.disk(full).set_full(false);
  ASSERT_TRUE(run_until(io, [&] { return cluster.replica(full).machine().configuration().revision == 3; }));
  EXPECT_FALSE(cluster.replica(full).disk_full());
}

// Guards against a log that grows with the number of changes. 92 changes of a table of 1,340 routes made a
// log of 28 MB, which took 1.8 s to read and apply after a power failure; no daemon had a configuration until
// then. Ten times as many would have taken longer to apply than users wait, and filled a disk of 128 MB.
TEST_F(ReplicaTest, ReplayAtARestartIsBoundedByTheStateSizeNotTheNumberOfChanges) {
  constexpr std::uint64_t kTables = 40;
  constexpr std::size_t kDocumentBytes = 300'000;
  const std::string leader = cluster.wait_for_leader();
  for (std::uint64_t version = 1; version <= kTables; ++version) {
    configuration::PutRouteTable put;
    put.table.version = version;
    put.document = std::string(kDocumentBytes, 'x');
    const auto result = propose(leader, Command{{}, 0, std::move(put)});
    ASSERT_TRUE(result);
    ASSERT_FALSE(result.value().error);
  }
  const raft::PersistedState& state = cluster.disk(leader).state();
  std::vector<raft::Entry> replayed;
  std::copy_if(state.entries.begin(), state.entries.end(), std::back_inserter(replayed),
               [&](const raft::Entry& entry) { return entry.index > state.snapshot.index; });
  EXPECT_LT(raft::size_of(replayed), kCompactAfterBytes + 2 * kDocumentBytes);
  const raft::Log& log = cluster.replica(leader).node().log();
  EXPECT_LT(raft::size_of(log.range(log.first_index(), log.last_index())),
            raft::Config{}.trailing_bytes + kCompactAfterBytes + 2 * kDocumentBytes);
  cluster.stop(leader);
  cluster.start(leader);
  ASSERT_TRUE(run_until(
      io, [&] { return cluster.replica(leader).machine().configuration().routes.version == kTables; }));
}

TEST_F(ReplicaTest, FollowerWithAFullDiskAcknowledgesNoEntries) {
  const std::string leader = cluster.wait_for_leader();
  const std::string full = any_follower(leader);
  const std::string third = leader == "c3" || full == "c3" ? "c2" : "c3";
  cluster.disk(full).set_full(true);
  ASSERT_TRUE(propose(leader, put_zone("gasabo", "k1")));
  ASSERT_TRUE(run_until(io, [&] { return cluster.replica(full).disk_full(); }));
  cluster.partition(third);
  EXPECT_FALSE(propose(leader, put_zone("kicukiro", "k2")))
      << "only a replica with a full disk is left to complete a majority";
  cluster.heal(third);
  cluster.disk(full).set_full(false);
  const std::string next = cluster.wait_for_leader();
  ASSERT_TRUE(propose(next, put_zone("kicukiro", "k2")));
  ASSERT_TRUE(run_until(io, [&] { return cluster.replica(full).machine().configuration().revision == 2; }));
}

TEST_F(ReplicaTest, ChangeWithoutAQuorumHasAnUnknownOutcomeAndItsResendAppliesOnce) {
  const std::string old_leader = cluster.wait_for_leader();
  cluster.partition(old_leader);
  const auto lost = propose(old_leader, put_zone("gasabo", "k1"));
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().kind, core::ErrorKind::kTimeout);
  const std::string new_leader = cluster.wait_for_leader();
  const auto first = propose(new_leader, put_zone("gasabo", "k1"));
  ASSERT_TRUE(first);
  cluster.heal(old_leader);
  const auto again = propose(new_leader, put_zone("gasabo", "k1"));
  ASSERT_TRUE(again);
  EXPECT_TRUE(again.value().replayed);
  EXPECT_EQ(again.value().revision, first.value().revision);
  EXPECT_EQ(cluster.replica(new_leader).machine().configuration().revision, 1U);
}

TEST_F(ReplicaTest, FollowerNeitherAcceptsProposalsNorConfirmsReads) {
  const std::string follower = any_follower(cluster.wait_for_leader());
  EXPECT_EQ(propose(follower, put_zone("gasabo", "k1")).error().kind, core::ErrorKind::kNotLeader);
  EXPECT_FALSE(run(io, cluster.replica(follower).read_barrier(kTimeout)));
}

TEST_F(ReplicaTest, EverythingSurvivesARestartOfAllReplicas) {
  std::string leader = cluster.wait_for_leader();
  const auto first = propose(leader, put_zone("gasabo", "k1"));
  ASSERT_TRUE(first);
  for (const std::string& name : cluster.names()) {
    cluster.stop(name);
  }
  for (const std::string& name : cluster.names()) {
    cluster.start(name);
  }
  leader = cluster.wait_for_leader();
  const auto again = propose(leader, put_zone("gasabo", "k1"));
  ASSERT_TRUE(again);
  EXPECT_TRUE(again.value().replayed);
  EXPECT_EQ(again.value().revision, first.value().revision);
}

TEST_F(ReplicaTest, ConcurrentCommandsShareDiskSyncs) {
  const std::string leader = cluster.wait_for_leader();
  const auto before = cluster.replica(leader).syncs();
  constexpr int kCommands = 200;
  std::vector<std::optional<core::Result<CommandResult>>> results(kCommands);
  for (int number = 0; number < kCommands; ++number) {
    const std::string name = "zone-" + std::to_string(number);
    auto proposal = cluster.replica(leader).propose(put_zone(name, "key-" + name), kTimeout);
    boost::asio::co_spawn(io, store(std::move(proposal), results.at(number)), boost::asio::detached);
  }
  const auto accepted = [](const auto& result) { return result.has_value() && result->has_value(); };
  ASSERT_TRUE(run_until(io, [&] { return std::all_of(results.begin(), results.end(), accepted); }));
  EXPECT_LT(cluster.replica(leader).syncs() - before, 20U);
}

TEST_F(ReplicaTest, ReplicaThatMissedThousandsOfChangesCatchesUpBySnapshot) {
  const std::string leader = cluster.wait_for_leader();
  const std::string follower = any_follower(leader);
  cluster.stop(follower);
  constexpr int kChanges = 6000;
  protocol::Revision revision = 0;
  for (int number = 0; number < kChanges; ++number) {
    const std::string text = std::to_string(number);
    const auto result = propose(leader, put_zone("gasabo", "key-" + text, revision, "region-" + text));
    ASSERT_TRUE(result);
    revision = result.value().revision;
  }
  cluster.start(follower);
  ASSERT_TRUE(run_until(
      io, [&] { return cluster.replica(follower).machine().configuration().revision == kChanges; }));
  EXPECT_EQ(cluster.replica(follower).machine().snapshot(), cluster.replica(leader).machine().snapshot());
}

}  // namespace
}  // namespace pipitpond::control
