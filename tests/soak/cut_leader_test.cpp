// A leader of control that is cut off from the other replicas while operators reach both sides.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "platform_support/platform_fleet.hpp"
#include "soak/fault_links.hpp"

namespace pipitpond::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kControls = 3;
constexpr unsigned kOk = 200;
constexpr std::uint64_t kSeed = 1;
constexpr int kReads = 40;
constexpr milliseconds kReadInterval(25);
constexpr milliseconds kReadLimit(1'000);

class CutLeaderTest : public ::testing::TestWithParam<LinkMode> {
 protected:
  CutLeaderTest()
      : fleet_({}, kControls, 1, [this](platform::PlatformFleet& fleet) {
          links_ = std::make_unique<MachineLinks>(fleet, 0, kSeed);
        }) {}

  /// Waits until one of the other replicas has acknowledged a change.
  bool put_elsewhere(std::uint64_t version, std::size_t cut_off) {
    const auto body = fleet_.configuration(version);
    return fleet_.wait([&] {
      for (std::size_t number = 0; number < kControls; ++number) {
        if (number != cut_off && fleet_.call_control(number, "POST", "/Config.Put", body).first == kOk) {
          return true;
        }
      }
      return false;
    });
  }

  platform::PendingAnswer begin_read(std::size_t replica) {
    http::Request request;
    request.method = "GET";
    request.path = "/Config.Get";
    return fleet_.begin_call(replica, std::move(request), kReadLimit);
  }

  std::unique_ptr<MachineLinks> links_;  ///< Made while the fleet is.
  platform::PlatformFleet fleet_;
};

// It takes itself for the leader until it has missed the others' answers for long enough.
TEST_P(CutLeaderTest, ReadsNoOlderConfigurationThanTheOthersHaveAcknowledged) {
  ASSERT_TRUE(fleet_.become_ready());
  const auto leader = fleet_.wait_for_leader(kControls);
  ASSERT_TRUE(leader.has_value());
  links_->isolate("leader", {control_machine(*leader)}, GetParam(), true);
  ASSERT_TRUE(put_elsewhere(2, *leader));
  std::vector<platform::PendingAnswer> reads;
  for (int read = 0; read < kReads; ++read) {
    reads.push_back(begin_read(*leader));
    fleet_.pause(kReadInterval);
  }
  for (const auto& read : reads) {
    ASSERT_TRUE(fleet_.wait([&read] { return read->has_value(); }));
    const auto& [status, body] = **read;
    EXPECT_TRUE(status != kOk || body == fleet_.configuration(2)) << body;
  }
}

INSTANTIATE_TEST_SUITE_P(Cuts, CutLeaderTest, ::testing::Values(LinkMode::kSilent, LinkMode::kRefused));

}  // namespace
}  // namespace pipitpond::soak
