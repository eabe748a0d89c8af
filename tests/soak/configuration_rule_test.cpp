// The rule on configurations finds each kind of broken promise in a history made by hand.
#include "soak/configuration_rule.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace pipitpond::soak {
namespace {

using std::chrono::milliseconds;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

core::Instant at(int millis) {
  return core::Instant{} + milliseconds(100'000 + millis);
}

std::string body_of(Version version) {
  return "{\"Version\":" + std::to_string(version) + "}";
}

class ConfigurationRuleTest : public ::testing::Test {
 protected:
  ConfigurationRuleTest() : rule_(5) {
    for (const Version version : {1, 2, 3}) {
      rule_.on_sent(version, body_of(version));
    }
    rule_.on_acknowledged(at(0), 1);
    rule_.on_acknowledged(at(1000), 2);
  }
  void obeyed(int asked, Version version, int started = -5000) {
    rule_.on_obeyed(ObeyedVersion{0, at(started), at(asked), at(asked + 10), version});
  }

  ConfigurationRule rule_;
};

TEST_F(ConfigurationRuleTest, WhatIsInForceInTimeIsFine) {
  rule_.on_read(0, at(900), body_of(1));
  rule_.on_read(0, at(1100), body_of(2));
  rule_.on_read(1, at(1200), body_of(3));
  obeyed(3900, 1);
  obeyed(4100, 2);
  obeyed(4200, 3);
  rule_.on_invalid_answered("no JSON", 400);
  EXPECT_THAT(rule_.broken(), IsEmpty());
}

TEST_F(ConfigurationRuleTest, FindsAReadOfAnOlderVersion) {
  rule_.on_read(0, at(1100), body_of(1));
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("version 1 after 2 was acknowledged")));
}

TEST_F(ConfigurationRuleTest, FindsOtherContentUnderANumber) {
  rule_.on_read(0, at(1100), R"({"Version":2,"Routes":[]})");
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("other content")));
}

TEST_F(ConfigurationRuleTest, FindsWhatNobodySentAndWhatNobodyCanRead) {
  rule_.on_read(0, at(1100), body_of(9));
  rule_.on_read(0, at(1100), "{\"Version\":");
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("nobody sent"), HasSubstr("can't be read")));
}

TEST_F(ConfigurationRuleTest, FindsAnInvalidChangeThatIsAcknowledged) {
  rule_.on_invalid_answered("a time-out of 0", 200);
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("a time-out of 0")));
}

TEST_F(ConfigurationRuleTest, FindsARefusalOfAValidChange) {
  rule_.on_refused(1, 409, "conflict");
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("refused: 409")));
}

TEST_F(ConfigurationRuleTest, FindsAProxyThatGoesBack) {
  obeyed(1100, 3);
  obeyed(1200, 2);
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("version 2 after 3 in the same life")));
}

TEST_F(ConfigurationRuleTest, FindsAProxyThatStartsBehind) {
  obeyed(1200, 1, 1100);
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("2 was acknowledged before it started")));
}

TEST_F(ConfigurationRuleTest, FindsALateProxyOnlyInTouch) {
  rule_.on_control_fault(0, at(500));
  obeyed(4200, 1);
  EXPECT_THAT(rule_.broken(), IsEmpty()) << "a fault of control 3.7 s before";
  rule_.on_proxy_fault(0, at(550));
  obeyed(4520, 1);
  EXPECT_THAT(rule_.broken(), IsEmpty()) << "a fault of the proxy itself 3.97 s before";
  rule_.on_proxy_fault(1, at(900));
  obeyed(4600, 1);
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("in touch, 2 was acknowledged")));
}

TEST_F(ConfigurationRuleTest, NobodyIsInTouchWhileAFaultLasts) {
  rule_.on_proxy_fault(0, at(100), FaultEdge::kBegin);
  obeyed(4400, 1);
  rule_.on_proxy_fault(0, at(4500), FaultEdge::kEnd);
  rule_.on_control_fault(0, at(4600), FaultEdge::kBegin);
  obeyed(8700, 1);
  rule_.on_control_fault(0, at(8800), FaultEdge::kEnd);
  obeyed(12'750, 1);
  EXPECT_THAT(rule_.broken(), IsEmpty()) << "3.95 s after the last of them";
  obeyed(12'850, 1);
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("in touch, 2 was acknowledged")));
}

TEST_F(ConfigurationRuleTest, FindsAProxyThatIsLateByFarWhileAMinorityOfControlIsDisturbed) {
  for (int millis = 500; millis <= 16'500; millis += 1000) {
    rule_.on_control_fault(static_cast<std::size_t>(millis / 1000 % 2), at(millis));
  }
  obeyed(15'900, 1);
  EXPECT_THAT(rule_.broken(), IsEmpty()) << "14.9 s after the acknowledgement";
  obeyed(16'100, 1);
  EXPECT_THAT(rule_.broken(), ElementsAre(HasSubstr("more than 15000 ms before")));
}

TEST_F(ConfigurationRuleTest, NoBoundHoldsWhileMostOfControlIsDisturbed) {
  for (const std::size_t replica : {0, 1, 2}) {
    rule_.on_control_fault(replica, at(16'000));
  }
  obeyed(16'100, 1);
  EXPECT_THAT(rule_.broken(), IsEmpty());
}

}  // namespace
}  // namespace pipitpond::soak
