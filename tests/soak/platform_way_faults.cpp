// Ways from control to the platform, and orders to promote that are under way for seconds, of SoakFaults.
#include <array>
#include <csignal>
#include <utility>

#include "soak/drawn_time.hpp"
#include "soak/soak_faults.hpp"

namespace pipitpond::soak {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kDatabases = 3;
constexpr std::uint64_t kLeastMillisBetween = 300;
constexpr std::uint64_t kMostMillisBetween = 1500;
constexpr std::uint64_t kLeastMillisOfAFault = 300;
constexpr std::uint64_t kMostMillisOfAFault = 2800;
constexpr std::uint64_t kLeastMillisUnderWay = 2000;
constexpr std::uint64_t kMostMillisUnderWay = 6000;

}  // namespace

void SoakFaults::tell(core::Instant now, const std::string& what) {
  told_.push_back(std::to_string(core::to_millis(now - begun_)) + " ms: " + what);
}

void SoakFaults::step_platform_ways(core::Instant now) {
  for (auto way = platform_ways_.begin(); way != platform_ways_.end();) {
    if (now < way->second) {
      ++way;
      continue;
    }
    platform_links_.set(way->first, WayMode::kPass);
    way = platform_ways_.erase(way);
  }
  if (const auto caught = std::exchange(caught_order_, {})) {
    keep_order(*caught);
  }
  if (orders_released_ && now >= *orders_released_) {
    release_orders();
  }
  if (now < next_of_platform_ways_) {
    return;
  }
  next_of_platform_ways_ = now + draw_time(platform_random_, kLeastMillisBetween, kMostMillisBetween);
  if (platform_random_() % 4 == 0 && !orders_released_) {
    wait_for_an_order(now);
  } else {
    hit_platform_way(now);
  }
}

void SoakFaults::hit_platform_way(core::Instant now) {
  constexpr std::array<WayMode, 4> kFaults = {WayMode::kCut, WayMode::kSlow, WayMode::kLossy,
                                              WayMode::kAnswersLost};
  const std::size_t control = platform_random_() % fleet_.controls();
  const WayMode mode = kFaults.at(platform_random_() % kFaults.size());
  platform_links_.set(control, mode);
  platform_ways_[control] = now + draw_time(platform_random_, kLeastMillisOfAFault, kMostMillisOfAFault);
  tell(now,
       std::string("the way to the platform of control ") + std::to_string(control) + ": " + to_string(mode));
}

void SoakFaults::wait_for_an_order(core::Instant now) {
  tell(now, "the next order to promote is kept on its way");
  awaits_order_ = true;
  platform_links_.catch_next_order([this](const CaughtOrder& order) { caught_order_ = order; });
  for (std::size_t number = 0; number < kDatabases; ++number) {
    platform_stage::Database& database = fleet_.service().database(number);
    const Subject subject{Part::kDatabase, number};
    if (database.running() && database.primary() && !is_hit(subject)) {
      database.crash();
      add(now, subject, "crash", [&database] { database.restart(); });
      return;
    }
  }
}

void SoakFaults::keep_order(const CaughtOrder& order) {
  const core::Instant now = core::BootClock::now();
  awaits_order_ = false;
  const milliseconds under_way = draw_time(platform_random_, kLeastMillisUnderWay, kMostMillisUnderWay);
  orders_released_ = now + under_way;
  tell(now, "the order of control " + std::to_string(order.control) + " for " + order.database +
                " is kept for " + std::to_string(under_way.count()) + " ms");
  stop_sender(now, order.control);
  for (std::size_t number = 0; number < kDatabases; ++number) {
    const bool is_ordered = fleet_.service().database(number).options().id == order.database;
    if (is_ordered && platform_random_() % 2 == 0) {
      crash_then_deafen(now, number);
    }
  }
}

/// Its kernel goes on sending the order.
void SoakFaults::stop_sender(core::Instant now, std::size_t control) {
  const Subject subject{Part::kControl, control};
  const std::uint64_t drawn = platform_random_() % 5;
  if (drawn == 0 || !may_hit_control(control)) {
    return;
  }
  if (drawn % 2 == 0) {
    fleet_.control(control).signal(SIGSTOP);
    add(now, subject, "freeze at its order", [this, control] { fleet_.control(control).signal(SIGCONT); });
    return;
  }
  kill(fleet_.control(control));
  add(now, subject, "kill at its order", [this, control] { restart_control(control); });
}

/// The ordered database is away while another one is promoted, and lags behind that one.
void SoakFaults::crash_then_deafen(core::Instant now, std::size_t number) {
  platform_stage::Database& database = fleet_.service().database(number);
  const Subject subject{Part::kDatabase, number};
  if (is_hit(subject) || !database.running()) {
    return;
  }
  database.crash();
  add(now, subject, "crash and then deafen", [this, number] {
    platform_stage::Database& returned = fleet_.service().database(number);
    returned.restart();
    returned.set_deaf(orders_released_.has_value());
    deaf_.insert(number);
  });
}

void SoakFaults::release_orders() {
  platform_links_.release_orders();
  orders_released_.reset();
  for (const std::size_t number : deaf_) {
    fleet_.service().database(number).set_deaf(false);
  }
  deaf_.clear();
}

void SoakFaults::heal_platform_ways() {
  platform_links_.catch_none();
  caught_order_.reset();
  awaits_order_ = false;
  for (const auto& [control, ends] : platform_ways_) {
    platform_links_.set(control, WayMode::kPass);
  }
  platform_ways_.clear();
  release_orders();
}

}  // namespace pipitpond::soak
