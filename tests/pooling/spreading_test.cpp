// Daemons with the same information must not all choose the same owner or the same database.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pooling/backends.hpp"
#include "pooling/fake_backends.hpp"
#include "pooling/statement_forwarder.hpp"
#include "support/coroutine.hpp"
#include "wire/server.hpp"

namespace pipitpond::pooling {
namespace {

constexpr int kAskingDaemons = 40;

class OwnerSpreadTest : public ::testing::Test {
 protected:
  void add_owner(const std::string& name) {
    const auto count_and_refuse = [this, name](
                                      wire::PeerId, wire::MessageType,
                                      std::string) -> boost::asio::awaitable<core::Result<std::string>> {
      ++asked_[name];
      co_return core::fail(core::ErrorKind::kUnavailable, "Not run.", "Ask another owner.");
    };
    servers_.push_back(
        std::move(wire::Server::start(io_, "127.0.0.1", 0, count_and_refuse, [](wire::PeerId) {}).value()));
    protocol::Daemon daemon;
    daemon.id = core::DaemonId(name);
    daemon.zone = core::ZoneName("z");
    daemon.internal = {"127.0.0.1", servers_.back()->port()};
    configuration_.daemons[daemon.id] = daemon;
    owners_.push_back(daemon.id);
  }

  void ask_once(const std::string& name) {
    StatementForwarder forwarder(io_, core::DaemonId(name), core::ZoneName("z"));
    forwarder.apply(configuration_);
    (void)pipitpond::testing::run(io_, forwarder.status(pool_, owners_, std::chrono::seconds(2)));
    forwarder.close();
  }

  boost::asio::io_context io_;
  FakeConnector connector_{io_};
  std::shared_ptr<BackendPool> pool_ = std::make_shared<BackendPool>(
      io_, connector_, BackendAddress{{"127.0.0.1", 7001}, core::GroupName("g"), core::DatabaseId("a")},
      core::ZoneName("z"));
  protocol::Configuration configuration_;
  std::vector<core::DaemonId> owners_;
  std::vector<std::unique_ptr<wire::Server>> servers_;
  std::map<std::string, int> asked_;
};

TEST_F(OwnerSpreadTest, DaemonsOfAZoneUseDifferentOwnersOfADatabase) {
  for (const char* name : {"o1", "o2", "o3", "o4"}) {
    add_owner(name);
  }
  for (int number = 0; number < kAskingDaemons; ++number) {
    ask_once("asking-" + std::to_string(number));
  }
  ASSERT_EQ(asked_.size(), 4U) << "every owner must receive a request";
  for (const auto& [name, count] : asked_) {
    EXPECT_LE(count, kAskingDaemons / 2) << name;
  }
}

TEST(ReplicaSpreadTest, DaemonsOfAZoneWithoutAReplicaReadAtDifferentOnes) {
  boost::asio::io_context io;
  std::map<std::string, int> chosen;
  for (int number = 0; number < kAskingDaemons; ++number) {
    FakeConnector connector(io);
    FakeAgent agent;
    protocol::Configuration configuration = example_configuration();
    protocol::Daemon reader;
    reader.id = core::DaemonId("reader-" + std::to_string(number));
    reader.zone = core::ZoneName("zone-elsewhere");
    configuration.daemons = {{reader.id, reader}};
    agent.set_configuration(configuration);
    Backends backends(io, connector, agent, reader.id, reader.zone);
    backends.apply(configuration);
    BackendRequirement need;
    need.after = core::LogPosition{1, 1};
    const auto choice = backends.choose(core::GroupName("g"), need, core::BootClock::now());
    ASSERT_TRUE(choice);
    ++chosen[choice->pool->address().database.value()];
  }
  EXPECT_FALSE(chosen.contains("a")) << "reads must not use up the primary, which writes need";
  EXPECT_GE(chosen["b"], kAskingDaemons / 4);
  EXPECT_GE(chosen["c"], kAskingDaemons / 4);
}

}  // namespace
}  // namespace pipitpond::pooling
