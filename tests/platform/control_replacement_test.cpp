// A control machine that is replaced by another one, and the next loss.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kControls = 3;
constexpr unsigned kOk = 200;
constexpr core::Duration kDeathLimit = std::chrono::seconds(5);
/// Machines that came, or came back, count again after this time.
constexpr milliseconds kCatchUp(4'000);
constexpr milliseconds kRecoveryLimit(12'000);

class ControlReplacementTest : public ::testing::Test {
 protected:
  ControlReplacementTest() : fleet_({}, kControls, 1) {}

  /// The number of the replica that leads, once as many vote.
  std::size_t wait_for_leader() {
    std::optional<std::size_t> leader;
    EXPECT_TRUE(fleet_.wait([&] {
      leader = fleet_.voters() == kControls ? fleet_.leader() : std::nullopt;
      return leader.has_value();
    }));
    return leader.value_or(0);
  }

  void kill(std::size_t replica) {
    fleet_.control(replica).signal(SIGKILL);
    fleet_.control(replica).wait(kDeathLimit);
  }

  /// Whether any of these replicas acknowledges a change.
  bool takes(std::uint64_t version, const std::vector<std::size_t>& replicas, milliseconds limit) {
    return fleet_.wait(
        [&] {
          return std::any_of(replicas.begin(), replicas.end(), [&](std::size_t replica) {
            const auto body = fleet_.configuration(version);
            return fleet_.call_control(replica, "POST", "/Config.Put", body).first == kOk;
          });
        },
        limit);
  }

  PlatformFleet fleet_;
};

// The newcomer became a fourth voter beside the dead one, so that a lost disk left no majority for good.
TEST_F(ControlReplacementTest, AReplacedMachineKeepsNoVoteWhenAllAreKilledAsItsSuccessorStarts) {
  ASSERT_TRUE(fleet_.become_ready());
  const std::size_t leader = wait_for_leader();
  const std::size_t replaced = (leader + 1) % kControls;
  const std::size_t other = (leader + 2) % kControls;
  const std::size_t newcomer = kControls;
  kill(replaced);
  fleet_.lose_disk(replaced);
  fleet_.pause(milliseconds(1'000));
  fleet_.add_control({leader, other});
  fleet_.pause(milliseconds(50));

  const std::vector<std::size_t> running = {leader, other, newcomer};
  for (const std::size_t number : running) {
    kill(number);
  }
  for (const std::size_t number : running) {
    fleet_.restart_control(number);
  }
  fleet_.pause(kCatchUp);

  kill(leader);
  fleet_.lose_disk(leader);
  fleet_.restart_control(leader);
  EXPECT_TRUE(takes(2, running, kRecoveryLimit));
}

}  // namespace
}  // namespace pipitpond::platform
