// How machines of control join and are replaced, with real processes of which only some are seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using nlohmann::json;

constexpr int kControls = 5;
/// The fleet's settings name the first three machines of control.
constexpr std::size_t kSeeds = 3;
/// Each hand-over goes to a machine that is no seed in about half of the cases.
constexpr int kMostHandOvers = 30;

/// Name of the machine of an identity such as "127.0.0.11#5f3a".
std::string machine_of(const std::string& identity) {
  return identity.substr(0, identity.find('#'));
}

std::string name_of(std::size_t control) {
  return "127.0.0." + std::to_string(11 + control);
}

class ControlMembershipTest : public ::testing::Test {
 protected:
  ControlMembershipTest() : fleet_({}, kControls, 1) {}

  void SetUp() override {
    ASSERT_TRUE(fleet_.become_ready());
    ASSERT_TRUE(fleet_.wait([this] { return fleet_.voters() == static_cast<std::size_t>(kControls); }));
  }

  std::size_t leader() {
    std::optional<std::size_t> leading;
    EXPECT_TRUE(fleet_.wait([&] {
      leading = fleet_.leader();
      return leading.has_value();
    }));
    return leading.value_or(0);
  }

  void end(std::size_t control, int signal) {
    fleet_.control(control).signal(signal);
    fleet_.control(control).wait(std::chrono::seconds(30));
  }

  /// Stops leaders until one leads that the settings don't name.
  bool let_no_seed_lead() {
    for (int tries = 0; tries < kMostHandOvers; ++tries) {
      const std::size_t leading = leader();
      if (leading >= kSeeds) {
        return true;
      }
      end(leading, SIGTERM);
      fleet_.restart_control(leading);
      if (!fleet_.wait([this] { return fleet_.voters() == static_cast<std::size_t>(kControls); })) {
        return false;
      }
    }
    return false;
  }

  /// A voter of this machine under another identity than the first, and no other member of it.
  bool joined_anew(std::size_t control) {
    const auto now = fleet_.control_status();
    if (!now) {
      return false;
    }
    std::size_t members = 0;
    bool anew = false;
    for (const json& replica : now->at("replicas")) {
      const std::string identity = replica.at("id");
      if (machine_of(identity) != name_of(control)) {
        continue;
      }
      ++members;
      anew = replica.at("role") == "voter" && identity != first_identity_;
    }
    return members == 1 && anew;
  }

  void lose_disk(std::size_t control) {
    const auto before = fleet_.control_status();
    ASSERT_TRUE(before.has_value());
    for (const json& replica : before->at("replicas")) {
      const std::string identity = replica.at("id");
      if (machine_of(identity) == name_of(control)) {
        first_identity_ = identity;
      }
    }
    end(control, SIGKILL);
    fleet_.lose_disk(control);
    fleet_.restart_control(control);
  }

  PlatformFleet fleet_;
  std::string first_identity_;
};

TEST_F(ControlMembershipTest, AMachineThatLostItsDiskJoinsUnderALeaderThatItsSettingsDoNotName) {
  ASSERT_TRUE(let_no_seed_lead());
  const std::size_t leading = leader();
  ASSERT_NO_FATAL_FAILURE(lose_disk(0));
  EXPECT_TRUE(fleet_.wait([this] { return joined_anew(0); }))
      << fleet_.control_status().value_or(json()).dump();
  EXPECT_EQ(leader(), leading);
}

TEST_F(ControlMembershipTest, AnEmptyMachineAtANewAddressJoinsThroughOneFollower) {
  const std::size_t follower = leader() == 0 ? 1 : 0;
  fleet_.add_control({follower});
  EXPECT_TRUE(fleet_.wait([this] { return joined_anew(kControls); }));
}

TEST_F(ControlMembershipTest, AMachineWhoseSeedsAreAllGoneJoinsOnceItsSettingsNameOthers) {
  constexpr std::size_t kNobody = 200;
  fleet_.add_control({kNobody});
  fleet_.pause(std::chrono::milliseconds(1500));
  ASSERT_FALSE(joined_anew(kControls));
  fleet_.set_control_seeds(kControls, {1, 2});
  fleet_.control(kControls).signal(SIGHUP);
  EXPECT_TRUE(fleet_.wait([this] { return joined_anew(kControls); }));
}

}  // namespace
}  // namespace pipitpond::platform
