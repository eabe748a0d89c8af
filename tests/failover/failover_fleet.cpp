#include "failover/failover_fleet.hpp"

#include <algorithm>
#include <map>
#include <stdexcept>

namespace pipitpond::testing {
namespace {

const core::GroupName kGroup("orders");
constexpr const char* kTable = "writes";
constexpr std::chrono::milliseconds kRetryPause(50);

nlohmann::json put_statement(const std::string& id) {
  return {{"op", "put"}, {"table", kTable}, {"id", id}, {"value", 1}};
}

fleet::FleetPlan failover_plan(std::uint32_t connection_limit) {
  fleet::FleetPlan plan;
  plan.deployments.push_back(fleet::small_plan());
  plan.deployments.back().connection_limit = connection_limit;
  return plan;
}

/// Executes one write on a new connection to the database.
boost::asio::awaitable<core::Result<experiment::JsonReply>> execute_directly(boost::asio::io_context& io,
                                                                             core::Endpoint database,
                                                                             core::Term term,
                                                                             std::string id) {
  experiment::JsonConnection connection(io, database);
  const nlohmann::json hello = {{"client", "test"}};
  auto connected = co_await connection.call("POST", "/v1/connect", hello, kAnswerLimit);
  if (!connected || !connected.value().accepted()) {
    co_return connected;
  }
  database::ExecuteRequest request;
  request.request = core::RequestId("direct-" + id);
  request.kind = core::StatementKind::kWrite;
  request.statement = put_statement(id);
  request.term = term;
  const nlohmann::json body = request;
  auto answer = co_await connection.call("POST", "/v1/execute", body, std::chrono::seconds(3));
  co_return answer;
}

}  // namespace

// --- Writers -----------------------------------------------------------------------------------------------

Writers::Writers(std::vector<core::Endpoint> proxies, std::size_t count) : proxies_(std::move(proxies)) {
  threads_.reserve(count);
  for (std::size_t number = 0; number < count; ++number) {
    threads_.emplace_back([this, number] { run(number); });
  }
}

Writers::~Writers() {
  stop();
}

std::vector<std::string> Writers::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return acknowledged_;
}

std::size_t Writers::acknowledged() {
  const std::lock_guard lock(mutex_);
  return acknowledged_.size();
}

bool Writers::wait_for_more(std::size_t count) {
  const std::size_t wanted = acknowledged() + count;
  return wait_for([&] { return acknowledged() >= wanted; });
}

void Writers::run(std::size_t number) {
  std::size_t proxy = number;
  for (std::size_t write = 0; !stopping_; ++write) {
    const std::string id = "w" + std::to_string(number) + "-" + std::to_string(write);
    const nlohmann::json body = {{"group", kGroup},
                                 {"kind", "write"},
                                 {"statement", put_statement(id)},
                                 {"key", std::to_string(core::unix_millis_now()) + "-" + id},
                                 {"deadline_ms", 1000}};
    bool done = false;
    bool not_run = false;  // Final for this key: a retry would need a new key.
    while (!done && !not_run && !stopping_) {
      const auto reply = call(proxies_[proxy % proxies_.size()], "POST", "/v1/statements", body);
      const std::string outcome = reply && reply->body.is_object() ? reply->body.value("outcome", "") : "";
      done = outcome == "done";
      not_run = outcome == "not_run";
      if (!done) {
        ++proxy;
        std::this_thread::sleep_for(kRetryPause);
      }
    }
    if (done) {
      const std::lock_guard lock(mutex_);
      acknowledged_.push_back(id);
    }
  }
}

// --- FailoverFleet -----------------------------------------------------------------------------------------

FailoverFleet::FailoverFleet(std::uint32_t connection_limit)
    : fleet_(start_fleet(failover_plan(connection_limit), folder_)) {}

std::vector<core::Endpoint> FailoverFleet::proxies() const {
  return {fleet_->endpoint("small-proxy-1"), fleet_->endpoint("small-proxy-2"),
          fleet_->endpoint("small-proxy-3")};
}

std::vector<std::string> FailoverFleet::databases() const {
  return {"orders-1", "orders-2", "orders-3"};
}

std::vector<std::string> FailoverFleet::replicas_of(const std::string& primary) const {
  auto replicas = databases();
  std::erase(replicas, primary);
  return replicas;
}

std::string FailoverFleet::primary() {
  return must(fleet_->wait_for_primary(kGroup));
}

std::string FailoverFleet::next_primary(const std::string& former) {
  return must(fleet_->wait_for_primary(kGroup, former));
}

core::Term FailoverFleet::term() {
  const auto reply = fleet_->control("GET", "/v1/status");
  if (!reply || !reply.value().accepted()) {
    return 0;
  }
  return reply.value().body.at("groups").at(0).at("term").get<core::Term>();
}

std::optional<database::StatusAnswer> FailoverFleet::status_of(const std::string& database) {
  const auto reply = call(fleet_->endpoint(database), "GET", "/v1/status");
  if (!reply || !reply->accepted()) {
    return std::nullopt;
  }
  return reply->body.get<database::StatusAnswer>();
}

std::uint64_t FailoverFleet::metric(const std::string& database, const std::string& name) {
  const auto reply = call(fleet_->endpoint(database), "GET", "/metrics");
  const std::string line = "\npipitpond_database_" + name + " ";
  const auto found = reply ? reply->text.find(line) : std::string::npos;
  if (found == std::string::npos) {
    throw std::runtime_error(database + " has no metric " + name + ".");
  }
  return std::stoull(reply->text.substr(found + line.size()));
}

std::optional<experiment::JsonReply> FailoverFleet::write_directly(const std::string& database,
                                                                   core::Term term, const std::string& id) {
  boost::asio::io_context io;
  auto reply = run(io, execute_directly(io, fleet_->endpoint(database), term, id));
  if (!reply) {
    return std::nullopt;
  }
  return std::move(reply.value());
}

void FailoverFleet::set_fault(const std::string& link, const nlohmann::json& fault) {
  nlohmann::json body = fault;
  body["link"] = link;
  if (!must(fleet_->call("small-faults", "POST", "/v1/faults", body)).accepted()) {
    throw std::runtime_error("The fault proxy refused " + body.dump() + ".");
  }
}

void FailoverFleet::expect_in_log(const std::vector<std::string>& acknowledged) {
  const auto reply = call(fleet_->endpoint(primary()), "GET", "/v1/log?from=1");
  ASSERT_TRUE(reply && reply->accepted());
  const auto log = reply->body.get<database::LogAnswer>();
  std::map<std::string, int> occurrences;
  for (const database::LogEntry& entry : log.entries) {
    for (const nlohmann::json& statement : entry.statements) {
      ++occurrences[statement.value("id", "")];
    }
  }
  for (const std::string& id : acknowledged) {
    EXPECT_EQ(occurrences[id], 1) << "log entries of acknowledged write " << id;
  }
}

}  // namespace pipitpond::testing
