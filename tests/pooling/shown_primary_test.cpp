// Tests of proofs of the primary that owners pass to other daemons: the messages by single cases, and one
// owner with daemons that send it requests over real connections.
#include "pooling/shown_primary.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "pooling/daemon_parts.hpp"
#include "pooling/forward_service.hpp"
#include "support/coroutine.hpp"
#include "wire/codec.hpp"
#include "wire/server.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

const core::GroupName kGroup("g");
const core::DatabaseId kA("a");
const core::Instant kArrived = core::Instant{} + std::chrono::hours(1);

ShownPrimaryRequest proof_request(std::uint32_t max_age_ms) {
  ShownPrimaryRequest request;
  request.group = kGroup;
  request.max_age_ms = max_age_ms;
  request.timeout_ms = 120;
  return request;
}

TEST(ShownPrimaryTest, OnlyALaterRoundAnswersARequestWithoutAllowedAge) {
  EXPECT_EQ(earliest_round_start(proof_request(0), kArrived), kArrived);
  EXPECT_EQ(earliest_round_start(proof_request(1), kArrived), kArrived);
}

TEST(ShownPrimaryTest, TheAgeInAReplyIsWithinTheLimitAndNeverTooLow) {
  for (std::uint32_t max_age = 0; max_age < 3000; ++max_age) {
    const core::Instant earliest = earliest_round_start(proof_request(max_age), kArrived);
    const ShownPrimaryReply reply = make_reply(ShownPrimary{kA, earliest, {1, 5}}, 1, kArrived);
    ASSERT_LE(reply.age_ms, max_age);
    ASSERT_GE(milliseconds(reply.age_ms) * 20, (kArrived - earliest) * 21) << "the asker's clock may be fast";
  }
}

TEST(ShownPrimaryTest, ARoundThatBeganAfterTheRequestCountsFromTheRequest) {
  const ShownPrimaryReply reply =
      make_reply(ShownPrimary{kA, kArrived + milliseconds(300), {1, 5}}, 1, kArrived);
  const core::Instant asked = core::Instant{} + std::chrono::hours(7);
  const auto shown = proof_from_reply(reply, {kA, 1}, asked);
  ASSERT_TRUE(shown);
  EXPECT_EQ(shown->begun, asked) << "a reply that is late, or of a paused owner, must not seem newer";
  EXPECT_EQ(shown->position, (core::LogPosition{1, 5}));
}

TEST(ShownPrimaryTest, AnExclusionOfAFailoverIsNeverTakenForNewerThanItIs) {
  ShownPrimary shown{kA, kArrived, {1, 5}, FailoverExclusion{kArrived - milliseconds(100), core::Term{1}}};
  const core::Instant asked = core::Instant{} + std::chrono::hours(7);
  auto told = proof_from_reply(make_reply(shown, 3, kArrived), {kA, 3}, asked);
  ASSERT_TRUE(told && told->failover_exclusion);
  EXPECT_LE(told->failover_exclusion->at, asked - milliseconds(105)) << "the asker's clock may be fast";
  EXPECT_EQ(told->failover_exclusion->led_term, core::Term{1});
  shown.failover_exclusion = FailoverExclusion{kArrived + milliseconds(50), std::nullopt};
  told = proof_from_reply(make_reply(shown, 3, kArrived), {kA, 3}, asked);
  ASSERT_TRUE(told && told->failover_exclusion);
  EXPECT_EQ(told->failover_exclusion->at, asked);
  EXPECT_FALSE(told->failover_exclusion->led_term);
  shown.failover_exclusion.reset();
  told = proof_from_reply(make_reply(shown, 3, kArrived), {kA, 3}, asked);
  ASSERT_TRUE(told);
  EXPECT_FALSE(told->failover_exclusion);
}

TEST(ShownPrimaryTest, AnotherPrimaryOrTermProvesNothing) {
  const ShownPrimaryReply reply{kA, 4, {4, 20}, 0};
  EXPECT_TRUE(proof_from_reply(reply, {kA, 4}, kArrived));
  EXPECT_FALSE(proof_from_reply(reply, {kA, 3}, kArrived));
  EXPECT_FALSE(proof_from_reply(reply, {kA, 5}, kArrived));
  EXPECT_FALSE(proof_from_reply(reply, {core::DatabaseId("b"), 4}, kArrived));
}

TEST(ShownPrimaryTest, ACorruptReplyNeverGivesAProofNewerThanTheRequest) {
  std::mt19937_64 random(1);
  const std::string sound = wire::pack(ShownPrimaryReply{kA, 4, {4, 20}, 17});
  const core::Instant asked = core::Instant{} + std::chrono::hours(7);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = sound.substr(0, random() % 8 == 0 ? random() % sound.size() : sound.size());
    for (std::uint64_t changes = random() % 4; changes > 0 && !bytes.empty(); --changes) {
      bytes.at(random() % bytes.size()) = static_cast<char>(random());
    }
    const auto reply = wire::unpack<ShownPrimaryReply>(bytes);
    const auto shown = reply ? proof_from_reply(reply.value(), {kA, 4}, asked) : std::nullopt;
    ASSERT_TRUE(!shown || shown->begun <= asked);
  }
}

// --- An owner and the daemons that send it requests

constexpr int kAskers = 20;

class ProofSharingTest : public ::testing::Test {
 protected:
  ProofSharingTest() : owner_(io_, "owner", "zone-owner"), service_(owner_.backends, owner_.access) {
    auto server = wire::Server::start(
        io_, "127.0.0.1", 0,
        [this](wire::PeerId peer, wire::MessageType type, std::string body) {
          return handle(peer, type, std::move(body));
        },
        [this](wire::PeerId peer) { service_.peer_closed(peer); });
    server_ = std::move(server.value());
    owner_.connector.database("a").primary = true;
    owner_.agent.lease = false;
    configuration_ = configuration();
    owner_.apply(configuration_);
    for (int number = 0; number < kAskers; ++number) {
      askers_.push_back(std::make_unique<DaemonParts>(io_, asker_name(number), "zone-asking"));
      askers_.back()->agent.lease = false;
      askers_.back()->apply(configuration_);
    }
  }

  static std::string asker_name(int number) { return "asking-" + std::to_string(number); }

  /// Only "owner", which is in the databases' zone, owns connections.
  [[nodiscard]] protocol::Configuration configuration() const {
    protocol::Configuration configuration = example_configuration();
    configuration.daemons.clear();
    for (protocol::Route& route : configuration.routes.routes) {
      route.timeout_ms = 1500;
    }
    for (protocol::Database& database : configuration.groups.begin()->second.databases) {
      database.zone = core::ZoneName("zone-owner");
      database.max_owners = 1;
    }
    add_daemon(configuration, "owner", "zone-owner");
    for (int number = 0; number < kAskers; ++number) {
      add_daemon(configuration, asker_name(number), "zone-asking");
    }
    return configuration;
  }

  void add_daemon(protocol::Configuration& configuration, const std::string& name,
                  const std::string& zone) const {
    protocol::Daemon daemon;
    daemon.id = core::DaemonId(name);
    daemon.zone = core::ZoneName(zone);
    daemon.internal = {"127.0.0.1", server_->port()};
    configuration.daemons[daemon.id] = daemon;
  }

  boost::asio::awaitable<core::Result<std::string>> handle(wire::PeerId peer, wire::MessageType type,
                                                           std::string body) {
    if (type == wire::MessageType::kShownPrimary) {
      ++requests_;
      if (silent_for_ > 0) {
        --silent_for_;
        co_await pause_for(io_, std::chrono::seconds(2));
      }
      if (older_version_) {
        co_return core::fail(core::ErrorKind::kInvalidArgument, "No such message.", "Run the same version.");
      }
    }
    co_return co_await service_.handle(peer, type, std::move(body));
  }

  StatementReply read(DaemonParts& daemon) {
    CallerSession session(daemon.services, "writes");
    return pipitpond::testing::run(io_, session.run(example_statement(StatementKind::kRead)));
  }

  /// Runs one read at each daemon, all at once; returns how many succeeded.
  int read_at_all() {
    std::vector<std::unique_ptr<CallerSession>> sessions;
    std::vector<std::shared_ptr<pipitpond::testing::Pending<StatementReply>>> pending;
    for (const auto& daemon : askers_) {
      sessions.push_back(std::make_unique<CallerSession>(daemon->services, "writes"));
      pending.push_back(
          pipitpond::testing::start(io_, sessions.back()->run(example_statement(StatementKind::kRead))));
    }
    int served = 0;
    for (const auto& one : pending) {
      EXPECT_TRUE(pipitpond::testing::run_until(io_, [&] { return one->done(); }));
      served += one->done() && !one->value->failure ? 1 : 0;
    }
    return served;
  }

  int statuses() {
    int asked = 0;
    for (const char* id : {"a", "b", "c"}) {
      asked += owner_.connector.database(id).status_requests;
    }
    return asked;
  }

  void slow_statuses(milliseconds work) {
    for (const char* id : {"a", "b", "c"}) {
      owner_.connector.database(id).status_work = work;
    }
  }

  auto ask_owner(std::uint32_t max_age_ms) {
    return pipitpond::testing::start(io_, owner_.backends.show_primary(proof_request(max_age_ms)));
  }

  void pause(milliseconds duration) {
    pipitpond::testing::run_until(
        io_, [] { return false; }, duration);
  }

  boost::asio::io_context io_;
  DaemonParts owner_;
  ForwardService service_;
  protocol::Configuration configuration_;
  std::vector<std::unique_ptr<DaemonParts>> askers_;
  bool older_version_ = false;
  int silent_for_ = 0;  ///< Requests that get no reply in time.
  int requests_ = 0;
  std::unique_ptr<wire::Server> server_;
};

TEST_F(ProofSharingTest, TwentyDaemonsThatNeedAProofAtOnceCostAFewRounds) {
  slow_statuses(milliseconds(20));
  EXPECT_EQ(read_at_all(), kAskers);
  RecordProperty("statuses_asked", statuses());
  EXPECT_LE(statuses(), 4 * 3) << "at most four rounds of three status requests";
  for (const auto& daemon : askers_) {
    EXPECT_EQ(daemon->backends.rounds().begun, 0U);
  }
}

TEST_F(ProofSharingTest, WithoutTheOwnersRoundsEachDaemonRunsItsOwn) {
  older_version_ = true;
  slow_statuses(milliseconds(20));
  EXPECT_EQ(read_at_all(), kAskers);
  RecordProperty("statuses_asked", statuses());
  EXPECT_GE(statuses(), kAskers) << "otherwise sharing proofs would save nothing";
}

TEST_F(ProofSharingTest, ASilentOwnerIsFollowedByTheDaemonsOwnRound) {
  silent_for_ = 100;
  EXPECT_FALSE(read(*askers_[0]).failure);
  EXPECT_EQ(requests_, 1);
  EXPECT_GE(askers_[0]->backends.rounds().begun, 1U);
  EXPECT_EQ(askers_[0]->backends.proof_request_counters().answered, 0U);
}

TEST_F(ProofSharingTest, ASilentOwnerIsFollowedByTheNextOwner) {
  add_daemon(configuration_, "owner-2", "zone-owner");  // Served by the same server.
  for (protocol::Database& database : configuration_.groups.begin()->second.databases) {
    database.max_owners = 2;
  }
  askers_[0]->apply(configuration_);
  silent_for_ = 1;
  EXPECT_FALSE(read(*askers_[0]).failure);
  EXPECT_EQ(requests_, 2);
  EXPECT_EQ(askers_[0]->backends.rounds().begun, 0U);
  EXPECT_EQ(askers_[0]->backends.proof_request_counters().answered, 1U);
}

TEST_F(ProofSharingTest, AProofFromAnOwnerWithANewerTermIsNotUsed) {
  protocol::Configuration newer = configuration_;
  newer.groups.begin()->second.terms.push_back(protocol::TermStart{2, kA, {}});
  owner_.apply(newer);
  EXPECT_FALSE(read(*askers_[0]).failure) << "the daemon's own round proves the primary";
  EXPECT_EQ(askers_[0]->backends.proof_request_counters().answered, 0U);
  EXPECT_EQ(askers_[0]->backends.rounds().shown, 1U);
}

TEST_F(ProofSharingTest, ARoundInProgressAnswersNoRequestThatCameAfterItsStart) {
  slow_statuses(milliseconds(30));
  const auto first = ask_owner(0);
  pause(milliseconds(10));
  const auto second = ask_owner(0);
  const auto older = ask_owner(500);
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return first->done() && older->done(); }));
  EXPECT_TRUE(first->value->has_value());
  ASSERT_TRUE(older->value->has_value());
  EXPECT_GE(older->value->value().age_ms, 10U);
  EXPECT_FALSE(second->done()) << "the current round may answer only a request that accepts an older proof";
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return second->done(); }));
  ASSERT_TRUE(second->value->has_value());
  EXPECT_EQ(second->value->value().age_ms, 0U);
  EXPECT_EQ(owner_.backends.rounds().begun, 2U);
}

TEST_F(ProofSharingTest, WithoutAProofTheOwnerReturnsAnErrorInTime) {
  owner_.connector.database("b").fails_status = true;
  owner_.connector.database("c").fails_status = true;
  const core::Instant begun = core::BootClock::now();
  const auto asked = ask_owner(0);
  ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return asked->done(); }));
  EXPECT_FALSE(asked->value->has_value());
  EXPECT_LT(core::BootClock::now() - begun, kOwnerProofTimeout + kProofRoundTripAllowance);
}

TEST_F(ProofSharingTest, AnUnknownGroupAndAMalformedRequestAreRefused) {
  ShownPrimaryRequest unknown = proof_request(0);
  unknown.group = core::GroupName("x");
  for (const std::string& body : {wire::pack(unknown), std::string("\x93nonsense"), std::string()}) {
    const auto answer =
        pipitpond::testing::run(io_, service_.handle(1, wire::MessageType::kShownPrimary, body));
    EXPECT_FALSE(answer);
  }
}

TEST_F(ProofSharingTest, ADuplicateOrLateReplyNeverReplacesANewerProof) {
  PrimaryRounds rounds(io_, {});
  rounds.add_proof(kGroup, ShownPrimary{kA, kArrived + milliseconds(50), {1, 9}});
  rounds.add_proof(kGroup, ShownPrimary{kA, kArrived, {1, 5}});
  rounds.add_proof(kGroup, ShownPrimary{kA, kArrived, {1, 5}});
  ASSERT_NE(rounds.shown(kGroup), nullptr);
  EXPECT_EQ(rounds.shown(kGroup)->begun, kArrived + milliseconds(50));
  EXPECT_EQ(rounds.shown(kGroup)->position, (core::LogPosition{1, 9}));
}

}  // namespace
}  // namespace pipitpond::pooling
