// Which configuration real processes hold and obey while control loses and regains its majority.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kControls = 5;
constexpr core::Duration kReadLimit = std::chrono::seconds(5);
/// Until what was sent lies in the buffers of a process that stands still.
constexpr milliseconds kArrived(200);

class ConfigurationTest : public ::testing::Test {
 protected:
  ConfigurationTest() : fleet_({}, kControls, 1) {}

  /// A route that only this version has.
  [[nodiscard]] static std::string name_of(std::uint64_t version) { return "v" + std::to_string(version); }

  /// Sends a change until one of these replicas acknowledges it.
  bool put(std::uint64_t version, const std::vector<std::size_t>& replicas) {
    const std::string body = fleet_.configuration(version, 2000, {name_of(version)});
    return fleet_.wait([&] {
      return std::any_of(replicas.begin(), replicas.end(), [&](std::size_t replica) {
        return fleet_.call_control(replica, "POST", "/Config.Put", body).first == 200;
      });
    });
  }

  /// Sends a read of the configuration.
  PendingAnswer begin_read(std::size_t replica) {
    http::Request request;
    request.method = "GET";
    request.path = "/Config.Get";
    return fleet_.begin_call(replica, std::move(request), kReadLimit);
  }

  bool obeys(std::uint64_t version) { return fleet_.caller(0, name_of(version)) != nullptr; }

  void kill_everything() {
    for (std::size_t number = 0; number < fleet_.controls(); ++number) {
      fleet_.control(number).signal(SIGKILL);
      fleet_.control(number).wait(std::chrono::seconds(5));
    }
    fleet_.proxy(0).signal(SIGKILL);
    fleet_.proxy(0).wait(std::chrono::seconds(5));
  }

  PlatformFleet fleet_;
};

TEST_F(ConfigurationTest, AProxyThatStartsWhileControlHasNoLeaderObeysNoOlderRoutes) {
  ASSERT_TRUE(fleet_.become_ready());
  ASSERT_TRUE(fleet_.wait([this] { return fleet_.voters() == kControls; }));
  ASSERT_TRUE(put(2, {0, 1, 2, 3, 4}));
  ASSERT_TRUE(fleet_.wait([this] { return obeys(2); }));
  for (const std::size_t lagging : {0, 1}) {
    fleet_.control(lagging).signal(SIGSTOP);
  }
  ASSERT_TRUE(put(3, {2, 3, 4}));
  ASSERT_TRUE(put(4, {2, 3, 4}));
  kill_everything();
  fleet_.lose_disk(2);
  for (const std::size_t returning : {0, 1, 2}) {
    fleet_.restart_control(returning);
  }
  fleet_.restart_proxy(0);
  // No replica that runs has version 4, so that any session is one by an older version.
  EXPECT_FALSE(fleet_.wait([this] { return fleet_.caller(0, "writes") != nullptr; }, milliseconds(4000)));
  for (const std::size_t returning : {3, 4}) {
    fleet_.restart_control(returning);
  }
  EXPECT_TRUE(fleet_.wait([this] { return obeys(4); }));
}

// Reads and acknowledgements of heartbeats lie in its buffers when it goes on, and it still takes itself for
// the leader.
TEST_F(ConfigurationTest, ALeaderThatStoodStillWhileAnotherAcknowledgedAChangeReadsNoOlderOne) {
  ASSERT_TRUE(fleet_.become_ready());
  ASSERT_TRUE(fleet_.wait([this] { return fleet_.voters() == kControls; }));
  std::optional<std::size_t> former;
  for (std::uint64_t version = 2; version < 5; ++version) {
    SCOPED_TRACE("version " + std::to_string(version));
    ASSERT_TRUE(fleet_.wait([&] {
      former = fleet_.leader();
      return former.has_value();
    }));
    std::vector<std::size_t> others;
    for (std::size_t number = 0; number < kControls; ++number) {
      if (number != *former) {
        others.push_back(number);
      }
    }
    fleet_.control(*former).signal(SIGSTOP);
    ASSERT_TRUE(put(version, others));
    const std::vector reads = {begin_read(*former), begin_read(*former), begin_read(*former)};
    fleet_.pause(kArrived);
    fleet_.control(*former).signal(SIGCONT);
    for (const auto& read : reads) {
      ASSERT_TRUE(fleet_.wait([&read] { return read->has_value(); }));
      const auto& [status, body] = **read;
      EXPECT_TRUE(status != 200 || body == fleet_.configuration(version, 2000, {name_of(version)})) << body;
    }
  }
}

}  // namespace
}  // namespace pipitpond::platform
