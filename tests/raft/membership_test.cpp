// Membership of raft::Node: learners, removal, and the return of a replica whose disk was lost.
#include <gtest/gtest.h>

#include "raft/cluster.hpp"
#include "raft/node.hpp"

namespace pipitpond::raft {
namespace {

using std::chrono::milliseconds;
using testing::Cluster;
using testing::member;
using testing::replica;

MembershipChange add(const core::ControlId& id) {
  return {MembershipAction::kAddLearner, member(id, MemberRole::kLearner)};
}

TEST(Membership, LearnerBecomesVoterOnceCaughtUp) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  ASSERT_TRUE(cluster.elect().propose_membership(cluster.now, add(replica(4))).has_value());
  cluster.run_for(milliseconds(2000));
  // Nobody answers at its place yet.
  EXPECT_FALSE(cluster.leader()->membership().is_voter(replica(4)));
  cluster.start(replica(4), {});
  ASSERT_TRUE(cluster.run_until([&] { return cluster.leader()->membership().is_voter(replica(4)); }));
  EXPECT_EQ(cluster.at(replica(4)).applied, std::vector<std::string>{"a"});
}

TEST(Membership, LearnerBecomesVoterAlsoWhileReadsKeepComing) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  ASSERT_TRUE(cluster.elect().propose_membership(cluster.now, add(replica(4))).has_value());
  cluster.start(replica(4), {});
  ReadToken token = 1;
  EXPECT_TRUE(cluster.run_until([&] {
    (void)cluster.leader()->read_index(cluster.now, token++);
    return cluster.leader()->membership().is_voter(replica(4));
  }));
}

TEST(Membership, OneChangeAtATime) {
  Cluster cluster(3);
  auto& leader = cluster.elect();
  ASSERT_TRUE(leader.propose_membership(cluster.now, add(replica(4))).has_value());
  const auto second = leader.propose_membership(cluster.now, add(replica(5)));
  ASSERT_TRUE(second.has_failure());
  EXPECT_EQ(second.error().kind, core::ErrorKind::kConflict);
}

TEST(Membership, RemovedReplicaNeverStandsAgain) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.leader()->config().id;
  const auto removed = leader == replica(1) ? replica(2) : replica(1);
  ASSERT_TRUE(cluster.leader()
                  ->propose_membership(cluster.now, {MembershipAction::kRemove, member(removed)})
                  .has_value());
  cluster.run_for(milliseconds(3000));
  EXPECT_EQ(cluster.node(removed).role(), Role::kFollower);
  EXPECT_EQ(cluster.leader()->membership().members.size(), 2U);
  EXPECT_EQ(cluster.leader()->config().id, leader);
}

TEST(Membership, ReplicaWithLostDiskReturnsAsLearnerInItsPlace) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.leader()->config().id;
  const auto lost = leader == replica(1) ? replica(2) : replica(1);
  cluster.stop(lost);

  auto newcomer = member(core::ControlId(lost.value() + "#2"), MemberRole::kLearner);
  newcomer.internal = member(lost).internal;
  cluster.start(newcomer.id, {});
  // Refused while the lost replica may still be alive, then let in.
  cluster.leader()->step(cluster.now, cluster.node(newcomer.id).join_request(newcomer));
  EXPECT_EQ(cluster.leader()->membership().find(newcomer.id), nullptr);
  ASSERT_TRUE(cluster.run_until([&] {
    cluster.elect().step(cluster.now, cluster.node(newcomer.id).join_request(newcomer));
    const auto& membership = cluster.leader()->membership();
    return membership.is_voter(newcomer.id) && membership.find(lost) == nullptr &&
           !cluster.leader()->membership_change_pending();
  }));
  EXPECT_EQ(cluster.leader()->membership().members.size(), 3U);

  // The second machine is lost right after the first was repaired: all that was committed is still there.
  const auto second = cluster.leader()->config().id;
  cluster.cut(second);
  ASSERT_TRUE(cluster.commit("b"));
  EXPECT_EQ(cluster.at(newcomer.id).applied, (std::vector<std::string>{"a", "b"}));
}

// What users saw: control did not come back after a loss of all power with one disk, for good. Order of
// events: one of three replicas lost its disk and returned; all of control was killed twice and returned;
// then everything lost power and a second disk was lost. Cause: the leader let the returned replica take its
// own earlier self's place only after that had been silent for four of the longest election timeouts, counted
// anew by each leader. So the replica could be no voter yet when the second disk went, and no majority was
// left. Evidence: logs of two failed runs of a fleet of processes show leaders of four terms within 13 s, and
// after the loss one replica that stands for election alone, 83 and 84 times in 30 s; with one election
// timeout of silence 6 of 6 runs came back, without it 3 of 6.
TEST(Membership, ReplicaWithLostDiskIsAVoterAgainUnderAShortLivedLeader) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.leader()->config().id;
  const auto lost = leader == replica(1) ? replica(2) : replica(1);
  cluster.stop(lost);
  auto newcomer = member(core::ControlId(lost.value() + "#2"), MemberRole::kLearner);
  newcomer.internal = member(lost).internal;
  cluster.start(newcomer.id, {});

  // Its driver asks each 100 ms.
  const auto begun = cluster.now;
  auto next_request = cluster.now;
  const auto in_its_place = [&] {
    Node* present = cluster.leader();
    if (present != nullptr && cluster.now >= next_request) {
      next_request = cluster.now + milliseconds(100);
      present->step(cluster.now, cluster.node(newcomer.id).join_request(newcomer));
    }
    return present != nullptr && present->membership().is_voter(newcomer.id) &&
           present->membership().find(lost) == nullptr && !present->membership_change_pending();
  };
  ASSERT_TRUE(cluster.run_until(in_its_place));
  // A leader that stays for a second is enough: leaders that are elected after a loss of power do.
  EXPECT_LE(cluster.now - begun, milliseconds(1000));

  // The second disk goes; what is left is a majority.
  cluster.stop(leader);
  ASSERT_TRUE(cluster.run_until([&] { return cluster.leader() != nullptr; }));
  EXPECT_EQ(cluster.elect().membership().voter_count(), 3U);
}

TEST(Membership, LearnerWhoseAdditionWasLostAsksAgain) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  auto& leader = cluster.elect();
  const auto first = leader.config().id;
  for (int number = 1; number <= 3; ++number) {
    if (replica(number) != first) cluster.cut(replica(number));
  }
  // Only the newcomer hears that it is added; the others elect a leader who knows nothing of it.
  cluster.start(replica(4), {});
  EXPECT_TRUE(cluster.node(replica(4)).wants_to_join());
  ASSERT_TRUE(leader.propose_membership(cluster.now, add(replica(4))).has_value());
  ASSERT_TRUE(cluster.run_until([&] { return !cluster.node(replica(4)).wants_to_join(); }));
  cluster.cut(first);
  for (int number = 1; number <= 3; ++number) {
    if (replica(number) != first) cluster.heal(replica(number));
  }
  EXPECT_EQ(cluster.elect().membership().find(replica(4)), nullptr);
  ASSERT_NE(cluster.node(replica(4)).membership().find(replica(4)), nullptr);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.node(replica(4)).wants_to_join(); }));
}

TEST(Membership, StrangerIsNotLetIn) {
  Cluster cluster(3);
  auto& leader = cluster.elect();
  cluster.run_for(milliseconds(5000));
  leader.step(cluster.now, Message{"test", replica(9), {}, 0, JoinRequest{member(replica(9))}});
  EXPECT_EQ(leader.membership().find(replica(9)), nullptr);
}

// --- Open membership
// ----------------------------------------------------------------------------------------------

/// A replica with an empty disk asks to join until it is a voter.
bool joins(Cluster& cluster, const core::ControlId& id) {
  cluster.start(id, {});
  return cluster.run_until([&] {
    Node& leader = cluster.elect();
    leader.step(cluster.now, cluster.node(id).join_request(member(id, MemberRole::kLearner)));
    return leader.membership().is_voter(id);
  });
}

TEST(OpenMembership, AStrangerJoinsByItself) {
  Cluster cluster(3, true);
  ASSERT_TRUE(cluster.commit("a"));
  ASSERT_TRUE(joins(cluster, replica(4)));
  ASSERT_TRUE(joins(cluster, replica(5)));
  EXPECT_EQ(cluster.elect().membership().voter_count(), 5U);
  EXPECT_EQ(cluster.at(replica(5)).applied, std::vector<std::string>{"a"});
}

TEST(OpenMembership, WithoutItAStrangerStaysOutside) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  cluster.start(replica(4), {});
  cluster.elect().step(cluster.now,
                       cluster.node(replica(4)).join_request(member(replica(4), MemberRole::kLearner)));
  cluster.run_for(milliseconds(1000));
  EXPECT_EQ(cluster.elect().membership().find(replica(4)), nullptr);
}

TEST(OpenMembership, MachinesThatAreGoneForGoodDoNotAddUp) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  for (int number = 6; number <= 9; ++number) {
    const auto leader = cluster.elect().config().id;
    const auto gone = leader == replica(number - 5) ? replica(number - 4) : replica(number - 5);
    cluster.stop(gone);
    ASSERT_TRUE(joins(cluster, replica(number))) << number;
    cluster.run_for(milliseconds(14'000));
    EXPECT_EQ(cluster.elect().membership().find(gone), nullptr) << number;
  }
  EXPECT_TRUE(cluster.commit("b"));
}

/// Hands leadership to another replica.
void change_leader(Cluster& cluster) {
  const auto before = cluster.elect().config().id;
  ASSERT_TRUE(cluster.elect().transfer_leadership(cluster.now).has_value());
  ASSERT_TRUE(cluster.run_until([&] {
    Node* leader = cluster.leader();
    return leader != nullptr && leader->config().id != before && leader->has_committed_in_current_term();
  }));
}

/// Three of five machines are replaced by empty ones at new addresses, one each `interval`, and a fourth
/// loses its disk: true when the four that are left elect a leader.
bool outlives_three_replacements(milliseconds interval, bool leaders_change) {
  Cluster cluster(5, true);
  std::vector<core::ControlId> running = {replica(1), replica(2), replica(3), replica(4), replica(5)};
  for (int number = 6; number <= 8; ++number) {
    const auto end = cluster.now + interval;
    const auto leader = cluster.elect().config().id;
    const auto gone =
        std::find_if(running.begin(), running.end(), [&](const auto& id) { return id != leader; });
    cluster.stop(*gone);
    running.erase(gone);
    if (!joins(cluster, replica(number))) return false;
    running.push_back(replica(number));
    cluster.run_for(interval / 2);
    if (leaders_change) change_leader(cluster);
    cluster.run_for(std::chrono::duration_cast<milliseconds>(end - cluster.now));
  }
  cluster.stop(cluster.elect().config().id);
  return cluster.run_until([&] { return cluster.leader() != nullptr; });
}

TEST(OpenMembership, MachinesReplacedInARowDoNotAddUp) {
  EXPECT_TRUE(outlives_three_replacements(milliseconds(4'000), false));
}

TEST(OpenMembership, MachinesReplacedWhileLeadersChangeDoNotAddUp) {
  EXPECT_TRUE(outlives_three_replacements(milliseconds(9'000), false));
  EXPECT_TRUE(outlives_three_replacements(milliseconds(9'000), true));
}

TEST(OpenMembership, ANewcomerTakesThePlaceOfAVoterThatIsGone) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.elect().config().id;
  const auto gone = leader == replica(1) ? replica(2) : replica(1);
  cluster.stop(gone);
  cluster.run_for(milliseconds(1'000));
  ASSERT_TRUE(joins(cluster, replica(6)));
  EXPECT_TRUE(cluster.run_until([&] { return cluster.elect().membership().find(gone) == nullptr; },
                                milliseconds(2'500)));
  EXPECT_EQ(cluster.elect().membership().voter_count(), 5U);
  EXPECT_TRUE(cluster.elect().membership().find(replica(6))->replaces.empty());
}

TEST(OpenMembership, ANewcomerThatIsGoneBeforeItVotesDoesNotStay) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  cluster.elect().step(cluster.now, Message{"test", replica(6), {}, 0, JoinRequest{member(replica(6))}});
  ASSERT_NE(cluster.elect().membership().find(replica(6)), nullptr);
  cluster.run_for(milliseconds(8'000));
  EXPECT_EQ(cluster.elect().membership().find(replica(6)), nullptr);
}

TEST(OpenMembership, ANewcomerThatIsSlowToAnswerStaysUnderALeaderOfLongStanding) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  cluster.run_for(milliseconds(20'000));
  cluster.elect().step(cluster.now, Message{"test", replica(6), {}, 0, JoinRequest{member(replica(6))}});
  cluster.run_for(milliseconds(4'000));
  EXPECT_NE(cluster.elect().membership().find(replica(6)), nullptr);
}

TEST(OpenMembership, AVoterThatIsHeardAgainKeepsItsPlaceBesideTheNewcomer) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.elect().config().id;
  const auto away = leader == replica(1) ? replica(2) : replica(1);
  cluster.cut(away);
  cluster.run_for(milliseconds(500));
  ASSERT_TRUE(joins(cluster, replica(6)));
  EXPECT_EQ(cluster.elect().membership().find(replica(6))->replaces, away);
  cluster.heal(away);
  cluster.run_for(milliseconds(20'000));
  EXPECT_TRUE(cluster.elect().membership().is_voter(away));
  EXPECT_EQ(cluster.elect().membership().voter_count(), 6U);
}

TEST(OpenMembership, MembersThatFallSilentOneByOneLeaveAsManyAsTwoLostDisksNeed) {
  constexpr std::size_t kVotersForTwoLosses = 5;
  Cluster cluster(9, true);
  cluster.set_least_voters(kVotersForTwoLosses);
  ASSERT_TRUE(cluster.commit("a"));
  for (int gone = 0; gone < 5; ++gone) {
    const auto leader = cluster.elect().config().id;
    const auto& members = cluster.elect().membership().members;
    const auto silent = std::find_if(members.begin(), members.end(), [&](const Member& each) {
      return each.id != leader && !cluster.is_cut(each.id);
    });
    cluster.cut(silent->id);
    cluster.run_for(milliseconds(10'000));
  }
  EXPECT_EQ(cluster.elect().membership().voter_count(), kVotersForTwoLosses);
}

TEST(OpenMembership, VotersOfASmallerPartThatIsCutOffStay) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.elect().config().id;
  std::vector<core::ControlId> away;
  for (int number = 1; number <= 5 && away.size() < 2; ++number) {
    if (replica(number) != leader) away.push_back(replica(number));
  }
  for (const auto& id : away) cluster.cut(id);
  cluster.run_for(milliseconds(20'000));
  for (const auto& id : away) EXPECT_TRUE(cluster.elect().membership().is_voter(id)) << id;
}

TEST(Membership, AReplicaThatOperatorsNameIsReplacedThoughItLives) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.elect().config().id;
  const auto named = leader == replica(1) ? replica(2) : replica(1);
  auto change = add(replica(4));
  change.member.replaces = named;
  ASSERT_TRUE(cluster.elect().propose_membership(cluster.now, change).has_value());
  cluster.start(replica(4), {});
  EXPECT_TRUE(cluster.run_until([&] {
    const auto& membership = cluster.elect().membership();
    return membership.is_voter(replica(4)) && membership.find(named) == nullptr;
  }));
}

TEST(OpenMembership, ANewLeaderDoesNotTakeLiveVotersForSilentAfterATimeWithoutALeader) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.elect().config().id;
  cluster.stop(leader);
  std::vector<core::ControlId> others;
  for (int number = 1; number <= 5; ++number) {
    if (replica(number) != leader) others.push_back(replica(number));
  }
  for (const auto& id : others) cluster.cut(id);
  cluster.run_for(milliseconds(20'000));
  for (const auto& id : others) cluster.heal(id);
  cluster.elect();
  cluster.run_for(milliseconds(5'000));
  for (const auto& id : others) EXPECT_TRUE(cluster.elect().membership().is_voter(id)) << id;
  EXPECT_EQ(cluster.elect().membership().find(leader), nullptr);
}

TEST(OpenMembership, ASilentVoterStaysWhileTheOthersNeedIt) {
  Cluster cluster(3, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.elect().config().id;
  const auto silent = leader == replica(1) ? replica(2) : replica(1);
  cluster.cut(silent);
  cluster.run_for(milliseconds(20'000));
  EXPECT_NE(cluster.elect().membership().find(silent), nullptr);
}

TEST(OpenMembership, ARemovedVoterThatReturnsJoinsAgain) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.elect().config().id;
  const auto silent = leader == replica(1) ? replica(2) : replica(1);
  cluster.cut(silent);
  ASSERT_TRUE(cluster.run_until([&] { return cluster.elect().membership().find(silent) == nullptr; },
                                milliseconds(20'000)));
  cluster.heal(silent);
  ASSERT_TRUE(cluster.run_until([&] {
    Node& now_leading = cluster.elect();
    if (cluster.node(silent).wants_to_join()) {
      now_leading.step(cluster.now, cluster.node(silent).join_request(member(silent, MemberRole::kLearner)));
    }
    return now_leading.membership().is_voter(silent);
  }));
}

}  // namespace
}  // namespace pipitpond::raft
