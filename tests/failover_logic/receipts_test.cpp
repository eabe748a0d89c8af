// Changes of primary in groups that acknowledge a write once one replica has received it.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "failover/coordinator.hpp"
#include "failover/group_coordinator.hpp"
#include "failover/primary_choice.hpp"

namespace pipitpond::failover {
namespace {

using std::chrono::milliseconds;

FencedMember fenced(const std::string& id, std::uint64_t index, bool leaving = false) {
  FencedMember member;
  member.database = core::DatabaseId(id);
  member.received = {1, index};
  member.leaving = leaving;
  return member;
}

TEST(ChooseWithReceiptsTest, AllButOneMustBeFenced) {
  EXPECT_EQ(fences_needed(3, 1), 2U);
  EXPECT_EQ(fences_needed(4, 1), 3U);
  EXPECT_EQ(fences_needed(5, 1), 4U) << "a majority of 3 could miss the one replica that has a write";
  EXPECT_EQ(fences_needed(1, 1), 1U);
  EXPECT_FALSE(choose_primary({fenced("b", 9), fenced("c", 9)}, 4, 1));
}

TEST(ChooseWithReceiptsTest, TheFurthestOfTheFencedLeads) {
  EXPECT_EQ(choose_primary({fenced("b", 8), fenced("c", 9)}, 3, 1), core::DatabaseId("c"));
}

TEST(ChooseWithReceiptsTest, ALeavingReplicaLeadsOnlyWhenItAloneIsSafe) {
  EXPECT_EQ(choose_primary({fenced("b", 8), fenced("c", 9, true)}, 3, 1), core::DatabaseId("c"));
  EXPECT_EQ(choose_primary({fenced("b", 9), fenced("c", 9, true)}, 3, 1), core::DatabaseId("b"));
}

// The oracle: logs of a primary and its replicas, of which each commit that was acknowledged is on the
// primary and one replica at least. Whoever is chosen of any set that is fenced has every acknowledged
// commit.
RC_GTEST_PROP(ChooseWithReceiptsProperty, TheChosenOneHasEveryAcknowledgedWrite, ()) {
  const auto size = static_cast<std::size_t>(*rc::gen::inRange(2, 6));
  const auto lengths =
      *rc::gen::container<std::vector<std::uint64_t>>(size, rc::gen::inRange<std::uint64_t>(0, 20));
  std::vector<std::uint64_t> received = lengths;
  received[0] = *std::max_element(lengths.begin(), lengths.end()) + *rc::gen::inRange<std::uint64_t>(0, 3);
  const std::uint64_t acknowledged = *std::max_element(received.begin() + 1, received.end());
  std::vector<FencedMember> members;
  for (std::size_t number = 0; number < size; ++number) {
    if (*rc::gen::arbitrary<bool>()) {
      members.push_back(fenced(std::to_string(number), received[number], *rc::gen::arbitrary<bool>()));
    }
  }
  const auto chosen = choose_primary(members, size, 1);
  if (chosen) {
    RC_ASSERT(received.at(std::stoul(chosen->value())) >= acknowledged);
  }
}

/// Databases on the platform as the coordinator meets them: held or demoted instead of fenced, promoted from
/// outside.
class ReceiptsTest : public testing::Test {
 protected:
  struct Database {
    bool reachable = true;
    bool primary = false;
    core::LogPosition received{1, 50};
  };

  ReceiptsTest() : coordinator_([this](core::Instant, protocol::Revision) { return followed_; }) {
    group_.name = core::GroupName("g");
    group_.self_registered = true;
    group_.sync_replicas = 1;
    std::uint16_t port = 7000;
    for (const char* id : {"a", "b", "c"}) {
      protocol::Database database;
      database.id = core::DatabaseId(id);
      database.endpoint = {"127.0.0.1", ++port};
      database.connection_limit = 30;
      database.max_owners = 10;
      group_.databases.push_back(database);
    }
    databases_["a"].primary = true;
    for (const char* id : {"d1", "d2", "d3", "d4"}) {
      configuration_.daemons[core::DaemonId(id)].id = core::DaemonId(id);
    }
    commit();
    coordinator_.on_leadership(now_, true);
  }

  void commit() {
    ++configuration_.revision;
    configuration_.groups[group_.name] = group_;
    coordinator_.on_configuration(now_, configuration_);
  }

  [[nodiscard]] std::string primary() const {
    return group_.terms.empty() ? "" : group_.terms.back().primary.value();
  }

  void suspect(const std::string& id, int daemons, protocol::Suspicion suspicion) {
    for (int number = 1; number <= 4; ++number) {
      std::vector<protocol::SuspicionReport> reports;
      if (number <= daemons) {
        reports.push_back(
            protocol::SuspicionReport{core::DatabaseId(id), suspicion, group_.terms.back().term, 0});
      }
      coordinator_.on_suspicions(now_, core::DaemonId("d" + std::to_string(number)), reports);
    }
  }

  void run(core::Duration duration, int suspecting = 0,
           protocol::Suspicion suspicion = protocol::Suspicion::kUnreachable) {
    const core::Instant end = now_ + duration;
    while (now_ < end) {
      now_ += kTickInterval;
      if (!primary().empty()) {
        suspect("a", primary() == "a" ? suspecting : 0, suspicion);
      }
      coordinator_.tick(now_);
      for (const Effect& effect : coordinator_.take_effects()) {
        std::visit([this](const auto& one) { carry_out(one); }, effect);
      }
    }
  }

  void carry_out(const ProbeDatabase& probe) {
    const Database& database = databases_[probe.database.value()];
    if (!database.reachable) {
      coordinator_.on_probe_failed(now_, probe.database);
      return;
    }
    database::StatusAnswer answer;
    answer.database = probe.database;
    answer.role = database.primary ? database::Role::kPrimary : database::Role::kReplica;
    answer.term = 1;
    answer.received = database.received;
    answer.committed = database.received;
    coordinator_.on_probe_answer(now_, answer);
  }
  void carry_out(const FenceDatabase& fence) {
    Database& database = databases_[fence.database.value()];
    if (!database.reachable) {
      coordinator_.on_fence_failed(now_, fence.group, fence.database, fence.term);
      return;
    }
    database.primary = false;
    coordinator_.on_fence_answer(now_, fence.group,
                                 database::FenceAnswer{fence.database, fence.term, database.received, false});
  }
  void carry_out(const PromoteDatabase& promote) {
    promoted_.push_back(promote.database.value());
    databases_[promote.database.value()].primary = true;
    coordinator_.on_promote_answer(now_, promote.group,
                                   database::PromoteAnswer{promote.database, promote.term,
                                                           databases_[promote.database.value()].received});
  }
  void carry_out(const ProposeBeginPrimaryChange& begin) {
    group_.terms.push_back(protocol::TermStart{begin.new_term, {}, {}});
    commit();
  }
  void carry_out(const ProposeCompletePrimaryChange& complete) {
    group_.terms.back().primary = complete.primary;
    commit();
  }
  void carry_out(const ProposeAdoptPrimary& adopt) {
    group_.terms.push_back(protocol::TermStart{adopt.term, adopt.primary, {}});
    commit();
  }
  void carry_out(const ProposeRemoveDatabase& remove) {
    std::erase_if(group_.databases, [&](const protocol::Database& one) { return one.id == remove.database; });
    commit();
  }

  core::Instant now_ = core::Instant(std::chrono::hours(1));
  bool followed_ = true;
  Coordinator coordinator_;
  protocol::Configuration configuration_;
  protocol::Group group_;
  std::map<std::string, Database> databases_;
  std::vector<std::string> promoted_;
};

TEST_F(ReceiptsTest, ThePrimaryThatIsThereIsAdopted) {
  run(milliseconds(500));
  EXPECT_EQ(primary(), "a");
  EXPECT_TRUE(promoted_.empty());
}

TEST_F(ReceiptsTest, ADeadPrimaryIsReplacedByTheFurthestReplica) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  databases_["b"].received = {1, 60};
  run(milliseconds(2000), 4);
  EXPECT_EQ(primary(), "b");
}

TEST_F(ReceiptsTest, NoPrimaryIsNamedWhileADaemonMayTrustTheOldOne) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  followed_ = false;
  run(milliseconds(3000), 4);
  EXPECT_EQ(primary(), "") << "promoted, but not yet given any write";
  EXPECT_FALSE(promoted_.empty());
  followed_ = true;
  run(milliseconds(500), 4);
  EXPECT_NE(primary(), "");
}

TEST_F(ReceiptsTest, OneReplicaAloneIsNotPromoted) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  databases_["c"].reachable = false;
  run(milliseconds(5000), 4);
  EXPECT_TRUE(promoted_.empty()) << "the other replica may hold the only receipt of a write";
  databases_["c"].reachable = true;
  run(milliseconds(2000), 4);
  EXPECT_NE(primary(), "a");
  EXPECT_FALSE(promoted_.empty());
}

TEST_F(ReceiptsTest, APrimaryThatSomeDaemonsAndTheLeaderHaveLostIsReplaced) {
  run(milliseconds(500));
  databases_["a"].reachable = false;
  run(milliseconds(3000), 1);
  EXPECT_NE(primary(), "a");
}

TEST_F(ReceiptsTest, APrimaryThatOnlySomeDaemonsHaveLostStays) {
  run(milliseconds(500));
  run(milliseconds(3000), 2);
  EXPECT_EQ(primary(), "a");
}

TEST_F(ReceiptsTest, APrimaryWithoutReceiptsIsReplaced) {
  run(milliseconds(500));
  databases_["a"].received = {1, 70};
  run(milliseconds(3000), 3, protocol::Suspicion::kReplicationStalled);
  EXPECT_NE(primary(), "a");
}

TEST_F(ReceiptsTest, OneWriterIsEnoughToTellOfMissingReceipts) {
  run(milliseconds(500));
  databases_["a"].received = {1, 70};
  run(milliseconds(3000), 1, protocol::Suspicion::kReplicationStalled);
  EXPECT_NE(primary(), "a");
}

TEST_F(ReceiptsTest, AStallIsToldOfAPrimaryThatANewLeaderHasNeverSeen) {
  // Bench, bmsac-archive scale-1: a new leader of control ended with signal 11.
  run(milliseconds(500));
  coordinator_.on_leadership(now_, false);
  coordinator_.on_leadership(now_, true);
  databases_["a"].reachable = false;
  run(milliseconds(1000), 1, protocol::Suspicion::kReplicationStalled);
  EXPECT_EQ(primary(), "a");
}

TEST_F(ReceiptsTest, AStallThatTheLeaderDoesNotSeeChangesNothing) {
  run(milliseconds(500));
  run(milliseconds(3000), 2, protocol::Suspicion::kReplicationStalled);
  EXPECT_EQ(primary(), "a");
}

TEST_F(ReceiptsTest, ALeavingPrimaryIsReplacedSoon) {
  run(milliseconds(500));
  group_.databases[0].draining = true;
  commit();
  run(milliseconds(1500));
  EXPECT_NE(primary(), "a");
  EXPECT_NE(primary(), "");
}

TEST_F(ReceiptsTest, ADepartedReplicaCountsUntilAnotherHasCaughtUp) {
  run(milliseconds(500));
  databases_["a"].received = {1, 80};
  databases_["b"].received = {1, 60};
  databases_["c"].reachable = false;
  group_.databases[2].departed = true;
  commit();
  run(milliseconds(3000));
  EXPECT_EQ(group_.databases.size(), 3U) << "its log may hold the only receipt of a write";
  databases_["b"].received = {1, 80};
  run(milliseconds(1000));
  EXPECT_EQ(group_.databases.size(), 2U);
}

}  // namespace
}  // namespace pipitpond::failover
