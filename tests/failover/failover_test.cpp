// Failover with real processes: the primary is killed, partitioned, frozen or replaced twice in a row.
#include <gtest/gtest.h>

#include <future>

#include "failover/failover_fleet.hpp"

namespace pipitpond::testing {
namespace {

constexpr std::size_t kWriters = 4;
constexpr std::size_t kSomeWrites = 20;

/// True once the database no longer reports itself as primary of `term`.
bool has_stepped_down(FailoverFleet& fleet, const std::string& database, core::Term term) {
  const auto status = fleet.status_of(database);
  return status && (status->role != database::Role::kPrimary || status->term > term);
}

/// Expects that a replaced primary did not acknowledge a write of its former term.
void expect_refused(const std::optional<experiment::JsonReply>& reply) {
  EXPECT_FALSE(reply && reply->accepted()) << "a replaced primary acknowledged: " << reply->text;
}

TEST(Failover, TwoPrimariesKilledInARowLoseNoAcknowledgedWrite) {
  FailoverFleet fleet;
  Writers writers(fleet.proxies(), kWriters);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  const std::string first = fleet.primary();
  must(fleet.fleet().kill(first));
  const std::string second = fleet.next_primary(first);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));

  must(fleet.fleet().start_process(first));
  must(fleet.fleet().wait_ready(first));
  must(fleet.fleet().kill(second));
  fleet.next_primary(second);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  fleet.expect_in_log(writers.stop());
}

TEST(Failover, FrozenPrimaryAcknowledgesNothingAfterItsReplacement) {
  FailoverFleet fleet;
  Writers writers(fleet.proxies(), kWriters);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  const std::string frozen = fleet.primary();
  const core::Term term = fleet.term();
  must(fleet.fleet().freeze(frozen));
  fleet.next_primary(frozen);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));

  // The write waits in the frozen process's socket buffer, so that it is read first after the thaw.
  auto pending_reply =
      std::async(std::launch::async, [&] { return fleet.write_directly(frozen, term, "waiting"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  must(fleet.fleet().thaw(frozen));
  expect_refused(pending_reply.get());
  EXPECT_TRUE(wait_for([&] { return has_stepped_down(fleet, frozen, term); }));
  const auto later = fleet.write_directly(frozen, term, "later");
  ASSERT_TRUE(later);
  expect_refused(later);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  fleet.expect_in_log(writers.stop());
}

TEST(Failover, PrimaryReachableOnlyByCallersAcknowledgesNothingAfterItsReplacement) {
  FailoverFleet fleet;
  const std::string partitioned = fleet.primary();
  const core::Term term = fleet.term();
  ASSERT_TRUE(fleet.write_directly(partitioned, term, "before")->accepted());
  must(fleet.fleet().set_link(partitioned + ".proxies", fleet::LinkMode::kCut));

  std::atomic<bool> replaced = false;
  auto caller = std::async(std::launch::async, [&] {
    std::vector<std::string> acknowledged = {"before"};
    for (int write = 0; !replaced; ++write) {
      const std::string id = "direct-" + std::to_string(write);
      const auto reply = fleet.write_directly(partitioned, term, id);
      if (reply && reply->accepted()) {
        acknowledged.push_back(id);
      }
    }
    return acknowledged;
  });
  fleet.next_primary(partitioned);
  expect_refused(fleet.write_directly(partitioned, term, "after"));
  replaced = true;
  const auto acknowledged = caller.get();
  EXPECT_GT(acknowledged.size(), 1U) << "the old primary acknowledged no write before it was replaced";
  fleet.expect_in_log(acknowledged);
}

TEST(Failover, PrimaryPartitionedFromItsReplicasIsReplaced) {
  FailoverFleet fleet;
  Writers writers(fleet.proxies(), kWriters);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  const std::string partitioned = fleet.primary();
  const core::Term term = fleet.term();
  for (const std::string& replica : fleet.replicas_of(partitioned)) {
    must(fleet.fleet().set_link(replica + ".peers", fleet::LinkMode::kCut));
  }
  fleet.next_primary(partitioned);
  for (const std::string& replica : fleet.replicas_of(partitioned)) {
    must(fleet.fleet().set_link(replica + ".peers", fleet::LinkMode::kPass));
  }
  EXPECT_TRUE(wait_for([&] { return has_stepped_down(fleet, partitioned, term); }));
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  fleet.expect_in_log(writers.stop());
}

TEST(Failover, LostAnswersOfFencesAndPromotionsLoseNoAcknowledgedWrite) {
  FailoverFleet fleet;
  Writers writers(fleet.proxies(), kWriters);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  const std::string killed = fleet.primary();
  for (const std::string& replica : fleet.replicas_of(killed)) {
    fleet.set_fault(replica + ".proxies",
                    {{"fault", "drop"}, {"direction", "from_target"}, {"probability", 0.3}});
  }
  must(fleet.fleet().kill(killed));
  const core::Term before = fleet.term();
  EXPECT_TRUE(wait_for([&] { return fleet.term() > before; }));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (const std::string& replica : fleet.replicas_of(killed)) {
    fleet.set_fault(replica + ".proxies", {{"fault", "none"}});
    fleet.set_fault(replica + ".proxies", {{"fault", "reset"}});
  }
  fleet.next_primary(killed);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  fleet.expect_in_log(writers.stop());
}

TEST(Failover, RestartedStaleReplicaIsNotChosen) {
  FailoverFleet fleet;
  const std::string first = fleet.primary();
  const auto replicas = fleet.replicas_of(first);
  const std::string& stale = replicas[0];
  const std::string& current = replicas[1];
  must(fleet.fleet().kill(stale));
  Writers writers(fleet.proxies(), kWriters);
  ASSERT_TRUE(writers.wait_for_more(kSomeWrites));
  const auto acknowledged = writers.stop();
  must(fleet.fleet().kill(first));
  must(fleet.fleet().start_process(stale));
  EXPECT_EQ(fleet.next_primary(first), current);
  fleet.expect_in_log(acknowledged);
}

}  // namespace
}  // namespace pipitpond::testing
