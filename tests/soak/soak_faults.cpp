#include "soak/soak_faults.hpp"

#include <algorithm>
#include <csignal>

namespace pipitpond::soak {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMostAtOnce = 3;
constexpr auto kSupervisorInterval = milliseconds(300);
constexpr auto kStormInterval = milliseconds(80);
constexpr auto kSeriesInterval = milliseconds(150);
constexpr auto kDarkTime = milliseconds(800);
/// After a loss of power: how long only replicas that lag, and one that lost its disk, are back.
constexpr auto kWithoutMajorityTime = milliseconds(2500);
constexpr auto kStopLimit = std::chrono::seconds(10);
/// Of an exit code: the process was ended by the signal that follows.
constexpr int kSignalled = 128;
constexpr auto kDeathLimit = std::chrono::seconds(5);
/// The draws of faults that were added later are not those of the other faults.
constexpr std::uint64_t kPowerSeed = 0xD1B54A32D192ED03;
constexpr std::uint64_t kPlatformSeed = 0xA0761D6478BD642F;
constexpr std::uint64_t kSplitSeed = 0xE7037ED1A0B428DB;
constexpr std::uint64_t kAllPowerSeed = 0x8BB84B93962EACC9;

}  // namespace

std::string to_string(const Subject& subject) {
  switch (subject.part) {
    case Part::kControl:
      return "control " + std::to_string(subject.number);
    case Part::kAllControl:
      return "all of control";
    case Part::kOperators:
      return "operators at control " + std::to_string(subject.number);
    case Part::kProxy:
      return "proxy " + std::to_string(subject.number);
    case Part::kDatabase:
      return "database " + std::to_string(subject.number);
    case Part::kDatabaseLink:
      return "link to database " + std::to_string(subject.number);
  }
  return "";
}

SoakFaults::SoakFaults(platform::PlatformFleet& fleet, const DatabaseLinks& database_links,
                       MachineLinks& machine_links, PlatformLinks& platform_links, ConfigurationRule& rule,
                       ConfigurationTraffic& traffic, std::uint64_t seed)
    : fleet_(fleet),
      database_links_(database_links),
      machine_links_(machine_links),
      platform_links_(platform_links),
      rule_(rule),
      traffic_(traffic),
      random_(seed),
      life_random_(~seed),
      power_random_(seed ^ kPowerSeed),
      platform_random_(seed ^ kPlatformSeed),
      split_random_(seed ^ kSplitSeed),
      all_power_random_(seed ^ kAllPowerSeed),
      begun_(core::BootClock::now()) {
  traffic_.on_acknowledged([this](std::size_t replica) { strike_at_acknowledgement(replica); });
  schedule_loss_of_all_power(begun_);
  if (draw(3) == 0) {
    protect_majority();
  }
}

void SoakFaults::step(core::Instant now) {
  for (auto active = active_.begin(); active != active_.end();) {
    if (now < active->ends) {
      ++active;
      continue;
    }
    active->end();
    tell_rule(active->subject, FaultEdge::kEnd);
    active = active_.erase(active);
  }
  restart_ended(now);
  step_squeezed(now);
  step_storm(now);
  step_series(now);
  step_lives(now);
  step_platform_ways(now);
  step_splits(now);
  step_loss_of_all_power(now);
  if (now >= next_ && active_.size() < kMostAtOnce) {
    begin(now);
    next_ = now + milliseconds(200 + draw(900));
  }
  if (now >= next_of_links_and_disks_ && active_.size() < kMostAtOnce) {
    hit_link_or_disk(now);
    next_of_links_and_disks_ = now + milliseconds(200 + draw(900));
  }
}

/// What ends by itself is started again a little later, as any supervisor does.
void SoakFaults::restart_ended(core::Instant now) {
  if (now < next_look_) {
    return;
  }
  next_look_ = now + kSupervisorInterval;
  for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
    const Subject subject{Part::kProxy, number};
    if (!is_hit(subject) && !fleet_.proxy(number).running()) {
      note_end(subject, fleet_.proxy(number));
      restart_proxy(number);
    }
  }
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    const Subject subject{Part::kControl, number};
    if (!any_control_hit() && !is_gone(number) && !fleet_.control(number).running()) {
      note_end(subject, fleet_.control(number));
      restart_control(number);
    }
  }
}

/// A process may end itself, as over a disk that refuses it; a crash is a fault of ours.
void SoakFaults::note_end(const Subject& subject, process::Child& child) {
  tell_rule(subject, FaultEdge::kMoment);
  const int code = child.wait(milliseconds(0)).value_or(0);
  told_.push_back(to_string(subject) + " had ended by itself with " + std::to_string(code));
  const bool crashed = code == kSignalled + SIGSEGV || code == kSignalled + SIGABRT ||
                       code == kSignalled + SIGBUS || code == kSignalled + SIGFPE ||
                       code == kSignalled + SIGILL;
  if (crashed) {
    crashes_.push_back(told_.back());
  }
}

void SoakFaults::kill(process::Child& child) {
  child.signal(SIGKILL);
  child.wait(kDeathLimit);
}

void SoakFaults::heal() {
  for (const Active& active : active_) {
    active.end();
    tell_rule(active.subject, FaultEdge::kEnd);
  }
  active_.clear();
  awaits_acknowledgement_ = false;
  heal_platform_ways();
  restart_ended(core::Instant::max() - kSupervisorInterval);
  rule_.on_fault_of_all_control(core::BootClock::now());
}

void SoakFaults::tell_rule(const Subject& subject, FaultEdge edge) {
  const core::Instant now = core::BootClock::now();
  if (subject.part == Part::kControl) {
    rule_.on_control_fault(subject.number, now, edge);
  } else if (subject.part == Part::kAllControl) {
    rule_.on_fault_of_all_control(now, edge);
  } else if (subject.part == Part::kProxy) {
    rule_.on_proxy_fault(subject.number, now, edge);
  }
}

SoakFaults::Active& SoakFaults::add(core::Instant now, const Subject& subject, const std::string& what,
                                    std::function<void()> end) {
  tell_rule(subject, FaultEdge::kBegin);
  told_.push_back(std::to_string(core::to_millis(now - begun_)) + " ms: " + what + " " + to_string(subject));
  active_.push_back(Active{subject, now + milliseconds(300 + draw(2500)), std::move(end)});
  return active_.back();
}

bool SoakFaults::is_hit(const Subject& subject) const {
  return std::any_of(active_.begin(), active_.end(),
                     [&](const Active& active) { return active.subject == subject; });
}

bool SoakFaults::any_control_hit() const {
  return std::any_of(active_.begin(), active_.end(), [](const Active& active) {
    return active.subject.part == Part::kControl || active.subject.part == Part::kAllControl;
  });
}

void SoakFaults::begin(core::Instant now) {
  switch (draw(14)) {
    case 0:
    case 1:
    case 2:
      hit_proxy(now);
      break;
    case 3:
    case 4:
      hit_control(now);
      break;
    case 5:
      kill_all_control(now);
      break;
    case 6:
    case 7:
    case 8:
      hit_database(now);
      break;
    case 9:
    case 10:
      hit_database_link(now);
      break;
    case 11:
      begin_storm(now);
      break;
    case 12:
      begin_series(now);
      break;
    default:
      traffic_.begin_change();
      break;
  }
}

void SoakFaults::hit_link_or_disk(core::Instant now) {
  if (draw(4) == 0) {
    hit_disk(now);
  } else {
    hit_machine_link(now);
  }
}

void SoakFaults::begin_storm(core::Instant now) {
  told_.push_back(std::to_string(core::to_millis(now - begun_)) + " ms: changes in quick succession");
  storm_ends_ = now + milliseconds(500 + draw(2500));
}

void SoakFaults::step_storm(core::Instant now) {
  if (now >= storm_ends_ || now < next_storm_change_) {
    return;
  }
  next_storm_change_ = now + kStormInterval;
  traffic_.begin_change();
}

void SoakFaults::begin_series(core::Instant now) {
  told_.push_back(std::to_string(core::to_millis(now - begun_)) + " ms: a series of signals to proxies");
  left_in_series_ = 2 + draw(2 * fleet_.proxies());
}

void SoakFaults::step_series(core::Instant now) {
  if (left_in_series_ == 0 || now < next_of_series_) {
    return;
  }
  next_of_series_ = now + kSeriesInterval;
  --left_in_series_;
  hit_proxy(now);
}

void SoakFaults::wait_until_disks_caught_up() {
  const auto left = std::chrono::duration_cast<milliseconds>(next_lost_disk_ - core::BootClock::now());
  fleet_.pause(std::max(left, milliseconds(0)));
}

void SoakFaults::lose_a_disk_and_all_power() {
  const std::set<std::size_t> lagging = draw(2) == 0 ? freeze_spare_controls() : std::set<std::size_t>{};
  traffic_.change_now();
  if (!lagging.empty() && power_random_() % 2 == 0) {
    change_across_a_kill_in_a_sync(lagging);
  } else if (!lagging.empty()) {
    traffic_.change_now();
  }
  const core::Instant now = core::BootClock::now();
  std::size_t lost = draw(fleet_.controls());
  while (is_gone(lost) || lagging.contains(lost)) {
    lost = draw(fleet_.controls());
  }
  told_.push_back(std::to_string(core::to_millis(now - begun_)) + " ms: all lose power, control " +
                  std::to_string(lost) + " its disk; replicas that lag: " + std::to_string(lagging.size()));
  take_all_power(true);
  fleet_.lose_disk(lost);
  fleet_.pause(kDarkTime);
  on_dark_();
  if (!lagging.empty()) {
    restart_control(lost);
    for (const std::size_t number : lagging) {
      restart_control(number);
    }
    restart_all_proxies();
    fleet_.pause(kWithoutMajorityTime);
  }
  restart_all_control();
  restart_all_proxies();
  rule_.on_fault_of_all_control(core::BootClock::now());
}

void SoakFaults::take_all_power(bool keeps_remains) {
  rule_.on_fault_of_all_control(core::BootClock::now());
  database_links_.lose_power_of_clients(fleet_);
  kill_everything();
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    fleet_.control(number).wait(kDeathLimit);
  }
  for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
    fleet_.proxy(number).wait(kDeathLimit);
  }
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    lose_unsynced(number, keeps_remains ? platform::UnsyncedFate{power_random_()} : platform::UnsyncedFate{});
  }
}

void SoakFaults::kill_everything() {
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    fleet_.control(number).signal(SIGKILL);
  }
  for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
    fleet_.proxy(number).signal(SIGKILL);
  }
}

void SoakFaults::restart_all_proxies() {
  for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
    restart_proxy(number);
  }
}

void SoakFaults::shift_clock() {
  fleet_.set_clock_shift(milliseconds(static_cast<std::int64_t>(draw(20'000)) - 10'000));
}

void SoakFaults::restart_proxy(std::size_t number) {
  if (!fleet_.proxy(number).running()) {
    shift_clock();
    fleet_.restart_proxy(number);
  }
}

void SoakFaults::hit_proxy(core::Instant now) {
  const std::size_t number = draw(fleet_.proxies());
  const Subject subject{Part::kProxy, number};
  if (is_hit(subject)) {
    return;
  }
  process::Child& proxy = fleet_.proxy(number);
  switch (draw(4)) {
    case 0:
      kill(proxy);
      add(now, subject, "kill", [this, number] { restart_proxy(number); });
      break;
    case 1:
      proxy.signal(SIGSTOP);
      add(now, subject, "freeze", [this, number] { fleet_.proxy(number).signal(SIGCONT); });
      break;
    case 2:
      proxy.signal(SIGTERM);
      add(now, subject, "stop", [this, number] {
        fleet_.wait([&] { return !fleet_.proxy(number).running(); }, kStopLimit);
        restart_proxy(number);
      });
      break;
    default:
      // No fault: the proxy stays in touch.
      proxy.signal(SIGHUP);
      told_.push_back(std::to_string(core::to_millis(now - begun_)) + " ms: hang up " + to_string(subject));
      break;
  }
}

void SoakFaults::hit_database(core::Instant now) {
  const std::size_t number = draw(3);
  const Subject subject{Part::kDatabase, number};
  if (is_hit(subject)) {
    return;
  }
  platform_stage::Database& database = fleet_.service().database(number);
  switch (draw(6)) {
    case 0:
      database.crash();
      add(now, subject, "crash", [&database] { database.restart(); });
      break;
    case 1:
      database.set_dark(true);
      add(now, subject, "darken", [&database] { database.set_dark(false); });
      break;
    case 2:
      database.set_cut_off(true);
      add(now, subject, "cut off from the others", [&database] { database.set_cut_off(false); });
      break;
    case 3:
      database.lose_answers(3);
      add(now, subject, "lose 3 answers of", [&database] { database.lose_answers(0); });
      break;
    case 4:
      database.fail_statements(4);
      add(now, subject, "fail 4 statements of", [&database] { database.fail_statements(0); });
      break;
    default:
      database.set_work(milliseconds(60));
      add(now, subject, "slow", [&database] { database.set_work(milliseconds(2)); });
      break;
  }
}

void SoakFaults::hit_database_link(core::Instant now) {
  const std::size_t number = draw(3);
  const Subject subject{Part::kDatabaseLink, number};
  if (is_hit(subject)) {
    return;
  }
  const LinkMode mode = draw_cut();
  database_links_.set(fleet_, number, mode);
  add(now, subject, to_string(mode),
      [this, number] { database_links_.set(fleet_, number, LinkMode::kPass); });
}

}  // namespace pipitpond::soak
