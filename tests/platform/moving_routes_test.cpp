// Open sessions whose route moves between services, is dropped and comes back, judged by what the databases
// of real processes execute.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kProxies = 3;
const std::string kFirst = "plates";
const std::string kSecond = "prints";
const std::string kRoute = "moves";
/// In which an acknowledged change is in force at every proxy that is in touch.
constexpr core::Duration kInForceLimit = std::chrono::seconds(3);
/// A proxy counts as in touch after so long without a fault.
constexpr core::Duration kContactTime = std::chrono::seconds(4);
/// Statements in a row that obey a change, before the next one is sent.
constexpr int kStatementsInARow = 10;

platform_stage::ServiceOptions second_service(const PlatformFleet& fleet) {
  platform_stage::ServiceOptions options;
  options.name = kSecond;
  for (std::size_t number = 0; number < fleet.controls(); ++number) {
    options.control.push_back(fleet.control_http(number));
  }
  return options;
}

class MovingRoutesTest : public ::testing::Test {
 protected:
  MovingRoutesTest() : fleet_({}, 3, kProxies), second_(fleet_.io(), second_service(fleet_)) {
    second_.start();
  }

  /// A configuration with both services; `service`: where the route leads, empty for none.
  [[nodiscard]] std::string configuration(std::uint64_t version, const std::string& service) const {
    const std::vector<std::string> names = service.empty() ? std::vector<std::string>{} : std::vector{kRoute};
    auto whole = nlohmann::json::parse(fleet_.configuration(version, 2000, names));
    auto services = whole["Services"];
    services.push_back(services.at(0));
    services.back()["Name"] = kSecond;
    whole["Services"] = services;
    if (!service.empty()) {
      whole["Routes"].back()["Service"] = service;
      whole["Routes"].back()["Kind"] = version % 2 == 0 ? "primary" : "session";
      whole["Routes"].back()["MaxStalenessMs"] = 2500;
      whole["Routes"].back()["TimeoutMs"] = 1000 + version;
    }
    return whole.dump();
  }

  bool put(const std::string& body) {
    return fleet_.wait([&] {
      return fleet_.call_control(++asked_ % fleet_.controls(), "POST", "/Config.Put", body).first == 200;
    });
  }

  [[nodiscard]] bool ran_at(platform_stage::Service& service, const std::string& request) const {
    for (std::size_t number = 0; number < 3; ++number) {
      const auto& executed = service.database(number).executed();
      if (std::any_of(executed.begin(), executed.end(),
                      [&](const auto& one) { return one.request == request; })) {
        return true;
      }
    }
    return false;
  }

  /// Which service ran the last query of a session; empty if none did.
  std::string service_of(const Caller& caller) {
    if (ran_at(second_, caller.last_request())) {
      return kSecond;
    }
    return ran_at(fleet_.service(), caller.last_request()) ? kFirst : "";
  }

  /// What the next statement of a session shows, where its route should lead to `service` (empty: nowhere).
  enum class Seen : std::uint8_t { kObeyed, kOlder, kUnclear };

  Seen look(std::size_t number, const std::string& service) {
    const Answer answer = callers_[number]->query(number % 2 == 0 ? "READ t" : "WRITE t t/x");
    EXPECT_TRUE(answer.connected) << "proxy " << number % kProxies;
    const std::string ran = service_of(*callers_[number]);
    const bool has_no_route = answer.error.starts_with("NODB");
    if (service.empty() ? has_no_route : ran == service) {
      return Seen::kObeyed;
    }
    return !ran.empty() || has_no_route ? Seen::kOlder : Seen::kUnclear;
  }

  [[nodiscard]] static bool is_at(std::size_t number, std::optional<std::size_t> proxy) {
    return proxy && number % kProxies == *proxy;
  }

  /// Asks each session but those at the `frozen` proxy, in turn, until all have obeyed the change a few
  /// times. Nobody may go back, and after `limit` nobody may obey what was before.
  void expect_obeyed(const std::string& service, core::Duration limit = kInForceLimit,
                     std::optional<std::size_t> frozen = std::nullopt) {
    const core::Instant begun = core::BootClock::now();
    std::vector<int> obeyed(callers_.size(), 0);
    const auto is_done = [&](std::size_t number) {
      return is_at(number, frozen) || obeyed[number] >= kStatementsInARow;
    };
    std::size_t done = 0;
    while (done < callers_.size()) {
      done = 0;
      for (std::size_t number = 0; number < callers_.size(); ++number) {
        const bool is_due = core::BootClock::now() - begun > limit;
        const Seen seen = is_at(number, frozen) ? Seen::kUnclear : look(number, service);
        ASSERT_FALSE(seen == Seen::kOlder && is_due) << "late at proxy " << number % kProxies;
        ASSERT_FALSE(seen == Seen::kOlder && obeyed[number] > 0) << "back at proxy " << number % kProxies;
        obeyed[number] += seen == Seen::kObeyed ? 1 : 0;
        done += is_done(number) ? 1 : 0;
      }
      fleet_.pause(milliseconds(20));
      ASSERT_LT(core::BootClock::now() - begun, 2 * (limit + kContactTime)) << "a session is not served";
    }
  }

  /// Two sessions at each proxy: one reads, one writes.
  void open_sessions() {
    for (std::size_t number = 0; number < 2 * kProxies; ++number) {
      std::unique_ptr<Caller> caller;
      ASSERT_TRUE(fleet_.wait([&] {
        caller = fleet_.caller(number % kProxies, kRoute);
        return caller != nullptr;
      }));
      callers_.push_back(std::move(caller));
    }
  }

  PlatformFleet fleet_;
  platform_stage::Service second_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::size_t asked_ = 0;
};

TEST_F(MovingRoutesTest, OpenSessionsFollowTheirRouteToEachServiceAndOutOfForce) {
  ASSERT_TRUE(fleet_.become_ready());
  ASSERT_TRUE(put(configuration(2, kFirst)));
  open_sessions();
  const std::vector<std::string> places = {kFirst, kSecond, kFirst,  "",     kSecond,
                                           "",     kFirst,  kSecond, kSecond};
  std::uint64_t version = 2;
  for (const std::string& service : places) {
    SCOPED_TRACE("version " + std::to_string(version + 1) + " at " + service);
    ASSERT_TRUE(put(configuration(++version, service)));
    ASSERT_NO_FATAL_FAILURE(expect_obeyed(service));
  }
}

// The others hand statements to the frozen proxy, which owns connections and knows the older routes.
TEST_F(MovingRoutesTest, OpenSessionsFollowTheirRouteWhileAProxyKnowsOlderRoutes) {
  ASSERT_TRUE(fleet_.become_ready());
  ASSERT_TRUE(put(configuration(2, kFirst)));
  open_sessions();
  const std::vector<std::string> places = {kSecond, "", kFirst};
  for (std::size_t frozen = 0; frozen < kProxies; ++frozen) {
    const std::string& service = places[frozen];
    SCOPED_TRACE("proxy " + std::to_string(frozen) + " is frozen");
    fleet_.proxy(frozen).signal(SIGSTOP);
    ASSERT_TRUE(put(configuration(3 + frozen, service)));
    ASSERT_NO_FATAL_FAILURE(expect_obeyed(service, kInForceLimit, frozen));
    fleet_.proxy(frozen).signal(SIGCONT);
    ASSERT_NO_FATAL_FAILURE(expect_obeyed(service, kContactTime + kInForceLimit));
  }
}

}  // namespace
}  // namespace pipitpond::platform
