// In-memory databases, connections and control agent for tests of the pooling daemon. They answer at once
// unless a fault or delay is set.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/agent.hpp"
#include "pooling/backend.hpp"
#include "pooling/waiting.hpp"
#include "protocol/configuration.hpp"
#include "tenancy/key_digest.hpp"

namespace pipitpond::pooling {

/// A statement that ran on a fake database.
struct RanStatement {
  std::string request;
  StatementKind kind = StatementKind::kRead;
  std::string name;
  std::string arguments;
  std::map<std::string, std::string> values;
  std::optional<core::LogPosition> after;
  int connection = 0;
  std::string tenant;  ///< Tenant of the connection.
};

/// A database, with the faults that tests set.
struct FakeDatabase {
  bool primary = false;
  core::LogPosition position{1, 10};
  bool refuses_connections = false;
  int connections_opened = 0;
  int max_connections = 100;
  std::shared_ptr<int> open_connections = std::make_shared<int>(0);  ///< Shared: connections may outlive it.
  core::Duration work{};                                             ///< Delay of each batch.
  core::Duration status_work{};                                      ///< Delay of each status request.
  bool silent = false;                                               ///< Batches fail with a time-out.
  std::vector<FailureCode> next_failures;  ///< Replies to the next statements of callers.
  bool break_after_running = false;        ///< The next batch runs, then its connection breaks.
  bool fails_status = false;               ///< Status requests fail with kOverloaded.
  int status_requests = 0;
  int batches_received = 0;
  core::Term held_term = 0;
  /// Connections count as open for so many more questions: they are closed between two of them.
  std::optional<int> looks_until_closed;
  int life = 1;  ///< Connections that were opened in an earlier one are closed.
  std::vector<RanStatement> ran;

  void restart() { ++life; }
};

/// A connection to a fake database.
class FakeConnection : public BackendConnection {
 public:
  FakeConnection(boost::asio::io_context& io, FakeDatabase& database, int number, std::string tenant)
      : io_(io),
        database_(database),
        open_connections_(database.open_connections),
        life_(database.life),
        number_(number),
        tenant_(std::move(tenant)) {
    ++*open_connections_;
  }
  ~FakeConnection() override { --*open_connections_; }
  FakeConnection(const FakeConnection&) = delete;
  FakeConnection& operator=(const FakeConnection&) = delete;

  boost::asio::awaitable<core::Result<std::vector<StatementReply>>> run(
      std::vector<BackendStatement> statements, core::Duration timeout) override {
    ++database_.batches_received;
    if (database_.silent) {
      co_await pause_for(io_, timeout);
      open_ = false;
      co_return core::fail(core::ErrorKind::kTimeout, "No answer came in time.", "Try again.");
    }
    if (database_.work > core::Duration::zero()) {
      co_await pause_for(io_, database_.work);
    }
    std::vector<StatementReply> replies;
    replies.reserve(statements.size());
    for (const BackendStatement& statement : statements) {
      replies.push_back(answer(statement));
    }
    if (std::exchange(database_.break_after_running, false)) {
      open_ = false;
    }
    if (!open_) {
      co_return core::fail(core::ErrorKind::kConnectionLost, "The connection was closed.", "Try again.");
    }
    co_return replies;
  }

  boost::asio::awaitable<core::Result<BackendStatus>> status(core::Duration) override {
    ++database_.status_requests;
    if (database_.status_work > core::Duration::zero()) {
      co_await pause_for(io_, database_.status_work);
    }
    if (database_.fails_status) {
      co_return core::fail(core::ErrorKind::kOverloaded, "No slot is free.", "Ask again.");
    }
    co_return BackendStatus{database_.primary, 1, database_.position, database_.held_term, 0, 0};
  }
  boost::asio::awaitable<core::Result<BackendStatus>> hold(core::Term, core::Duration timeout) override {
    return status(timeout);
  }
  boost::asio::awaitable<core::Result<BackendStatus>> demote(core::Term, core::Duration timeout) override {
    return status(timeout);
  }
  [[nodiscard]] bool is_open() const override {
    if (database_.looks_until_closed && --*database_.looks_until_closed < 0) {
      return false;
    }
    return open_ && life_ == database_.life;
  }
  void close() override { open_ = false; }

 private:
  StatementReply answer(const BackendStatement& sent) {
    const Statement& statement = sent.statement;
    StatementReply reply;
    reply.position = database_.position;
    const bool from_proxy = statement.id.empty();
    if (!from_proxy && !database_.next_failures.empty()) {
      const FailureCode code = database_.next_failures.front();
      database_.next_failures.erase(database_.next_failures.begin());
      reply.failure = Failure{code, "set by the test"};
      const TransactionState state_in_transaction =
          code == FailureCode::kBusy ? TransactionState::kOpen : TransactionState::kFailed;
      reply.state = in_transaction_ ? state_in_transaction : TransactionState::kIdle;
      return reply;
    }
    if (sent.after && database_.position < *sent.after) {
      reply.failure = Failure{FailureCode::kBehind, "set by the test"};
      return reply;
    }
    apply_statement(statement);
    database_.ran.push_back(RanStatement{statement.id.value(), statement.kind, statement.name,
                                         statement.arguments, values_, sent.after, number_, tenant_});
    reply.state = in_transaction_ ? TransactionState::kOpen : TransactionState::kIdle;
    reply.signature = from_proxy ? "" : "signed";
    reply.position = database_.position;
    return reply;
  }

  void apply_statement(const Statement& statement) {
    switch (statement.kind) {
      case StatementKind::kBegin:
      case StatementKind::kBeginReadOnly:
        in_transaction_ = true;
        break;
      case StatementKind::kCommit:
      case StatementKind::kRollback:
        in_transaction_ = false;
        break;
      case StatementKind::kSetValue:
        values_[statement.name] = statement.arguments;
        break;
      case StatementKind::kReset:
        values_.clear();
        break;
      case StatementKind::kWrite:
        ++database_.position.index;
        break;
      default:
        break;
    }
  }

  boost::asio::io_context& io_;
  FakeDatabase& database_;
  std::shared_ptr<int> open_connections_;
  int life_ = 0;
  int number_ = 0;
  std::string tenant_;
  bool open_ = true;
  bool in_transaction_ = false;
  std::map<std::string, std::string> values_;
};

/// Connects to fake databases, which are created on demand.
class FakeConnector : public BackendConnector {
 public:
  explicit FakeConnector(boost::asio::io_context& io) : io_(io) {}

  boost::asio::awaitable<core::Result<std::unique_ptr<BackendConnection>>> connect(BackendAddress address,
                                                                                   core::Duration) override {
    FakeDatabase& found = database(address.database.value());
    if (found.refuses_connections) {
      co_return core::fail(core::ErrorKind::kConnectionRefused, "Refused.", "Choose another database.");
    }
    if (*found.open_connections >= found.max_connections) {
      co_return core::fail(core::ErrorKind::kOverloaded, "Too many connections.", "Try again.");
    }
    opened_for.push_back(address.tenant.value());
    co_return std::make_unique<FakeConnection>(io_, found, ++found.connections_opened,
                                               address.tenant.value());
  }

  FakeDatabase& database(const std::string& id) { return databases_[id]; }

  std::vector<std::string> opened_for;  ///< Tenants of the connections, in the order of opening.

 private:
  boost::asio::io_context& io_;
  std::map<std::string, FakeDatabase> databases_;
};

/// A control agent whose configuration and lease the test sets.
class FakeAgent : public agent::Agent {
 public:
  void start() override {}
  void set_control(std::vector<core::Endpoint>) override {}
  void set_leaving() override {}
  boost::asio::awaitable<void> depart(core::Duration) override { co_return; }
  [[nodiscard]] const protocol::Configuration& configuration() const override { return configuration_; }
  void on_change(agent::ChangeCallback) override {}
  [[nodiscard]] bool lease_valid(core::Instant) const override { return lease; }
  [[nodiscard]] core::Instant complete_until() const override {
    return complete.value_or(core::BootClock::now());
  }
  [[nodiscard]] ownership::Budget allowed(const core::DatabaseId&) const override { return {}; }
  [[nodiscard]] const ownership::OwnerTable& owner_table() const override { return owners_; }
  void report_held(const core::DatabaseId&, std::uint32_t) override {}
  void set_suspicions(std::vector<protocol::SuspicionReport> reports) override {
    suspicions = std::move(reports);
  }
  [[nodiscard]] std::uint64_t incarnation() const override { return 1; }
  [[nodiscard]] protocol::Revision current_revision() const override { return 0; }
  [[nodiscard]] std::uint64_t control_bytes() const override { return 0; }
  [[nodiscard]] const agent::FetchCounters& fetch_counters() const override { return fetch_counters_; }

  void set_configuration(protocol::Configuration configuration) {
    configuration_ = std::move(configuration);
    owners_.update(configuration_);
  }

  bool lease = true;
  std::optional<core::Instant> complete;  ///< Empty: complete up to the current time.
  std::vector<protocol::SuspicionReport> suspicions;

 private:
  protocol::Configuration configuration_;
  ownership::OwnerTable owners_;
  agent::FetchCounters fetch_counters_;
};

/// A statement with a unique request id.
inline Statement example_statement(StatementKind kind, const std::string& arguments = "thing") {
  static int number = 0;
  Statement made;
  made.id = core::RequestId("q" + std::to_string(++number));
  made.kind = kind;
  made.arguments = arguments;
  return made;
}

/// The example configuration with tenants "t1" (key "k1") and "t2" (key "k2"), both with the given quota.
protocol::Configuration configuration_with_tenants(std::optional<protocol::TenantQuota> quota = std::nullopt);

/// A group "g" of the databases a (primary), b and c, routes "writes" (primary), "board" (bounded, 1,500 ms)
/// and "own" (session, 2,500 ms), and one daemon "d".
inline protocol::Configuration example_configuration() {
  protocol::Configuration configuration;
  configuration.revision = 5;
  protocol::Group group;
  group.name = core::GroupName("g");
  group.self_registered = true;
  group.sync_replicas = 1;
  std::uint16_t port = 7000;
  for (const char* id : {"a", "b", "c"}) {
    protocol::Database database;
    database.id = core::DatabaseId(id);
    database.endpoint = {"127.0.0.1", ++port};
    database.zone = core::ZoneName(std::string("zone-") + id);
    database.slots = 3;
    database.connection_limit = 6;
    database.max_owners = 6;
    group.databases.push_back(database);
  }
  group.terms.push_back(protocol::TermStart{1, core::DatabaseId("a"), {}});
  configuration.groups[group.name] = group;
  configuration.routes.version = 1;
  using protocol::RouteKind;
  const auto route = [&](const std::string& name, RouteKind kind, std::uint32_t staleness) {
    configuration.routes.routes.push_back(
        protocol::Route{name, name, "/", kind, group.name, 400, 100, 1, 2, staleness});
  };
  route("writes", RouteKind::kPrimary, 0);
  route("board", RouteKind::kBounded, 1500);
  route("own", RouteKind::kSession, 2500);
  configuration.routes.transaction_idle_ms = 200;
  protocol::Daemon daemon;
  daemon.id = core::DaemonId("d");
  daemon.zone = core::ZoneName("zone-b");
  configuration.daemons[daemon.id] = daemon;
  return configuration;
}

inline protocol::Configuration configuration_with_tenants(std::optional<protocol::TenantQuota> quota) {
  protocol::Configuration configuration = example_configuration();
  configuration.routes.version = 2;
  configuration.routes.tenants.emplace();
  for (const char* number : {"1", "2"}) {
    protocol::Tenant tenant;
    tenant.name = core::TenantName(std::string("t") + number);
    tenant.keys.push_back(tenancy::digest_of(std::string("k") + number));
    tenant.quota = quota;
    configuration.routes.tenants->push_back(tenant);
  }
  return configuration;
}

}  // namespace pipitpond::pooling
