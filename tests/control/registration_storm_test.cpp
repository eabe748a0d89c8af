// Hundreds of databases register at once at three control replicas in one process, over real sockets. Each
// calls the next replica when it has had no answer for 1 s, while its earlier calls still wait.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control/control_server.hpp"
#include "control/run_coroutine.hpp"
#include "http/client.hpp"
#include "process/ports.hpp"

namespace pipitpond::control {
namespace {

constexpr int kDatabases = 400;
constexpr int kGroups = 20;
constexpr std::size_t kReplicas = 3;
constexpr core::Duration kResendAfter = std::chrono::seconds(1);
constexpr core::Duration kCallLimit = std::chrono::seconds(20);

/// Databases that nobody reaches: only their registration counts here.
class UnreachableDatabases : public DatabaseCalls {
 public:
  void probe(failover::ProbeDatabase) override {}
  void fence(failover::FenceDatabase) override {}
  void promote(failover::PromoteDatabase) override {}
};

class RegistrationStormTest : public ::testing::Test {
 protected:
  RegistrationStormTest() {
    std::filesystem::remove_all(folder_);
    const auto ports = process::free_ports("127.0.0.1", 2 * kReplicas);
    for (std::size_t number = 0; number < kReplicas; ++number) {
      peers_.push_back(Peer{"c" + std::to_string(number),
                            {"127.0.0.1", ports.at(2 * number)},
                            {"127.0.0.1", ports.at(2 * number + 1)}});
    }
    ControlAdapters adapters;
    adapters.make_database_calls = [](boost::asio::io_context&, LeaderMandate, DatabaseCallAnswers) {
      return std::make_unique<UnreachableDatabases>();
    };
    for (const Peer& peer : peers_) {
      ControlOptions options;
      options.name = peer.name;
      options.data_folder = folder_ / peer.name;
      options.internal = peer.internal;
      options.operators = peer.operators;
      options.peers = peers_;
      options.bootstrap = true;
      std::filesystem::create_directories(options.data_folder);
      servers_.push_back(std::make_unique<ControlServer>(
          io_, options, [](const core::Error& error) { throw std::runtime_error(error.message); }, adapters));
    }
  }

  ~RegistrationStormTest() override {
    io_.stop();
    servers_.clear();
    std::filesystem::remove_all(folder_);
  }
  RegistrationStormTest(const RegistrationStormTest&) = delete;
  RegistrationStormTest& operator=(const RegistrationStormTest&) = delete;

  void start_replicas() {
    for (const auto& server : servers_) {
      boost::asio::co_spawn(io_, start(*server), boost::asio::detached);
    }
  }

  bool wait_for_leader() {
    return run_until(io_, [this] {
      return started_ == kReplicas && std::any_of(servers_.begin(), servers_.end(), [](const auto& server) {
               return server->replica().leading();
             });
    });
  }

  void register_all() {
    for (int number = 0; number < kDatabases; ++number) {
      boost::asio::co_spawn(io_, run_database(number), boost::asio::detached);
    }
  }

  [[nodiscard]] std::size_t databases_at(const ControlServer& server) const {
    std::size_t count = 0;
    for (const auto& [name, group] : server.replica().machine().configuration().groups) {
      count += group.databases.size();
    }
    return count;
  }

  bool wait_for_all() {
    return run_until(io_, [this] {
      return registered_ == kDatabases &&
             std::all_of(servers_.begin(), servers_.end(),
                         [this](const auto& server) { return databases_at(*server) == kDatabases; });
    });
  }

  protocol::Revision revision() { return servers_.front()->replica().machine().configuration().revision; }

  int registered_ = 0;
  int calls_ = 0;
  int open_calls_ = 0;
  int most_open_calls_ = 0;

 private:
  boost::asio::awaitable<void> start(ControlServer& server) {
    const auto started = co_await server.start();
    EXPECT_TRUE(started);
    ++started_;
  }

  boost::asio::awaitable<void> run_database(int number) {
    const auto done = std::make_shared<bool>(false);
    for (std::size_t next = static_cast<std::size_t>(number); !*done; ++next) {
      boost::asio::co_spawn(io_, call(number, peers_.at(next % kReplicas).operators, done),
                            boost::asio::detached);
      boost::asio::steady_timer wait(io_, kResendAfter);
      co_await wait.async_wait(boost::asio::use_awaitable);
    }
  }

  boost::asio::awaitable<void> call(int number, core::Endpoint replica, std::shared_ptr<bool> done) {
    ++calls_;
    most_open_calls_ = std::max(most_open_calls_, ++open_calls_);
    const auto client = co_await http::Client::connect(io_, replica, kResendAfter);
    if (client) {
      const auto response = co_await client.value()->send(heartbeat(number), kCallLimit);
      const bool accepted = response && response.value().status == 200;
      registered_ += accepted && !*done ? 1 : 0;
      *done = *done || accepted;
    }
    --open_calls_;
  }

  static http::Request heartbeat(int number) {
    const nlohmann::json body = {{"group", "group-" + std::to_string(number % kGroups)},
                                 {"endpoint", "127.0.0.1:" + std::to_string(10000 + number)},
                                 {"zone", "hall"},
                                 {"slots", 3},
                                 {"draining", false}};
    http::Request request;
    request.method = "POST";
    request.path = "/v1/databases/i-" + std::to_string(number) + "/heartbeat";
    request.body = body.dump();
    return request;
  }

  boost::asio::io_context io_;
  std::filesystem::path folder_ =
      std::filesystem::temp_directory_path() / ("pipitpond-storm-" + std::to_string(::getpid()));
  std::vector<Peer> peers_;
  std::vector<std::unique_ptr<ControlServer>> servers_;
  std::size_t started_ = 0;
};

/// Of the replicas' own records, adopted or not, and of a few batches: far below one for each database.
constexpr protocol::Revision kMostRevisions = 40;

TEST_F(RegistrationStormTest, AllRegisterInAFewRevisions) {
  start_replicas();
  ASSERT_TRUE(wait_for_leader());
  register_all();
  ASSERT_TRUE(wait_for_all()) << registered_;
  RecordProperty("calls", calls_);
  EXPECT_LE(revision(), kMostRevisions);
  EXPECT_LE(most_open_calls_, 2 * kDatabases);
}

TEST_F(RegistrationStormTest, TheyMayComeBeforeThereIsALeader) {
  start_replicas();
  register_all();
  ASSERT_TRUE(wait_for_all()) << registered_;
  RecordProperty("calls", calls_);
  EXPECT_LE(revision(), kMostRevisions);
  EXPECT_LE(most_open_calls_, 2 * kDatabases);
}

}  // namespace
}  // namespace pipitpond::control
