// How a replica that is no member finds a leader that lets it in, whom its settings don't name.
#include <gtest/gtest.h>

#include <set>
#include <utility>
#include <vector>

#include "raft/cluster.hpp"
#include "raft/node.hpp"

namespace pipitpond::raft {
namespace {

using std::chrono::milliseconds;
using testing::Cluster;
using testing::member;
using testing::replica;

constexpr milliseconds kAskInterval{100};
/// What a leader that stays for a second must be able to do.
constexpr milliseconds kJoinLimit{1000};

/// Does for one replica what control::Joiner does.
class Asker {
 public:
  Asker(Cluster& cluster, Member self, const std::vector<core::ControlId>& settings)
      : cluster_(cluster), self_(std::move(self)) {
    for (const auto& named : settings) named_.insert(member(named).internal);
  }

  void ask_if_due() {
    const Node& node = cluster_.node(self_.id);
    if (cluster_.now < next_ || !node.wants_to_join()) return;
    next_ = cluster_.now + kAskInterval;
    const auto request = node.join_request(self_);
    std::set<core::Endpoint> asked = named_;
    for (const auto& contact : node.join_endpoints()) asked.insert(contact);
    for (const auto& endpoint : asked) {
      if (endpoint != self_.internal) cluster_.send_to_place(endpoint, request);
    }
  }

  /// True when the replica votes and nobody else has its place.
  bool joins_within(milliseconds limit) {
    return cluster_.run_until(
        [this] {
          ask_if_due();
          Node* leader = cluster_.leader();
          return leader != nullptr && leader->membership().is_voter(self_.id) &&
                 !leader->membership_change_pending();
        },
        limit);
  }

 private:
  Cluster& cluster_;
  Member self_;
  std::set<core::Endpoint> named_;
  core::Instant next_{};
};

std::vector<core::ControlId> all_but(const core::ControlId& one, int count) {
  std::vector<core::ControlId> others;
  for (int number = 1; number <= count; ++number) {
    if (replica(number) != one) others.push_back(replica(number));
  }
  return others;
}

TEST(Joining, AReplicaThatLostItsDiskJoinsAlthoughItsSettingsNameOnlyFollowers) {
  Cluster cluster(5);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.leader()->config().id;
  auto followers = all_but(leader, 5);
  const auto lost = followers.back();
  followers.pop_back();
  cluster.stop(lost);
  auto self = member(core::ControlId(lost.value() + "#2"), MemberRole::kLearner);
  self.internal = member(lost).internal;
  cluster.start(self.id, {});
  EXPECT_TRUE(Asker(cluster, self, followers).joins_within(kJoinLimit));
  EXPECT_EQ(cluster.leader()->config().id, leader);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.leader()->membership().find(lost) == nullptr; }));
}

TEST(Joining, ANewcomerFindsTheLeaderThroughAReplicaThatWasRemoved) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.leader()->config().id;
  const auto removed = all_but(leader, 5).front();
  ASSERT_TRUE(cluster.leader()
                  ->propose_membership(cluster.now, {MembershipAction::kRemove, member(removed)})
                  .has_value());
  cluster.run_for(milliseconds(100));
  cluster.start(replica(6), {});
  EXPECT_TRUE(Asker(cluster, member(replica(6), MemberRole::kLearner), {removed}).joins_within(kJoinLimit));
}

TEST(Joining, ARemovedReplicaAsksTheMembersOfItsLogWhenItsSettingsNameNobodyThatLives) {
  Cluster cluster(5, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.leader()->config().id;
  const auto removed = all_but(leader, 5).front();
  ASSERT_TRUE(cluster.leader()
                  ->propose_membership(cluster.now, {MembershipAction::kRemove, member(removed)})
                  .has_value());
  cluster.run_for(milliseconds(100));
  EXPECT_TRUE(Asker(cluster, member(removed, MemberRole::kLearner), {replica(9)}).joins_within(kJoinLimit));
}

TEST(Joining, WhoCannotLetANewcomerInSaysWhyAndWhoLeads) {
  Cluster cluster(3, true);
  ASSERT_TRUE(cluster.commit("a"));
  const auto leader = cluster.leader()->config().id;
  const auto follower = all_but(leader, 3).front();
  cluster.start(replica(4), {});
  const auto request = cluster.node(replica(4)).join_request(member(replica(4), MemberRole::kLearner));
  cluster.send_to_place(member(follower).internal, request);
  cluster.run_for(milliseconds(50));
  const auto& answer = cluster.node(replica(4)).last_join_reply();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->from, follower);
  EXPECT_EQ(answer->refusal, JoinRefusal::kNotLeader);
  EXPECT_EQ(answer->leader, leader);
  EXPECT_EQ(cluster.node(replica(4)).join_endpoints().size(), 3U);
}

TEST(Joining, WithoutALeaderTheAnswerNamesNobody) {
  Cluster cluster(3, true);
  const auto leader = cluster.elect().config().id;
  const auto others = all_but(leader, 3);
  cluster.stop(leader);
  cluster.stop(others[0]);
  cluster.run_for(milliseconds(1500));
  cluster.start(replica(4), {});
  cluster.send_to_place(member(others[1]).internal,
                        cluster.node(replica(4)).join_request(member(replica(4), MemberRole::kLearner)));
  cluster.run_for(milliseconds(20));
  ASSERT_TRUE(cluster.node(replica(4)).last_join_reply().has_value());
  EXPECT_EQ(cluster.node(replica(4)).last_join_reply()->leader, core::ControlId());
}

TEST(Joining, NamedReplicasAreBounded) {
  Cluster cluster(1, true);
  cluster.start(replica(2), {});
  for (std::uint16_t batch = 0; batch < 100; ++batch) {
    JoinReply reply;
    for (std::uint16_t place = 0; place < 9; ++place) {
      auto named = member(replica(3));
      named.internal.port = static_cast<std::uint16_t>(1000 + batch * 9 + place);
      reply.members.push_back(named);
    }
    cluster.node(replica(2)).step(cluster.now, Message{"test", replica(1), replica(2), 0, reply});
  }
  EXPECT_EQ(cluster.node(replica(2)).join_endpoints().size(), 64U);
}

}  // namespace
}  // namespace pipitpond::raft
