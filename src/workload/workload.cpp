#include "workload/workload.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <string>
#include <utility>

#include "workload/statements.hpp"

namespace pipitpond::workload {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kIngestPause = milliseconds(120);
constexpr core::Duration kCataloguePause = milliseconds(120);
constexpr core::Duration kTallyPause = milliseconds(250);
constexpr core::Duration kConfirmPause = milliseconds(200);
constexpr core::Duration kBoardPause = milliseconds(150);
constexpr std::size_t kCatalogueLimit = 20;
constexpr std::size_t kBoardLimit = 30;
constexpr std::size_t kBlobBytes = 20'000;
constexpr std::size_t kRegisterEntries = 8;
constexpr std::array<const char*, 6> kSpecies = {"crowned-crane", "shoebill", "kingfisher",
                                                 "ibis",          "moorhen",  "pipit"};

std::uint64_t seed_of(std::uint64_t seed, const std::string& caller) {
  return seed ^ std::hash<std::string>{}(caller);
}

std::string species_of(Caller& caller) {
  return kSpecies.at(caller.draw(kSpecies.size()));
}

}  // namespace

Workload::Workload(boost::asio::io_context& io, Deployment deployment, std::uint64_t seed)
    : deployment_(std::move(deployment)), run_{io, deployment_, history_}, seed_(seed) {}

void Workload::start(core::Duration length) {
  began_us_ = unix_micros_now();
  length_ = length;
  const auto bind = [this](auto method) {
    return [this, method](Caller& caller, std::uint32_t number) { return (this->*method)(caller, number); };
  };
  if (deployment_.name == "archive") {
    start_callers("pipeline", deployment_.writers, bind(&Workload::ingest));
    start_callers("astronomer", deployment_.readers, bind(&Workload::query_catalogue));
    return;
  }
  start_callers("phone", deployment_.writers, bind(&Workload::submit_tallies));
  start_callers("ranger", deployment_.confirmers, bind(&Workload::confirm_sightings));
  start_callers("board", deployment_.readers, bind(&Workload::read_board));
}

void Workload::stop() {
  run_.stopping = true;
}

void Workload::start_callers(const std::string& kind, std::uint32_t count, const Behaviour& behaviour) {
  for (std::uint32_t number = 0; number < count; ++number) {
    const std::string name = deployment_.name + "-" + kind + "-" + std::to_string(number);
    callers_.push_back(std::make_unique<Caller>(run_, name, core::TenantName(kind), seed_of(seed_, name)));
    ++running_;
    boost::asio::co_spawn(run_.io, run_caller(*callers_.back(), number, behaviour),
                          [](std::exception_ptr failure) {
                            if (failure) {
                              std::rethrow_exception(failure);
                            }
                          });
  }
}

boost::asio::awaitable<void> Workload::run_caller(Caller& caller, std::uint32_t number, Behaviour behaviour) {
  co_await caller.think(kBoardPause);
  co_await behaviour(caller, number);
  --running_;
}

core::GroupName Workload::group_of(std::uint32_t number) const {
  return deployment_.groups[number % deployment_.groups.size()];
}

const core::ZoneName& Workload::daylight_zone() const {
  const auto passed = static_cast<double>(unix_micros_now() - began_us_);
  const double share = passed / static_cast<double>(std::max<std::int64_t>(length_.count(), 1));
  const auto zone = static_cast<std::size_t>(share * static_cast<double>(deployment_.zones.size()));
  return deployment_.zones[std::min(zone, deployment_.zones.size() - 1)];
}

// Logs exposures through the night: one in four together with its calibration and the frame counter, as one
// transaction. Every other pipeline reconnects elsewhere now and then.
boost::asio::awaitable<void> Workload::ingest(Caller& caller, std::uint32_t number) {
  const core::GroupName group = group_of(number);
  const bool roams = number % 2 == 1;
  const std::string pipeline = "pipeline-" + std::to_string(number);
  std::uint32_t exposure = 0;
  while (!caller.stopping()) {
    const std::string id = pipeline + "-" + std::to_string(exposure++);
    if (caller.chance(4)) {
      std::vector<nlohmann::json> statements;
      statements.push_back(put_record("exposures", id, 1));
      statements.push_back(put_record("calibrations", id, 1));
      statements.push_back(add_to_counter("frames", pipeline, 1));
      co_await caller.transact(group, std::move(statements));
    } else if (caller.chance(3)) {
      co_await caller.add(group, "frames", pipeline, 1);
    } else {
      co_await caller.put(group, "exposures", id, 1);
    }
    if (roams && caller.chance(5)) {
      caller.roam();
    }
    co_await caller.read_value(group, "exposures", id);
    if (caller.chance(2)) {
      co_await caller.read_value(group, "frames", pipeline);
    }
    co_await caller.think(kIngestPause);
  }
}

boost::asio::awaitable<void> Workload::query_catalogue(Caller& caller, std::uint32_t number) {
  const std::uint32_t pipelines = std::max(deployment_.writers, 1U);
  while (!caller.stopping()) {
    const auto pipeline = static_cast<std::uint32_t>(caller.draw(pipelines));
    const core::GroupName group = group_of(pipeline);
    if (caller.chance(5)) {
      co_await caller.read_blob(group, kBlobBytes);
    } else if (caller.chance(3)) {
      co_await caller.read_table(group, "frames", kCatalogueLimit);
    } else {
      co_await caller.read_value(group, "frames", "pipeline-" + std::to_string(pipeline));
    }
    if (caller.chance(40 + number % 2)) {
      caller.roam();
    }
    co_await caller.think(kCataloguePause);
  }
}

// Two in three phones are where the day is; a phone changes network often.
boost::asio::awaitable<void> Workload::submit_tallies(Caller& caller, std::uint32_t number) {
  const core::GroupName group = group_of(number);
  const bool follows_sun = number % 3 != 0;
  while (!caller.stopping()) {
    if (follows_sun) {
      caller.move_to(daylight_zone());
    }
    const std::string site = "site-" + std::to_string(number % 8) + "-" + species_of(caller);
    const auto birds = static_cast<std::int64_t>(1 + caller.draw(9));
    co_await caller.add(group, "tallies", site, birds);
    if (caller.chance(4)) {
      caller.roam();
    }
    co_await caller.read_value(group, "tallies", site);
    co_await caller.think(kTallyPause);
  }
}

boost::asio::awaitable<void> Workload::confirm_sightings(Caller& caller, std::uint32_t number) {
  const core::GroupName group = group_of(number);
  std::int64_t week = 0;
  while (!caller.stopping()) {
    ++week;
    const std::string entry = std::to_string(caller.draw(kRegisterEntries));
    const std::string id = "ranger-" + std::to_string(number) + "-" + entry;
    co_await caller.read_table(group, "tallies", kBoardLimit);
    co_await caller.put(group, "confirmations", id, week);
    if (caller.chance(3)) {
      caller.roam();
    }
    co_await caller.read_value(group, "confirmations", id);
    co_await caller.think(kConfirmPause);
  }
}

boost::asio::awaitable<void> Workload::read_board(Caller& caller, std::uint32_t number) {
  while (!caller.stopping()) {
    const core::GroupName group =
        group_of(static_cast<std::uint32_t>(caller.draw(deployment_.groups.size())));
    if (number % 3 != 0) {
      caller.move_to(daylight_zone());
    }
    if (caller.chance(8)) {
      co_await caller.read_blob(group, kBlobBytes);
    } else if (caller.chance(3)) {
      const std::string site = "site-" + std::to_string(caller.draw(8)) + "-" + species_of(caller);
      co_await caller.read_value(group, "tallies", site);
    } else {
      co_await caller.read_table(group, "tallies", kBoardLimit);
    }
    co_await caller.think(kBoardPause);
  }
}

}  // namespace pipitpond::workload
