// The agent against a stand-in for control that speaks the real internal protocol.
#include "agent/agent.hpp"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/tunables.hpp"
#include "wire/codec.hpp"
#include "wire/compact.hpp"
#include "wire/server.hpp"

namespace pipitpond::agent {
namespace {

namespace asio = boost::asio;

/// A folder that goes away with the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "pipitpond-agent-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  [[nodiscard]] const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

/// One control replica: the leader grants every lease and hands out the changes it was given.
class ExampleControl {
 public:
  ExampleControl(asio::io_context& io, bool leading) : leading_(leading) {
    auto handler = [this](wire::PeerId peer, wire::MessageType type, std::string body) {
      return answer(peer, type, std::move(body));
    };
    server_ = std::move(wire::Server::start(io, "127.0.0.1", 0, handler).value());
  }

  [[nodiscard]] core::Endpoint endpoint() const { return core::Endpoint{"127.0.0.1", server_->port()}; }
  void set_leader(const core::Endpoint& leader) { leader_ = leader; }
  void set_leading(bool leading) { leading_ = leading; }
  void commit() {
    protocol::Change change;
    change.revision = changes_.size() + 1;
    changes_.push_back(change);
    for (const wire::PeerId peer : peers_) {
      server_->notify(peer, wire::MessageType::kRevisionNotice,
                      wire::pack(protocol::RevisionNotice{change.revision}));
    }
  }
  [[nodiscard]] std::size_t departures() const { return departures_; }
  /// Revision that the last heartbeat said was applied.
  [[nodiscard]] protocol::Revision applied() const { return applied_; }
  [[nodiscard]] const std::vector<protocol::SuspicionReport>& suspicions() const { return suspicions_; }

 private:
  asio::awaitable<core::Result<std::string>> answer(wire::PeerId peer, wire::MessageType type,
                                                    std::string body) {
    peers_.insert(peer);
    if (type == wire::MessageType::kHeartbeat) {
      co_return wire::pack(on_heartbeat(wire::unpack<protocol::Heartbeat>(body).value()));
    }
    if (type == wire::MessageType::kDeparture) {
      ++departures_;
      co_return wire::pack(protocol::Acknowledgement{});
    }
    protocol::FetchPage page;
    page.bytes = wire::pack_compact(on_fetch(wire::unpack<protocol::FetchRequest>(body).value()));
    page.total = page.bytes.size();
    page.revision = changes_.size();
    page.newest = page.revision;
    co_return wire::pack(page);
  }

  protocol::HeartbeatReply on_heartbeat(const protocol::Heartbeat& heartbeat) {
    protocol::HeartbeatReply reply;
    reply.sequence = heartbeat.sequence;
    reply.from_leader = leading_;
    reply.leader = leader_;
    if (leading_) {
      suspicions_ = heartbeat.suspicions;
      applied_ = heartbeat.applied;
      reply.current = changes_.size();
      reply.lease_ms = static_cast<std::uint32_t>(core::to_millis(protocol::kDaemonLease));
    }
    return reply;
  }

  protocol::FetchReply on_fetch(const protocol::FetchRequest& request) const {
    protocol::FetchReply reply;
    for (const protocol::Change& change : changes_) {
      if (change.revision > request.after) {
        reply.changes.push_back(change);
      }
    }
    return reply;
  }

  bool leading_;
  core::Endpoint leader_;
  std::unique_ptr<wire::Server> server_;
  std::set<wire::PeerId> peers_;
  std::vector<protocol::Change> changes_;
  std::vector<protocol::SuspicionReport> suspicions_;
  std::size_t departures_ = 0;
  protocol::Revision applied_ = 0;
};

class AgentTest : public testing::Test {
 protected:
  AgentTest() : leader_(io_, true), follower_(io_, false) {
    follower_.set_leader(leader_.endpoint());
    leader_.set_leader(leader_.endpoint());
    leader_.commit();
  }

  std::unique_ptr<Agent> start_agent() {
    AgentOptions options;
    options.daemon = core::DaemonId("d");
    options.control = {follower_.endpoint()};
    options.data_folder = folder_.path();
    auto agent = Agent::create(io_, options);
    EXPECT_TRUE(agent.has_value());
    agent.value()->start();
    return std::move(agent.value());
  }

  /// Runs the processes until the condition holds; false after 20 s.
  bool run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      io_.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }

  TemporaryFolder folder_;
  asio::io_context io_;
  ExampleControl leader_;
  ExampleControl follower_;
};

TEST_F(AgentTest, FindsTheLeaderThroughAFollowerAndAppliesChanges) {
  const auto agent = start_agent();
  std::vector<protocol::Revision> seen;
  agent->on_change(
      [&](const protocol::Configuration& configuration) { seen.push_back(configuration.revision); });
  ASSERT_TRUE(run_until([&] { return agent->lease_valid(core::BootClock::now()); }));
  ASSERT_TRUE(run_until([&] { return agent->configuration().revision == 1; }));
  leader_.commit();
  leader_.commit();
  ASSERT_TRUE(run_until([&] { return agent->configuration().revision == 3; }));
  EXPECT_TRUE(std::is_sorted(seen.begin(), seen.end()));
}

TEST_F(AgentTest, RestartsAtTheRevisionItHadAndWithAGreaterIncarnation) {
  auto agent = start_agent();
  ASSERT_TRUE(run_until([&] { return agent->configuration().revision == 1; }));
  const std::uint64_t incarnation = agent->incarnation();
  agent.reset();
  agent = start_agent();
  EXPECT_GT(agent->incarnation(), incarnation);
  EXPECT_FALSE(agent->lease_valid(core::BootClock::now()));
  EXPECT_EQ(agent->configuration().revision, 0U) << "control may have changed it meanwhile";
  ASSERT_TRUE(run_until([&] { return agent->configuration().revision == 1; }));
  EXPECT_EQ(leader_.applied(), 1U) << "from disk, for nothing newer was to be fetched";
}

TEST_F(AgentTest, AConfigurationOnTheWordOfFollowersAloneIsNotObeyed) {
  leader_.set_leading(false);
  leader_.set_leader(core::Endpoint{});
  follower_.set_leader(core::Endpoint{});
  follower_.commit();
  const auto agent = start_agent();
  std::size_t changes = 0;
  agent->on_change([&](const protocol::Configuration&) { ++changes; });
  ASSERT_TRUE(run_until([&] { return agent->current_revision() == 1; })) << "a follower has told";
  io_.run_for(std::chrono::seconds(1));
  EXPECT_EQ(agent->configuration().revision, 0U);
  EXPECT_EQ(changes, 0U);
  leader_.set_leading(true);
  follower_.set_leader(leader_.endpoint());
  ASSERT_TRUE(run_until([&] { return agent->configuration().revision == 1; }));
  EXPECT_EQ(changes, 1U);
}

TEST_F(AgentTest, SuspicionsReachTheLeader) {
  const auto agent = start_agent();
  ASSERT_TRUE(run_until([&] { return agent->lease_valid(core::BootClock::now()); }));
  agent->set_suspicions(
      {protocol::SuspicionReport{core::DatabaseId("a"), protocol::Suspicion::kUnreachable, 1, 0}});
  EXPECT_TRUE(run_until([&] { return leader_.suspicions().size() == 1; }));
}

TEST_F(AgentTest, DepartureIsAcknowledgedAndEndsTheLease) {
  const auto agent = start_agent();
  ASSERT_TRUE(run_until([&] { return agent->lease_valid(core::BootClock::now()); }));
  bool departed = false;
  asio::co_spawn(io_, agent->depart(std::chrono::seconds(5)), [&](std::exception_ptr) { departed = true; });
  ASSERT_TRUE(run_until([&] { return departed; }));
  EXPECT_EQ(leader_.departures(), 1U);
  EXPECT_FALSE(agent->lease_valid(core::BootClock::now()));
}

TEST_F(AgentTest, MayBeDestroyedWithCallsInProgress) {
  start_agent().reset();
  io_.run_for(std::chrono::milliseconds(50));
}

}  // namespace
}  // namespace pipitpond::agent
