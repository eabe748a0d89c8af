// Operators' changes through several control machines: conflicts, lost replies, and how pipitctl reports
// them.
#include <gtest/gtest.h>

#include <fstream>
#include <future>
#include <set>
#include <string>
#include <vector>

#include "control_processes/control_cluster.hpp"

namespace pipitpond::testing {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitNoReply = 3;

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string write_zone_file(const ControlCluster& cluster, const std::string& name, std::uint64_t revision,
                            const std::string& region) {
  const auto path = cluster.folder() / name;
  std::ofstream(path) << "[zones.hall-1]\nrevision = " << revision << "\nregion = \"" << region << "\"\n";
  return path.string();
}

TEST(ControlProcesses, ExactlyOneOfConcurrentChangesToTheSameRevisionIsAccepted) {
  ControlCluster cluster;
  auto created = cluster.put_zone(0, "hall-1", 0, "created", "start");
  ASSERT_TRUE(created && created->accepted());
  auto revision = created->body.at("revision").get<std::uint64_t>();

  constexpr int kRounds = 15;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::future<std::optional<experiment::JsonReply>>> requests;
    for (std::size_t machine = 0; machine < ControlCluster::kMachines; ++machine) {
      const std::string writer = std::to_string(round) + "-" + std::to_string(machine);
      requests.push_back(std::async(std::launch::async, [&cluster, machine, revision, writer] {
        return cluster.put_zone(machine, "hall-1", revision, "race-" + writer, writer);
      }));
    }
    int accepted_requests = 0;
    std::set<std::uint64_t> reported_revisions;
    for (auto& request : requests) {
      const auto reply = request.get();
      ASSERT_TRUE(reply);
      if (reply->accepted()) {
        ++accepted_requests;
        reported_revisions.insert(reply->body.at("revision").get<std::uint64_t>());
      } else {
        EXPECT_EQ(reply->status, 409U) << reply->text;
        EXPECT_EQ(reply->body.at("error").at("kind"), "conflict");
        reported_revisions.insert(reply->body.at("current_revision").get<std::uint64_t>());
      }
    }
    ASSERT_EQ(accepted_requests, 1);
    ASSERT_EQ(reported_revisions.size(), 1U)
        << "a refused request reported another revision than the accepted one";
    ASSERT_GT(*reported_revisions.begin(), revision);
    revision = *reported_revisions.begin();
  }
}

TEST(ControlProcesses, ResentChangeAppliesOnceAndReturnsTheLostReply) {
  ControlCluster cluster;
  const std::size_t leader = cluster.wait_for_leader();
  for (std::size_t machine = 0; machine < ControlCluster::kMachines; ++machine) {
    const std::string zone = "hall-" + std::to_string(machine);
    const core::Endpoint lossy_endpoint = cluster.link_without_replies(machine);
    const nlohmann::json body = {{"revision", 0}, {"key", "lost-" + zone}, {"spec", {{"region", "once"}}}};
    const auto lost = call(lossy_endpoint, "PUT", "/v1/zones/" + zone, body, std::chrono::milliseconds(1000));
    EXPECT_FALSE(lost.has_value());
    ASSERT_TRUE(wait_for([&] { return cluster.region(leader, zone) == "once"; }));

    const std::size_t other = (machine + 1) % ControlCluster::kMachines;
    const auto revised = cluster.put_zone(other, zone, 0, "other-" + zone, "twice");
    ASSERT_TRUE(revised);
    EXPECT_EQ(revised->status, 409U);
    const auto first = revised->body.at("current_revision").get<std::uint64_t>();
    // A later change, so that a resent request that was executed again would get another revision or a
    // conflict.
    ASSERT_TRUE(cluster.put_zone(other, zone, first, "later-" + zone, "later")->accepted());
    const auto resent = cluster.put_zone(other, zone, 0, "lost-" + zone, "once");
    ASSERT_TRUE(resent && resent->accepted()) << (resent ? resent->text : "no answer");
    EXPECT_EQ(resent->body.at("revision"), first);
    EXPECT_EQ(cluster.region(machine, zone), "later");
  }
}

TEST(ControlProcesses, ResentChangeReturnsTheFirstReplyOnAnyMachineAfterALeaderChangeAndARestart) {
  ControlCluster cluster;
  const std::size_t leader = cluster.wait_for_leader();
  const auto others = ControlCluster::other_machines(leader);
  const core::Endpoint lossy_endpoint = cluster.link_without_replies(others[0]);
  const nlohmann::json body = {{"revision", 0}, {"key", "lost"}, {"spec", {{"region", "once"}}}};
  EXPECT_FALSE(call(lossy_endpoint, "PUT", "/v1/zones/hall-1", body, std::chrono::milliseconds(1000)));
  ASSERT_TRUE(wait_for([&] { return cluster.region(leader, "hall-1") == "once"; }));
  const auto other = cluster.put_zone(leader, "hall-1", 0, "other", "twice");
  ASSERT_TRUE(other);
  ASSERT_EQ(other->status, 409U);
  const auto first = other->body.at("current_revision").get<std::uint64_t>();
  // From now on a resent request that was executed again would be a conflict or overwrite this change.
  ASSERT_TRUE(accepted(cluster.put_zone(leader, "hall-1", first, "later", "later")));

  const auto resend_to = [&](const std::vector<std::size_t>& machines) {
    for (const std::size_t machine : machines) {
      std::optional<experiment::JsonReply> resent;
      // A machine that currently knows no leader replies with an error; the operator retries.
      ASSERT_TRUE(wait_for([&] {
        resent = cluster.put_zone(machine, "hall-1", 0, "lost", "once");
        return resent && resent->status < 500U;
      }));
      EXPECT_EQ(revision_of(resent), first) << ControlCluster::name(machine) << ": " << resent->text;
      EXPECT_EQ(cluster.region(machine, "hall-1"), "later");
    }
  };
  resend_to({0, 1, 2});
  cluster.kill(leader);
  EXPECT_NE(cluster.wait_for_leader(others), leader);
  resend_to(others);
  cluster.start(leader);
  resend_to({leader});
  for (std::size_t machine = 0; machine < ControlCluster::kMachines; ++machine) {
    cluster.kill(machine);
  }
  for (std::size_t machine = 0; machine < ControlCluster::kMachines; ++machine) {
    cluster.start(machine);
  }
  cluster.wait_for_leader();
  resend_to({0, 1, 2});
}

TEST(ControlProcesses, PipitctlReportsConflictsAndQuorumLoss) {
  ControlCluster cluster;
  const std::size_t leader = cluster.wait_for_leader();
  const std::vector<core::Endpoint> all = cluster.all_operator_endpoints();

  const auto created = cluster.pipitctl(all, {"apply", "-f", write_zone_file(cluster, "a.toml", 0, "first")});
  EXPECT_EQ(created.exit_code, kExitDone) << created.output;
  const auto conflict =
      cluster.pipitctl(all, {"apply", "-f", write_zone_file(cluster, "b.toml", 0, "other")});
  EXPECT_EQ(conflict.exit_code, kExitRefused) << conflict.output;
  EXPECT_TRUE(contains(conflict.output, "current revision")) << conflict.output;
  EXPECT_TRUE(contains(conflict.output, "remedy:")) << conflict.output;

  cluster.kill(leader);
  const auto again = cluster.pipitctl(all, {"get", "zones", "hall-1", "--output", "json"});
  EXPECT_EQ(again.exit_code, kExitDone) << again.output;
  EXPECT_TRUE(contains(again.output, "first")) << again.output;

  cluster.kill((leader + 1) % ControlCluster::kMachines);
  const auto unknown = cluster.pipitctl(
      all, {"apply", "-f", write_zone_file(cluster, "c.toml", 0, "late"), "--key", "late", "--timeout", "2"});
  EXPECT_EQ(unknown.exit_code, kExitNoReply) << unknown.output;
  EXPECT_TRUE(contains(unknown.output, "remedy:")) << unknown.output;
  EXPECT_TRUE(contains(unknown.output, "same key")) << unknown.output;
}

TEST(ControlProcesses, PipitctlRetriesAChangeWhoseReplyWasLost) {
  ControlCluster cluster;
  const core::Endpoint lossy_endpoint = cluster.link_without_replies(0);
  const auto created = cluster.pipitctl({lossy_endpoint, cluster.operator_endpoint(1)},
                                        {"apply", "-f", write_zone_file(cluster, "a.toml", 0, "once")});
  EXPECT_EQ(created.exit_code, kExitDone) << created.output;
  EXPECT_EQ(cluster.region(2, "hall-1"), "once");
}

}  // namespace
}  // namespace pipitpond::testing
