// Planned stops under load: no request is cut, whoever says first that the machine leaves.
#include <gtest/gtest.h>

#include <sstream>
#include <stdexcept>

#include "fleet_fixture.hpp"
#include "judged_load.hpp"

namespace pipitpond::fleet {
namespace {

constexpr std::size_t kSomeRequests = 40;
/// From then on a database that was called leaving gets no new work.
constexpr core::Duration kLeavingLimit = std::chrono::seconds(3);

std::string findings(const oracle::Verdict& verdict) {
  std::string text;
  for (const std::string& finding : verdict.findings) {
    text += finding + "\n";
  }
  return text;
}

void expect_no_violation(const oracle::Verdict& verdict) {
  EXPECT_EQ(oracle::violations(verdict), 0U) << findings(verdict);
}

/// Statements that the database has executed since it started.
std::uint64_t statements_of(Fleet& fleet, const std::string& database) {
  const auto reply = fleet.call(database, "GET", "/metrics");
  if (!reply) {
    throw std::runtime_error(describe(reply.error()));
  }
  std::istringstream lines(reply.value().text);
  std::uint64_t sum = 0;
  for (std::string line; std::getline(lines, line);) {
    const bool counts =
        line.find("reads_total ") != std::string::npos || line.find("writes_total ") != std::string::npos;
    if (counts && !line.starts_with("#")) {
      sum += std::stoull(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

class DrainTest : public FleetTest {
 protected:
  void SetUp() override {
    FleetTest::SetUp();
    start(small_fleet_plan());
  }

  /// Once the database is no longer primary, and its time to finish has passed, it gets no statement while
  /// others get many. Call it right after the database was called leaving.
  void expect_no_new_work(JudgedLoad& load, const std::string& database) {
    const core::Instant limit = core::BootClock::now() + kLeavingLimit;
    const auto next = fleet().wait_for_primary(kGroup, database);
    ASSERT_TRUE(next) << describe(next.error());
    while (core::BootClock::now() < limit) {
      ASSERT_TRUE(load.wait_for_requests(1));
    }
    const std::uint64_t before = statements_of(fleet(), database);
    EXPECT_GT(before, 0U);
    ASSERT_TRUE(load.wait_for_requests(5 * kSomeRequests));
    EXPECT_EQ(statements_of(fleet(), database), before) << database << " still gets statements";
  }

  void drain(const std::string& kind, const std::string& name, bool leaving) {
    const nlohmann::json body = {{"kind", kind},
                                 {"name", name},
                                 {"leaving", leaving},
                                 {"key", std::to_string(core::unix_millis_now()) + "-drain-" + name}};
    const auto reply = fleet().control("POST", "/v1/drain", body);
    ASSERT_TRUE(reply && reply.value().accepted());
  }
};

// What happened: at times one request was cut while the proxy stopped, more often on a busy machine. A read
// met "Connection reset by peer" after it had been sent in full; a commit was answered "unknown". Why:
// closing the port reset the connections in its queue, whose callers had sent their requests; and a commit
// was turned away whose transaction had begun through the proxy 37 ms before and ran at another owner, for
// the proxy waited only for transactions at its own databases. What showed it: "the callers' port closes; 1
// connections wait to be accepted" at the very moment at which the read began, 2000 ms after the drain, while
// no accepted connection was open at the end.
TEST_F(DrainTest, AProxyThatIsStoppedCutsNoRequest) {
  JudgedLoad load(fleet());
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  load.begin_drain(oracle::FaultKind::kDrainProxy, "small-proxy-2");
  const auto code = fleet().stop("small-proxy-2");
  ASSERT_TRUE(code) << describe(code.error());
  EXPECT_EQ(code.value(), 0);
  load.end_drain();
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  expect_no_violation(load.finish());
}

TEST_F(DrainTest, APrimaryThatIsStoppedCutsNoRequest) {
  JudgedLoad load(fleet());
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  const std::string primary = fleet().primary_of(kGroup);
  load.begin_drain(oracle::FaultKind::kDrainDatabase, primary);
  const auto code = fleet().stop(primary);
  ASSERT_TRUE(code) << describe(code.error());
  load.end_drain();
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  expect_no_violation(load.finish());
}

TEST_F(DrainTest, APrimaryThatAnOperatorDrainsGetsNoNewWork) {
  JudgedLoad load(fleet());
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  const std::string primary = fleet().primary_of(kGroup);
  load.begin_drain(oracle::FaultKind::kDrainDatabase, primary);
  drain("database", primary, true);
  expect_no_new_work(load, primary);
  load.end_drain();
  drain("database", primary, false);
  expect_no_violation(load.finish());
}

TEST_F(DrainTest, APrimaryThatThePlatformCallsLeavingGetsNoNewWork) {
  JudgedLoad load(fleet());
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  const std::string primary = fleet().primary_of(kGroup);
  load.begin_drain(oracle::FaultKind::kDrainDatabase, primary);
  ASSERT_TRUE(fleet().set_machine(primary, "leaving"));
  expect_no_new_work(load, primary);
  load.end_drain();
  expect_no_violation(load.finish());
}

TEST_F(DrainTest, ALeaderOfControlThatIsStoppedCutsNoRequest) {
  JudgedLoad load(fleet());
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  const auto status = fleet().control("GET", "/v1/status");
  ASSERT_TRUE(status);
  const auto leader = status.value().body.at("leader").get<std::string>();
  const auto code = fleet().stop(leader);
  ASSERT_TRUE(code) << describe(code.error());
  EXPECT_EQ(code.value(), 0);
  ASSERT_TRUE(load.wait_for_requests(kSomeRequests));
  const std::string primary = fleet().primary_of(kGroup);
  drain("database", primary, true);
  expect_no_new_work(load, primary);
  expect_no_violation(load.finish());
}

}  // namespace
}  // namespace pipitpond::fleet
