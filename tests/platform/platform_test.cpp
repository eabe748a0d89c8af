// The whole path on the platform's protocols with real processes: what callers, databases and operators see,
// also while databases, proxies and control die. Judged by the logs of the stand-in databases.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using std::chrono::milliseconds;

class PlatformTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(fleet_.become_ready()); }

  platform_stage::Database& primary() { return *fleet_.service().primary(); }

  /// Writes until one is acknowledged by a primary other than `old`; nullopt when it takes too long.
  bool write_at_another(const std::string& old) {
    return fleet_.wait([&] {
      auto caller = fleet_.caller(0, "writes");
      if (caller == nullptr) {
        return false;
      }
      const Answer answer = caller->query("WRITE after-change yes");
      return answer.ok() && !answer.done.starts_with(old + ".");
    });
  }

  PlatformFleet fleet_;
};

TEST_F(PlatformTest, AWriteIsReadThroughAnotherProxy) {
  auto writer = fleet_.caller(0, "writes");
  ASSERT_NE(writer, nullptr);
  const Answer written = writer->query("WRITE m31 logged");
  ASSERT_TRUE(written.ok()) << written.error;
  EXPECT_NE(written.done, "-");
  auto reader = fleet_.caller(1, "writes");
  ASSERT_NE(reader, nullptr);
  const Answer read = reader->query("READ m31");
  ASSERT_TRUE(read.ok()) << read.error;
  EXPECT_EQ(read.rows, std::vector<std::string>{"logged"});
}

TEST_F(PlatformTest, ASessionReadsItsOwnWritesWhereverTheyAreRead) {
  auto session = fleet_.caller(0, "own");
  ASSERT_NE(session, nullptr);
  for (int number = 0; number < 50; ++number) {
    const std::string value = "v" + std::to_string(number);
    ASSERT_TRUE(session->query("WRITE counter " + value).ok());
    const Answer read = session->query("READ counter");
    ASSERT_TRUE(read.ok()) << read.error;
    ASSERT_EQ(read.rows, std::vector<std::string>{value});
  }
}

TEST_F(PlatformTest, ATransactionIsWholeOrNotAtAll) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("BEGIN").ok());
  ASSERT_TRUE(session->query("WRITE a 1").ok());
  ASSERT_TRUE(session->query("ROLLBACK").ok());
  EXPECT_EQ(session->query("READ a").rows, std::vector<std::string>{"none"});
  ASSERT_TRUE(session->query("BEGIN").ok());
  ASSERT_TRUE(session->query("WRITE a 2").ok());
  ASSERT_TRUE(session->query("COMMIT").ok());
  EXPECT_EQ(session->query("READ a").rows, std::vector<std::string>{"2"});
}

TEST_F(PlatformTest, SessionValuesAndPreparedNamesStayWithTheirSessions) {
  std::vector<std::unique_ptr<Caller>> sessions;
  for (int number = 0; number < 12; ++number) {
    sessions.push_back(fleet_.caller(0, "writes"));
    ASSERT_NE(sessions.back(), nullptr);
    if (number % 3 != 0) {
      ASSERT_TRUE(sessions.back()->query("SET owner s" + std::to_string(number)).ok());
    }
    const std::string effect = number % 2 == 0 ? "READ" : "WRITE";
    ASSERT_TRUE(sessions.back()->query("PREPARE s1 " + effect + " shape" + std::to_string(number)).ok());
  }
  for (int round = 0; round < 5; ++round) {
    for (int number = 0; number < 12; ++number) {
      const std::string thing = "t" + std::to_string(number);
      const Answer answer = sessions[static_cast<std::size_t>(number)]->query("EXEC s1 " + thing + " data");
      ASSERT_TRUE(answer.ok()) << answer.error;
    }
  }
  std::size_t judged = 0;
  for (std::size_t number = 0; number < 3; ++number) {
    for (const platform_stage::Executed& executed : fleet_.service().database(number).executed()) {
      const auto at = executed.text.find(" t");
      if (!executed.text.starts_with("EXEC ") || at == std::string::npos) {
        continue;
      }
      const std::string owner = "s" + std::to_string(std::stoi(executed.text.substr(at + 2)));
      const bool has_value = std::stoi(owner.substr(1)) % 3 != 0;
      const std::map<std::string, std::string> wanted =
          has_value ? std::map<std::string, std::string>{{"owner", owner}}
                    : std::map<std::string, std::string>{};
      EXPECT_EQ(executed.values, wanted) << executed.text;
      ++judged;
    }
  }
  EXPECT_EQ(judged, 60U);
}

TEST_F(PlatformTest, AnUnknownDatabaseNameIsRefused) {
  EXPECT_EQ(fleet_.caller(0, "nothing"), nullptr);
}

TEST_F(PlatformTest, MalformedMessagesTouchNobodyElse) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_NE(session, nullptr);
  EXPECT_TRUE(session->query("LOOK here").error.starts_with("BAD"));
  EXPECT_TRUE(session->query("AFTER 1.1 READ a").error.starts_with("BAD"));
  for (const char* bytes :
       {"QUERY before start\r\n", "\r\n", "START\r\n", "START writes x\n\r\n", "GET / HTTP/1.1\r\n"}) {
    Caller stranger(fleet_.io(), fleet_.callers(0));
    EXPECT_TRUE(stranger.send_raw(bytes).starts_with("ERR ")) << bytes;
  }
  EXPECT_TRUE(session->query("READ a").ok()) << "the session goes on";
}

TEST_F(PlatformTest, ADeadPrimaryIsReplacedAndNoAcknowledgedWriteIsLost) {
  auto session = fleet_.caller(0, "writes");
  std::set<std::string> acknowledged;
  for (int number = 0; number < 40; ++number) {
    const std::string thing = "w" + std::to_string(number);
    if (session->query("WRITE " + thing + " x").ok()) {
      acknowledged.insert(thing);
    }
  }
  EXPECT_EQ(acknowledged.size(), 40U);
  const std::string old = primary().options().id;
  primary().crash();
  ASSERT_TRUE(write_at_another(old));
  const auto values = platform_stage::values_of(primary().log());
  for (const std::string& thing : acknowledged) {
    EXPECT_TRUE(values.contains(thing)) << thing;
  }
  ASSERT_FALSE(fleet_.service().promotions().empty());
  EXPECT_NE(fleet_.service().promotions().back().database, old);
  EXPECT_GT(fleet_.service().promotions().back().token, 0U);
}

TEST_F(PlatformTest, ASilentPrimaryIsReplaced) {
  const std::string old = primary().options().id;
  primary().set_dark(true);
  EXPECT_TRUE(write_at_another(old));
}

TEST_F(PlatformTest, APrimaryThatIsCutFromItsReplicasIsReplacedAndAcknowledgesNothingMore) {
  platform_stage::Database& cut = primary();
  const std::string old = cut.options().id;
  const std::size_t held = cut.log().size();
  cut.set_cut_off(true);
  auto session = fleet_.caller(0, "writes");
  ASSERT_NE(session, nullptr);
  // It takes the write into its log, and nobody receives it.
  const Answer waited = session->query("WRITE without-receipt x");
  ASSERT_GT(cut.log().size(), held);
  EXPECT_FALSE(waited.ok() && waited.done.starts_with(old + "."));
  EXPECT_TRUE(write_at_another(old));
  EXPECT_FALSE(platform_stage::values_of(primary().log()).contains("without-receipt"));
}

TEST_F(PlatformTest, ALeavingPrimaryHandsOver) {
  const std::string old = primary().options().id;
  fleet_.service().drain(0);
  ASSERT_EQ(old, fleet_.service().database(0).options().id);
  EXPECT_TRUE(write_at_another(old));
}

TEST_F(PlatformTest, AWriteWhoseAnswerIsLostIsUnsureAndRanOnce) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  primary().lose_answers(1);
  const Answer answer = session->query("WRITE unsure x");
  EXPECT_TRUE(answer.error.starts_with("UNSURE")) << answer.error;
  std::size_t times = 0;
  for (const platform_stage::Commit& commit : primary().log()) {
    times += std::count_if(commit.writes.begin(), commit.writes.end(),
                           [](const platform_stage::Write& write) { return write.thing == "unsure"; });
  }
  EXPECT_EQ(times, 1U);
}

TEST_F(PlatformTest, AReadThatFailsAtOneDatabaseIsReadAtAnother) {
  auto session = fleet_.caller(0, "board");
  ASSERT_TRUE(session->query("READ a").ok());
  for (std::size_t number = 0; number < 3; ++number) {
    fleet_.service().database(number).fail_statements(number == 0 ? 0 : 1);
  }
  EXPECT_TRUE(session->query("READ a").ok());
}

TEST_F(PlatformTest, AStoppedProxyFinishesWhatItHas) {
  for (std::size_t number = 0; number < 3; ++number) {
    fleet_.service().database(number).set_work(milliseconds(300));
  }
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("BEGIN").ok());
  fleet_.proxy(0).signal(SIGTERM);
  EXPECT_TRUE(session->query("WRITE last x").ok());
  EXPECT_TRUE(session->query("COMMIT").ok());
  EXPECT_FALSE(fleet_.ready(0));
  EXPECT_EQ(fleet_.proxy(0).wait(std::chrono::seconds(10)), 0);
  EXPECT_TRUE(platform_stage::values_of(primary().log()).contains("last"));
}

// A stopping proxy ends sessions of which nothing is asked. A statement that was on its way met a reset, and
// its caller could not tell whether a write had run. Now the end says that nothing asked later runs, and the
// statement reads it.
TEST_F(PlatformTest, AStatementThatMeetsTheEndOfItsSessionIsToldThatItDidNotRun) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("READ a").ok());
  fleet_.proxy(0).signal(SIGTERM);
  fleet_.pause(milliseconds(500));  // Longer than a session must rest to be ended.
  const Answer late = session->query("WRITE late x");
  EXPECT_TRUE(late.error.starts_with("BUSY")) << late.error;
  EXPECT_EQ(fleet_.proxy(0).wait(std::chrono::seconds(10)), 0);
  EXPECT_FALSE(platform_stage::values_of(primary().log()).contains("late"));
}

TEST_F(PlatformTest, ASessionThatNeverRestsIsNotServedToTheEndOfAStop) {
  // Bench, bmsac-archive incident inc-9f13: a statement taken 5 s after SIGTERM was cut off.
  auto session = fleet_.caller(0, "writes");
  const auto begun = std::chrono::steady_clock::now();
  fleet_.proxy(0).signal(SIGTERM);
  std::size_t answered = 0;
  Answer answer;
  while ((answer = session->query("READ busy")).connected) {
    ASSERT_TRUE(answer.ok()) << answer.error;
    ++answered;
  }
  EXPECT_GT(answered, 10U);
  EXPECT_LT(std::chrono::steady_clock::now() - begun, milliseconds(4500));
  EXPECT_EQ(fleet_.proxy(0).wait(std::chrono::seconds(10)), 0);
}

TEST_F(PlatformTest, AHangUpCutsNothing) {
  auto session = fleet_.caller(0, "writes");
  fleet_.proxy(0).signal(SIGHUP);
  fleet_.control(0).signal(SIGHUP);
  fleet_.pause(milliseconds(200));
  EXPECT_TRUE(session->query("WRITE hup x").ok());
  EXPECT_TRUE(fleet_.proxy(0).running());
  EXPECT_TRUE(fleet_.control(0).running());
}

TEST_F(PlatformTest, AConfigurationOutlivesTheMachineThatAcknowledgedIt) {
  ASSERT_EQ(fleet_.call_control(0, "POST", "/Config.Put", fleet_.configuration(9)).first, 200U);
  fleet_.control(0).signal(SIGKILL);
  const bool read = fleet_.wait([&] {
    const auto [status, body] = fleet_.call_control(1, "GET", "/Config.Get", "");
    return status == 200 && nlohmann::json::parse(body).at("Version") == 9;
  });
  EXPECT_TRUE(read);
  EXPECT_EQ(fleet_.call_control(1, "POST", "/Config.Put", fleet_.configuration(9)).first, 200U) << "resent";
  EXPECT_EQ(fleet_.call_control(1, "POST", "/Config.Put", fleet_.configuration(5)).first, 200U)
      << "overtaken";
  EXPECT_EQ(fleet_.call_control(1, "POST", "/Config.Put", "{\"Version\":").first, 400U);
  const auto [status, body] = fleet_.call_control(2, "GET", "/Config.Get", "");
  EXPECT_EQ(status, 200U);
  EXPECT_EQ(body, fleet_.configuration(9));
}

TEST_F(PlatformTest, AllOfControlMayDieAtOnce) {
  ASSERT_EQ(fleet_.call_control(0, "POST", "/Config.Put", fleet_.configuration(9)).first, 200U);
  for (std::size_t number = 0; number < 3; ++number) {
    fleet_.control(number).signal(SIGKILL);
    fleet_.control(number).wait(std::chrono::seconds(5));
  }
  for (std::size_t number = 0; number < 3; ++number) {
    fleet_.restart_control(number);
  }
  EXPECT_TRUE(fleet_.wait([&] { return fleet_.call_control(0, "GET", "/Config.Get", "").first == 200; }));
  EXPECT_EQ(fleet_.call_control(1, "GET", "/Config.Get", "").second, fleet_.configuration(9));
  EXPECT_TRUE(fleet_.wait([&] {
    auto caller = fleet_.caller(0, "writes");
    return caller != nullptr && caller->query("WRITE again x").ok();
  }));
}

TEST_F(PlatformTest, AKilledProxyComesBackWithoutADisk) {
  fleet_.proxy(0).signal(SIGKILL);
  fleet_.proxy(0).wait(std::chrono::seconds(5));
  fleet_.restart_proxy(0);
  EXPECT_TRUE(fleet_.wait([&] { return fleet_.ready(0); }));
  EXPECT_TRUE(fleet_.wait([&] {
    auto caller = fleet_.caller(0, "writes");
    return caller != nullptr && caller->query("WRITE back x").ok();
  }));
}

TEST_F(PlatformTest, ATransactionLeftRestingIsEnded) {
  auto session = fleet_.caller(0, "writes");
  ASSERT_TRUE(session->query("BEGIN").ok());
  ASSERT_TRUE(session->query("WRITE rest x").ok());
  fleet_.pause(milliseconds(1300));
  EXPECT_TRUE(session->query("COMMIT").error.starts_with("ABORTED"));
  EXPECT_FALSE(platform_stage::values_of(primary().log()).contains("rest"));
}

}  // namespace
}  // namespace pipitpond::platform
