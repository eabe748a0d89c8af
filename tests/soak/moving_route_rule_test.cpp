// The rule on configurations finds statements that only an older version explains, in a history made by hand.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "soak/configuration_rule.hpp"

namespace pipitpond::soak {
namespace {

using std::chrono::milliseconds;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr RoutePlace kFirst = RoutePlace::kFirstService;
constexpr RoutePlace kSecond = RoutePlace::kSecondService;
constexpr RoutePlace kNowhere = RoutePlace::kNowhere;

core::Instant at(int millis) {
  return core::Instant{} + milliseconds(100'000 + millis);
}

std::string body_of(Version version, RoutePlace place) {
  nlohmann::json routes = nlohmann::json::array();
  if (place != kNowhere) {
    routes.push_back({{"Host", kMovingRoute}, {"Service", place == kSecond ? kSecondServiceName : "plates"}});
  }
  return nlohmann::json{{"Version", version}, {"Routes", routes}}.dump();
}

class MovingRouteRuleTest : public ::testing::Test {
 protected:
  MovingRouteRuleTest() : rule_(3) {}

  void change(int acknowledged, Version version, RoutePlace place) {
    rule_.on_sent(version, body_of(version, place));
    rule_.on_acknowledged(at(acknowledged), version);
  }
  void used(int asked, std::vector<RoutePlace> places, int took = 10, int started = -5000) {
    rule_.on_route_used(RouteUse{{0, at(started), at(asked), at(asked + took)}, std::move(places)});
  }

  ConfigurationRule rule_;
};

TEST_F(MovingRouteRuleTest, StatementsThatAnAllowedVersionExplainsAreFine) {
  change(0, 1, kFirst);
  change(1000, 2, kSecond);
  used(3900, {kFirst});
  used(3950, {kSecond});
  change(4000, 3, kNowhere);
  used(4100, {kNowhere});
  EXPECT_THAT(rule_.broken(), IsEmpty());
}

TEST_F(MovingRouteRuleTest, FindsAStatementRunByTheServiceOfAnOlderVersion) {
  change(0, 1, kFirst);
  change(1000, 2, kSecond);
  used(4100, {kFirst});
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("first service in touch, 2 was acknowledged")));
}

TEST_F(MovingRouteRuleTest, FindsAStatementRunOnADroppedRoute) {
  change(0, 1, kFirst);
  change(1000, 2, kNowhere);
  used(4100, {kFirst});
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("first service in touch, 2 was acknowledged")));
}

TEST_F(MovingRouteRuleTest, FindsARefusalThoughTheRouteIsThere) {
  change(0, 1, kNowhere);
  change(1000, 2, kFirst);
  used(4100, {kNowhere});
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("nowhere in touch, 2 was acknowledged")));
}

TEST_F(MovingRouteRuleTest, FindsASessionOpenedOnADroppedRoute) {
  change(0, 1, kFirst);
  change(1000, 2, kNowhere);
  used(4100, {kFirst, kSecond});
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("in touch, 2 was acknowledged")));
}

TEST_F(MovingRouteRuleTest, FindsStatementsThatGoBack) {
  change(0, 1, kFirst);
  change(1000, 2, kSecond);
  used(1100, {kSecond});
  used(1200, {kFirst});
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("first service after 2 in the same life")));
}

TEST_F(MovingRouteRuleTest, AStatementThatWasAskedBeforeAnotherOneEndedMayUseAnOlderVersion) {
  change(0, 1, kFirst);
  change(1000, 2, kSecond);
  used(1100, {kSecond}, 500);
  used(1200, {kFirst});
  EXPECT_THAT(rule_.broken(), IsEmpty());
}

TEST_F(MovingRouteRuleTest, AVersionThatNobodyHasAcknowledgedMayExplainAStatement) {
  change(0, 1, kFirst);
  rule_.on_sent(2, body_of(2, kSecond));
  used(1100, {kSecond});
  EXPECT_THAT(rule_.broken(), IsEmpty());
  used(1200, {kFirst});
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("first service after 2 in the same life")));
}

TEST_F(MovingRouteRuleTest, FindsAProxyThatStartsBehind) {
  change(0, 1, kFirst);
  change(1000, 2, kSecond);
  used(1300, {kFirst}, 10, 1200);
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("2 was acknowledged before it started")));
}

TEST(MovingRoute, EachChangeTellsWhereItLeads) {
  const std::string body =
      R"({"Version":1,"Routes":[{"Name":"r-writes","Host":"writes","Service":"plates"}],"Services":[{"Name":"plates"}]})";
  std::set<RoutePlace> places;
  for (Version version = 1; version <= 30; ++version) {
    places.insert(place_of_moving_route(with_moving_route(body, version)));
  }
  EXPECT_EQ(places.size(), 3U);
}

}  // namespace
}  // namespace pipitpond::soak
