// Databases that start again under their ids without their logs, after a crash or as planned, and heartbeats
// of other writers.
//
// A run never destroys the last copy of an acknowledged write: the log of a primary stays, and of the others
// one is lost at a time, until its database has caught up.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "pooling/waiting.hpp"
#include "soak/soak_faults.hpp"

namespace pipitpond::soak {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kDatabases = 3;
constexpr core::Duration kForeignCallLimit = std::chrono::seconds(1);
/// A database that has said that it drains goes on serving for a while.
constexpr milliseconds kDrainTime(600);

}  // namespace

void SoakFaults::step_lives(core::Instant now) {
  if (log_lost_by_) {
    const platform_stage::Database* primary = fleet_.service().primary();
    const platform_stage::Database& returned = fleet_.service().database(*log_lost_by_);
    const bool caught_up = primary != nullptr && &returned != primary && returned.running() &&
                           platform_stage::end_of(returned.log()) >= platform_stage::end_of(primary->log());
    if (caught_up) {
      log_lost_by_.reset();
    }
  }
  if (now < next_of_lives_) {
    return;
  }
  next_of_lives_ = now + milliseconds(300 + life_random_() % 1500);
  const std::size_t number = life_random_() % kDatabases;
  const bool is_free = !is_hit(Subject{Part::kDatabase, number}) && may_lose_log(number);
  switch (life_random_() % 4) {
    case 0:
      if (is_free) {
        lose_log(now, number);
      }
      break;
    case 1:
      if (is_free) {
        restart_as_planned(now, number);
      }
      break;
    default:
      send_foreign_heartbeat(now);
      break;
  }
}

bool SoakFaults::may_lose_log(std::size_t number) {
  return !log_lost_by_ && leaving_.empty() && !fleet_.service().database(number).primary();
}

void SoakFaults::lose_log(core::Instant now, std::size_t number) {
  fleet_.service().database(number).crash();
  add(now, Subject{Part::kDatabase, number}, "crash and loss of the log",
      [this, number] { start_again(number); });
}

void SoakFaults::start_again(std::size_t number) {
  platform_stage::Database& database = fleet_.service().database(number);
  leaving_.erase(number);
  if (database.running()) {
    return;
  }
  if (!may_lose_log(number)) {
    database.restart();
    return;
  }
  log_lost_by_ = number;
  fleet_.service().start_again(number);
}

void SoakFaults::restart_as_planned(core::Instant now, std::size_t number) {
  fleet_.service().drain(number);
  leaving_.insert(number);
  boost::asio::co_spawn(fleet_.io(), leave_as_planned(number), boost::asio::detached);
  add(now, Subject{Part::kDatabase, number}, "planned restart", [this, number] {
    platform_stage::Database& database = fleet_.service().database(number);
    if (database.running() && !database.primary()) {
      database.crash();
    }
    start_again(number);
  });
}

boost::asio::awaitable<void> SoakFaults::leave_as_planned(std::size_t number) {
  co_await pooling::pause_for(fleet_.io(), kDrainTime);
  // One that has been promoted meanwhile, or whose fault has ended, stays.
  if (leaving_.contains(number) && !fleet_.service().database(number).primary()) {
    co_await fleet_.service().leave(number);
    const bool ended_after_its_fault = !leaving_.contains(number) && !is_hit({Part::kDatabase, number});
    if (ended_after_its_fault) {
      start_again(number);
    }
  }
}

/// At the address of a database, as from an agent that lists what runs on a machine; sometimes not even that.
void SoakFaults::send_foreign_heartbeat(core::Instant now) {
  const std::size_t number = life_random_() % kDatabases;
  json body = {{"Service", "inventory"},
               {"Address", core::to_string(database_links_.service().advertised.at(number))},
               {"Zone", "stage"},
               {"Version", "v0"},
               {"Slots", 2},
               {"State", "ready"},
               {"Seq", 1}};
  std::string id = "agent-41";
  switch (life_random_() % 5) {
    case 0:
      body["State"] = "unknown";
      break;
    case 1:
      body["Service"] = fleet_.service().database(number).options().service;
      break;
    case 2:
      id = fleet_.service().database(number).options().id;
      break;
    case 3:
      id = fleet_.service().database(number).options().id;
      body["Service"] = fleet_.service().database(number).options().service;
      body["born"] = "yesterday";
      break;
    default:
      body.erase("Slots");
      body["Address"] = 7;
      break;
  }
  const std::size_t control = life_random_() % fleet_.controls();
  told_.push_back(std::to_string(core::to_millis(now - begun_)) + " ms: another writer tells control " +
                  std::to_string(control) + " of " + id + ": " + body.dump());
  http::Request request;
  request.method = "POST";
  request.path = "/Instances.Heartbeat/" + id;
  request.body = body.dump();
  boost::asio::co_spawn(fleet_.io(), fleet_.ask_control(control, std::move(request), kForeignCallLimit),
                        [](const std::exception_ptr&, const std::pair<unsigned, std::string>&) {});
}

}  // namespace pipitpond::soak
