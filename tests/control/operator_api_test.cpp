#include "control/operator_api.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "control/memory_cluster.hpp"
#include "control/run_coroutine.hpp"

namespace pipitpond::control {
namespace {

/// Three replicas with their interfaces; followers pass requests on by a call.
class OperatorApiTest : public ::testing::Test {
 protected:
  OperatorApiTest() {
    leader_ = cluster_.wait_for_leader();
    for (const std::string& name : cluster_.names()) {
      duties_[name] = std::make_unique<LeaderDuties>(
          io_, cluster_.replica(name), protocol::kDaemonLease, [this](DatabaseCallCallbacks answers) {
            return std::make_unique<HttpDatabaseCalls>(io_, DatabaseCallTimeouts{}, std::move(answers));
          });
      apis_[name] = std::make_unique<OperatorApi>(
          io_, cluster_.replica(name), *duties_[name],
          [this](const core::Endpoint&, protocol::OperatorRequest request, core::Duration) {
            return forward(std::move(request));
          },
          [](std::string_view) -> core::Result<void> { return core::outcome::success(); });
    }
  }

  boost::asio::awaitable<core::Result<protocol::OperatorReply>> forward(protocol::OperatorRequest request) {
    ++forwarded_;
    auto reply = co_await apis_.at(leader_)->handle_as_leader(std::move(request));
    co_return reply;
  }

  protocol::OperatorReply heartbeat(const std::string& replica, bool draining = false) {
    const nlohmann::json body = {{"group", "plates"},
                                 {"endpoint", "127.0.0.1:9001"},
                                 {"zone", "hall"},
                                 {"slots", 3},
                                 {"draining", draining}};
    return run(io_, apis_.at(replica)->handle({"POST", "/v1/databases/i-1/heartbeat", {}, body.dump()}));
  }

  static std::string next_of(const protocol::OperatorReply& reply) {
    const auto body = nlohmann::json::parse(reply.body);
    return body.contains("next") ? body.at("next").get<std::string>() : "";
  }

  boost::asio::io_context io_;
  MemoryCluster cluster_{io_};
  std::string leader_;
  std::map<std::string, std::unique_ptr<LeaderDuties>> duties_;
  std::map<std::string, std::unique_ptr<OperatorApi>> apis_;
  int forwarded_ = 0;
};

TEST_F(OperatorApiTest, DatabasesStayWithTheReplicaThatAnsweredAndCostTheLeaderNothing) {
  const std::string follower = leader_ == "c1" ? "c2" : "c1";
  const auto registered = heartbeat(follower);
  EXPECT_EQ(registered.status, 200U);
  EXPECT_EQ(forwarded_, 1);
  EXPECT_EQ(next_of(registered), core::to_string(operators_of(follower)))
      << "not the leader that carried it out";
  ASSERT_TRUE(
      run_until(io_, [&] { return !cluster_.replica(follower).machine().configuration().groups.empty(); }));
  for (int times = 0; times < 5; ++times) {
    EXPECT_EQ(next_of(heartbeat(follower)), core::to_string(operators_of(follower)));
  }
  EXPECT_EQ(forwarded_, 1) << "what tells nothing new goes no further";
  EXPECT_EQ(heartbeat(follower, true).status, 200U);
  EXPECT_EQ(forwarded_, 2) << "a change does";
}

}  // namespace
}  // namespace pipitpond::control
