// A fleet of fake databases behind one proxy, for tests of callers' sessions.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "pooling/caller_session.hpp"
#include "pooling/fake_backends.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::pooling {

using std::chrono::milliseconds;

/// Time for which a primary works on a statement that start_slowly() has started.
constexpr milliseconds kSlowWork(80);

/// One group of the databases "a", its primary, "b" and "c". The proxy is in the zone of "b".
class CallerSessionTest : public ::testing::Test {
 protected:
  CallerSessionTest()
      : connector_(io_),
        backends_(io_, connector_, agent_, core::DaemonId("d"), core::ZoneName("zone-b")),
        access_(io_, agent_, core::DaemonId("d"), core::ZoneName("zone-b"), AccessOptions{}),
        services_{io_, backends_, routes_, access_, counters_, times_, {}} {
    connector_.database("a").primary = true;
    agent_.set_configuration(example_configuration());
    apply();
  }

  void apply() {
    routes_.apply(agent_.configuration().routes);
    access_.apply(core::BootClock::now(), agent_.configuration());
    backends_.apply(agent_.configuration());
  }

  /// Applies a failover: an empty `primary` begins a new term without a primary, a name sets its
  /// primary, whose log then ended at `start`.
  void change_primary(const std::string& primary, core::LogPosition start = {}) {
    protocol::Configuration configuration = agent_.configuration();
    protocol::Group& group = configuration.groups.begin()->second;
    const core::Term term = group.terms.back().term;
    const bool begins_term = primary.empty();
    if (begins_term) {
      group.terms.push_back(protocol::TermStart{term + 1, {}, {}});
    } else {
      group.terms.back().primary = core::DatabaseId(primary);
      group.terms.back().start = start;
    }
    ++configuration.revision;
    agent_.set_configuration(configuration);
    apply();
  }

  /// Adds a group like the first one, with databases of its own, and lets this route lead there.
  void move_route_to_another_group(const std::string& name) {
    protocol::Configuration configuration = agent_.configuration();
    protocol::Group other = configuration.groups.begin()->second;
    other.name = core::GroupName("other");
    for (protocol::Database& database : other.databases) {
      database.id = core::DatabaseId("other-" + database.id.value());
      database.endpoint.port += 100;
    }
    other.terms = {protocol::TermStart{1, core::DatabaseId("other-a"), {}}};
    configuration.groups[other.name] = other;
    for (protocol::Route& route : configuration.routes.routes) {
      route.group = route.name == name ? other.name : route.group;
    }
    ++configuration.routes.version;
    ++configuration.revision;
    connector_.database("other-a").primary = true;
    agent_.set_configuration(configuration);
    apply();
  }

  using PendingReply = decltype(pipitpond::testing::start(std::declval<boost::asio::io_context&>(),
                                                          std::declval<CallerSession&>().run(Statement{})));

  /// Starts a statement, and returns when the primary has it and will answer in kSlowWork.
  PendingReply start_slowly(CallerSession& session, Statement statement) {
    FakeDatabase& primary = connector_.database("a");
    primary.work = kSlowWork;
    const int before = primary.batches_received;
    auto pending = pipitpond::testing::start(io_, session.run(std::move(statement)));
    EXPECT_TRUE(pipitpond::testing::run_until(io_, [&] { return primary.batches_received > before; }));
    return pending;
  }

  void wait(core::Duration time) {
    pipitpond::testing::run_until(
        io_, [] { return false; }, milliseconds(core::to_millis(time)));
  }

  void set_draining(const std::string& id) {
    protocol::Configuration configuration = agent_.configuration();
    for (protocol::Database& database : configuration.groups.begin()->second.databases) {
      database.draining = database.draining || database.id.value() == id;
    }
    agent_.set_configuration(configuration);
    apply();
  }

  StatementReply run(CallerSession& session, Statement statement) {
    return pipitpond::testing::run(io_, session.run(std::move(statement)));
  }

  /// Lets the daemon learn a log position of the primary.
  void learn_position() {
    CallerSession session(services_, "writes");
    ASSERT_FALSE(run(session, example_statement(StatementKind::kRead)).failure);
  }

  /// Holds connections to all databases for so long that none can have forgotten a fence that still counts,
  /// under control's lease, which then ends.
  void lose_lease_after_long_contact() {
    connector_.database("a").work = milliseconds(1);
    open_connections();
    wait(kFenceLifetime + kFenceLifetime / 5);
    EXPECT_TRUE(backends_.may_confirm_writes(core::GroupName("g"), core::BootClock::now()));
    agent_.lease = false;
  }

  /// Runs a round of status requests, for which the pools open connections.
  void open_connections() {
    agent_.lease = false;
    backends_.request_primary_proof(core::GroupName("g"), core::BootClock::now(), core::BootClock::now());
    wait(milliseconds(50));
    agent_.lease = true;
  }

  /// As a replica, for nobody tells it that it led.
  void start_again_without_log(const std::string& id) {
    connector_.database(id).primary = false;
    connector_.database(id).position = {};
  }

  /// Keeps the databases from confirming the primary: the replicas do not report their status.
  void stop_replica_status() {
    connector_.database("b").fails_status = true;
    connector_.database("c").fails_status = true;
  }

  std::vector<RanStatement>& ran(const std::string& id) { return connector_.database(id).ran; }

  boost::asio::io_context io_;
  FakeConnector connector_;
  FakeAgent agent_;
  Backends backends_;
  Routes routes_;
  CallerAccess access_;
  PoolingCounters counters_;
  StatementTimes times_;
  SessionServices services_;
};

}  // namespace pipitpond::pooling
