// A control machine that is replaced by another one, and the next loss.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kControls = 3;
constexpr unsigned kOk = 200;
/// Machines that came, or came back, count again after this time.
constexpr milliseconds kCatchUp(4'000);
constexpr milliseconds kRecoveryLimit(12'000);

class ControlReplacementTest : public ::testing::Test {
 protected:
  ControlReplacementTest() : fleet_({}, kControls, 1) {}

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
  const auto found = fleet_.wait_for_leader(kControls);
  ASSERT_TRUE(found.has_value());
  const std::size_t leader = *found;
  const std::size_t replaced = (leader + 1) % kControls;
  const std::size_t other = (leader + 2) % kControls;
  const std::size_t newcomer = kControls;
  fleet_.kill_control(replaced);
  fleet_.lose_disk(replaced);
  fleet_.pause(milliseconds(1'000));
  fleet_.add_control({leader, other});
  fleet_.pause(milliseconds(50));

  const std::vector<std::size_t> running = {leader, other, newcomer};
  for (const std::size_t number : running) {
    fleet_.kill_control(number);
  }
  for (const std::size_t number : running) {
    fleet_.restart_control(number);
  }
  fleet_.pause(kCatchUp);

  fleet_.kill_control(leader);
  fleet_.lose_disk(leader);
  fleet_.restart_control(leader);
  EXPECT_TRUE(takes(2, running, kRecoveryLimit));
}

}  // namespace
}  // namespace pipitpond::platform
