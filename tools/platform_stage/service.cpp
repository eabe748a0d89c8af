#include "platform_stage/service.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <nlohmann/json.hpp>

#include "http/client.hpp"
#include "pooling/waiting.hpp"

namespace pipitpond::platform_stage {

using boost::asio::awaitable;
using nlohmann::json;

namespace {

constexpr core::Duration kCallTimeout = std::chrono::seconds(1);
/// A primary that can reach a newer one goes on for this long.
constexpr core::Duration kReplacedGoesOn = std::chrono::seconds(1);
constexpr unsigned kOk = 200;
constexpr unsigned kNoOrder = 400;
constexpr unsigned kNotRunning = 409;

}  // namespace

Service::Service(boost::asio::io_context& io, ServiceOptions options)
    : io_(io), options_(std::move(options)) {
  for (int number = 0; number < options_.databases; ++number) {
    DatabaseOptions database;
    database.id = options_.name + "-" + std::to_string(number);
    database.service = options_.name;
    database.port = options_.ports.empty() ? 0 : options_.ports.at(static_cast<std::size_t>(number));
    databases_.push_back(std::make_unique<Database>(io, database, *this));
  }
}

Service::~Service() {
  stopped_ = true;
}

void Service::start() {
  for (std::size_t number = 0; number < databases_.size(); ++number) {
    databases_[number]->start();
    boost::asio::co_spawn(io_, send_heartbeats(number), boost::asio::detached);
  }
  databases_.front()->become_primary(1);
  present_primary_ = databases_.front()->options().id;
  boost::asio::co_spawn(io_, replicate_all(), boost::asio::detached);
}

Database* Service::primary() {
  Database* best = nullptr;
  for (const auto& database : databases_) {
    const bool better =
        database->running() && database->primary() && (best == nullptr || database->term() > best->term());
    if (better) {
      best = database.get();
    }
  }
  return best;
}

// --- Replication
// -------------------------------------------------------------------------------------------------

void Service::replicate(const std::string& primary, std::function<void()> acknowledged) {
  waiting_.push_back(Waiting{primary, end_of(find(primary)->log()), std::move(acknowledged)});
}

/// Replicas receive what their primary holds; a commit is acknowledged once one of them has it.
void Service::catch_up(Database& primary) {
  for (const auto& database : databases_) {
    const bool newer = primary.term() > database->term();
    const bool receives = database->receives() || (newer && database->is_held_replica());
    const bool follows =
        database.get() != &primary && primary.linked() && receives && database->term() <= primary.term();
    if (!follows) {
      continue;
    }
    database->receive(primary.log());
    database->follow(primary.term());
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
      const bool received =
          waiting->primary == primary.options().id && waiting->position <= end_of(database->log());
      if (received) {
        waiting->acknowledged();
        waiting = waiting_.erase(waiting);
      } else {
        ++waiting;
      }
    }
  }
}

/// An old primary becomes a replica of a newer one that it can reach, a little later.
void Service::retire_replaced_primaries(core::Instant now) {
  const Database* newest = primary();
  for (const auto& database : databases_) {
    const bool replaced = newest != nullptr && newest->linked() && database->linked() &&
                          database->primary() && database->term() < newest->term();
    if (!replaced) {
      replaced_since_.erase(database->options().id);
      continue;
    }
    const core::Instant since = replaced_since_.try_emplace(database->options().id, now).first->second;
    if (now - since >= kReplacedGoesOn) {
      database->follow(newest->term());
    }
  }
}

awaitable<void> Service::replicate_all() {
  while (!stopped_) {
    retire_replaced_primaries(core::BootClock::now());
    for (const auto& database : databases_) {
      if (database->running() && database->primary()) {
        catch_up(*database);
      }
    }
    co_await pooling::pause_for(io_, options_.replication_lag);
  }
}

// --- Promotion
// ---------------------------------------------------------------------------------------------------

core::Endpoint Service::start_promotion_call() {
  auto server = http::Server::start(
      io_, http::ServerOptions{},
      [this](const http::Request& request, const http::Responder& respond) { respond(order(request)); });
  promotion_call_ = std::move(server.value());
  return core::Endpoint{"127.0.0.1", promotion_call_->port()};
}

Database* Service::find(const std::string& id) {
  const auto found = std::find_if(databases_.begin(), databases_.end(),
                                  [&](const auto& database) { return database->options().id == id; });
  return found == databases_.end() ? nullptr : found->get();
}

std::vector<Order> Service::promotions() const {
  std::vector<Order> taken;
  std::copy_if(orders_.begin(), orders_.end(), std::back_inserter(taken),
               [](const Order& order) { return order.status == kOk; });
  return taken;
}

http::Response Service::order(const http::Request& request) {
  http::Response response;
  const json body = json::parse(request.body, nullptr, false);
  const std::string service = body.is_object() ? body.value("Service", "") : "";
  if (const auto other = others_.find(service); other != others_.end()) {
    return other->second->order(request);
  }
  if (request.path != "/promote" || service != options_.name) {
    response.status = kNoOrder;
    return response;
  }
  const std::string id = body.value("Id", "");
  const Database* database = find(id);
  const bool is_running = database != nullptr && database->running();
  response.status = is_running ? kOk : kNotRunning;
  orders_.push_back(Order{options_.name, id, http::header_value(request.headers, "X-Duty-Holder"),
                          std::stoull(http::header_value(request.headers, "X-Fence-Token")),
                          core::BootClock::now(), response.status});
  const bool leads = is_running && database->primary() && present_primary_ == id;
  if (is_running && !leads) {
    boost::asio::co_spawn(io_, promote(orders_.size() - 1), boost::asio::detached);
  }
  return response;
}

awaitable<void> Service::promote(std::size_t order) {
  co_await pooling::pause_for(io_, options_.promotion);
  Database& chosen = *find(orders_[order].database);
  if (!chosen.running()) {
    co_return;
  }
  core::Term newest = 0;
  for (const auto& database : databases_) {
    newest = std::max(newest, database->term());
  }
  chosen.become_primary(newest + 1);
  present_primary_ = chosen.options().id;
  orders_[order].took_effect = core::BootClock::now();
  orders_[order].log = chosen.log();
  for (const auto& database : databases_) {
    if (!database->primary() && database->linked()) {
      // The promotion ends its hold, and it receives from the new primary only. One that can't be reached
      // stays held until it hears of the new primary.
      database->follow(newest + 1);
    }
  }
}

// --- Heartbeats
// --------------------------------------------------------------------------------------------------

awaitable<void> Service::send_heartbeats(std::size_t number) {
  std::uint64_t sequence = 0;
  std::uint64_t born = 0;
  while (!stopped_) {
    Database& database = *databases_[number];
    if (database.born() != born) {
      born = database.born();
      sequence = 0;
      draining_.erase(database.options().id);
    }
    const bool silent = !database.running();
    if (!silent && co_await send_heartbeat(number, ++sequence)) {
      ++heartbeats_;
    }
    co_await pooling::pause_for(io_, options_.heartbeat);
  }
}

awaitable<bool> Service::send_heartbeat(std::size_t number, std::uint64_t sequence) {
  Database& database = *databases_[number];
  const DatabaseOptions& options = database.options();
  const core::Endpoint place = options_.advertised.empty() ? core::Endpoint{"127.0.0.1", options.port}
                                                           : options_.advertised.at(number);
  const bool draining = draining_.contains(options.id);
  const json body = {{"Service", options.service},
                     {"Address", core::to_string(place)},
                     {"Zone", options.zone},
                     {"Version", "v1"},
                     {"Slots", 3},
                     {"State", draining ? "draining" : "ready"},
                     {"ColdLeftMs", 0},
                     {"DbRole", database.primary() ? "primary" : "replica"},
                     {"Seq", sequence},
                     {"born", database.born()}};
  co_return co_await notify("/Instances.Heartbeat/" + options.id, body.dump());
}

awaitable<void> Service::leave(std::size_t number) {
  Database& database = *databases_[number];
  const std::uint64_t born = database.born();
  const json body = {{"born", born}};
  const auto goes_on = [this, &database, born] {
    return !stopped_ && database.running() && database.born() == born;
  };
  while (goes_on() && !co_await notify("/Instances.Leave/" + database.options().id, body.dump())) {
    co_await pooling::pause_for(io_, options_.heartbeat);
  }
  if (goes_on()) {
    database.crash();
  }
}

void Service::start_again(std::size_t number) {
  databases_.at(number)->restart_empty();
}

awaitable<bool> Service::notify(std::string path, std::string body) {
  for (const core::Endpoint& endpoint : options_.control) {
    auto client = co_await http::Client::connect(io_, endpoint, kCallTimeout);
    if (!client) {
      continue;
    }
    http::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    const auto response = co_await client.value()->send(std::move(request), kCallTimeout);
    if (response && response.value().status == 200) {
      co_return true;
    }
  }
  co_return false;
}

}  // namespace pipitpond::platform_stage
