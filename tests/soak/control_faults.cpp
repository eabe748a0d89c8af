// Faults of control, of SoakFaults.
#include <sys/resource.h>

#include <algorithm>
#include <csignal>

#include "soak/soak_faults.hpp"

namespace pipitpond::soak {

using std::chrono::milliseconds;

namespace {

/// A replica that lost its disk counts as lost for so long after its return: another lost disk before that
/// would be one more than control bears.
constexpr auto kCatchUp = std::chrono::seconds(6);
constexpr auto kStopLimit = std::chrono::seconds(10);
/// How much longer a sync takes on a slow disk, at most; on one that stalls, for as long as the fault lasts.
constexpr std::uint64_t kSlowSyncMillis = 400;
constexpr auto kStalledSync = std::chrono::seconds(60);
constexpr auto kAllSlowSync = milliseconds(40);
/// Of a squeezed replica: how long it runs and stands still in turn.
constexpr auto kSlice = milliseconds(40);
/// Control machines that the settings name.
constexpr std::size_t kSeedMachines = 3;

/// From now on the process can't write to files, as on a full disk, or can again.
void set_disk_full(process::Child& child, bool full) {
  const rlim_t limit = full ? 0 : RLIM_INFINITY;
  const rlimit limits{limit, RLIM_INFINITY};
  prlimit(child.pid(), RLIMIT_FSIZE, &limits, nullptr);
}

}  // namespace

void SoakFaults::protect_majority() {
  while (2 * protected_controls_.size() <= fleet_.controls()) {
    protected_controls_.insert(draw(fleet_.controls()));
  }
}

bool SoakFaults::may_hit_control(std::size_t number) const {
  const auto hit =
      static_cast<std::size_t>(std::count_if(active_.begin(), active_.end(), [](const Active& active) {
        return active.subject.part == Part::kControl;
      }));
  return hit < spare_controls() && !is_hit({Part::kAllControl}) && !is_gone(number) &&
         !is_hit({Part::kControl, number}) && !protected_controls_.contains(number);
}

std::optional<std::size_t> SoakFaults::draw_control() {
  const std::size_t number = draw(fleet_.controls());
  return may_hit_control(number) ? std::optional(number) : std::nullopt;
}

void SoakFaults::hit_control(core::Instant now) {
  const auto drawn = draw_control();
  if (!drawn) {
    return;
  }
  const std::size_t number = *drawn;
  const Subject subject{Part::kControl, number};
  process::Child& control = fleet_.control(number);
  switch (draw(8)) {
    case 0: {
      kill(control);
      const bool loses_power = power_random_() % 2 == 0;
      if (loses_power) {
        lose_unsynced(number);
      }
      add(now, subject, loses_power ? "take the power of" : "kill",
          [this, number] { restart_control(number); });
      break;
    }
    case 1:
      control.signal(SIGSTOP);
      add(now, subject, "freeze", [this, number] { fleet_.control(number).signal(SIGCONT); });
      break;
    case 2:
      lose_control_disk(now, number, subject);
      break;
    case 3:
      stop_control(now, number, subject);
      break;
    case 4:
      squeeze_control(now, number, subject);
      break;
    case 5:
      replace_control(now, number, subject);
      break;
    case 6:
      exchange_seeds();
      break;
    default:
      set_disk_full(control, true);
      add(now, subject, "fill the disk of", [this, number] {
        if (fleet_.control(number).running()) {
          set_disk_full(fleet_.control(number), false);
        }
        restart_control(number);
      });
      break;
  }
}

void SoakFaults::stop_control(core::Instant now, std::size_t number, const Subject& subject) {
  fleet_.control(number).signal(SIGTERM);
  add(now, subject, "stop", [this, number] {
    fleet_.wait([&] { return !fleet_.control(number).running(); }, kStopLimit);
    restart_control(number);
  });
}

void SoakFaults::lose_control_disk(core::Instant now, std::size_t number, const Subject& subject) {
  if (now < next_lost_disk_) {
    return;
  }
  kill(fleet_.control(number));
  fleet_.lose_disk(number);
  next_lost_disk_ = core::Instant::max();
  add(now, subject, "lose the disk of", [this, number] {
    restart_control(number);
    disk_is_lost_until_caught_up();
  });
}

void SoakFaults::replace_control(core::Instant now, std::size_t number, const Subject& subject) {
  const bool has_spare = spare_controls() > 1;
  if (now < next_lost_disk_ || gone_.size() >= kMostReplacedControls || !has_spare) {
    return;
  }
  kill(fleet_.control(number));
  platform_links_.lose_power(number);
  fleet_.lose_disk(number);
  gone_.insert(number);
  next_lost_disk_ = core::Instant::max();
  add(now, subject, "replace", [this] {
    fleet_.add_control(draw_seeds());
    exchange_seeds();
    disk_is_lost_until_caught_up();
  });
}

void SoakFaults::disk_is_lost_until_caught_up() {
  next_lost_disk_ = core::BootClock::now() + kCatchUp;
}

void SoakFaults::squeeze_control(core::Instant now, std::size_t number, const Subject& subject) {
  squeezed_[number] = true;
  add(now, subject, "squeeze", [this, number] {
    squeezed_.erase(number);
    fleet_.control(number).signal(SIGCONT);
  });
}

void SoakFaults::step_squeezed(core::Instant now) {
  if (now < next_slice_) {
    return;
  }
  next_slice_ = now + kSlice;
  for (auto& [number, runs] : squeezed_) {
    runs = !runs;
    fleet_.control(number).signal(runs ? SIGCONT : SIGSTOP);
  }
}

std::vector<std::size_t> SoakFaults::draw_seeds() {
  std::vector<std::size_t> alive;
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    if (!is_gone(number)) {
      alive.push_back(number);
    }
  }
  std::shuffle(alive.begin(), alive.end(), random_);
  alive.resize(std::min(alive.size(), kSeedMachines));
  return alive;
}

/// All settings name other machines from now on; some of the processes are told at once.
void SoakFaults::exchange_seeds() {
  const std::vector<std::size_t> seeds = draw_seeds();
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    fleet_.set_control_seeds(number, seeds);
    if (!is_gone(number) && draw(2) == 0) {
      fleet_.control(number).signal(SIGHUP);
    }
  }
  for (std::size_t number = 0; number < fleet_.proxies(); ++number) {
    fleet_.set_proxy_seeds(number, seeds);
    if (draw(2) == 0) {
      fleet_.proxy(number).signal(SIGHUP);
    }
  }
  told_.push_back(std::to_string(core::to_millis(core::BootClock::now() - begun_)) + " ms: other seeds");
}

void SoakFaults::set_sync_delays(milliseconds delay) {
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    fleet_.slow_disk(number, delay);
  }
}

void SoakFaults::hit_disk(core::Instant now) {
  if (draw(4) == 0 && !any_control_hit() && protected_controls_.empty()) {
    set_sync_delays(kAllSlowSync);
    add(now, {Part::kAllControl}, "slow the disks of", [this] { set_sync_delays(milliseconds(0)); });
    return;
  }
  const auto drawn = draw_control();
  if (!drawn) {
    return;
  }
  const bool stalls = draw(3) == 0;
  fleet_.slow_disk(*drawn, stalls ? kStalledSync : milliseconds(20 + draw(kSlowSyncMillis)));
  if (power_random_() % 3 == 0) {
    add(now, {Part::kControl, *drawn}, "slow, kill in a sync and then take the power of",
        [this, number = *drawn] { kill_in_a_sync_then_lose_power(number); });
    return;
  }
  add(now, {Part::kControl, *drawn}, stalls ? "stall the disk of" : "slow the disk of",
      [this, number = *drawn] { fleet_.slow_disk(number, milliseconds(0)); });
}

void SoakFaults::kill_all_control(core::Instant now) {
  if (any_control_hit() || !protected_controls_.empty()) {
    return;
  }
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    kill(fleet_.control(number));
  }
  const bool loses_power = power_random_() % 2 == 0;
  for (std::size_t number = 0; loses_power && number < fleet_.controls(); ++number) {
    lose_unsynced(number);
  }
  add(now, {Part::kAllControl}, loses_power ? "take the power of" : "kill",
      [this] { restart_all_control(); });
}

std::set<std::size_t> SoakFaults::freeze_spare_controls() {
  rule_.on_fault_of_all_control(core::BootClock::now());
  std::set<std::size_t> frozen;
  while (frozen.size() < spare_controls()) {
    const std::size_t number = draw(fleet_.controls());
    if (!is_gone(number) && frozen.insert(number).second) {
      fleet_.control(number).signal(SIGSTOP);
    }
  }
  return frozen;
}

void SoakFaults::restart_all_control() {
  for (std::size_t number = 0; number < fleet_.controls(); ++number) {
    restart_control(number);
  }
}

void SoakFaults::restart_control(std::size_t number) {
  if (!is_gone(number) && !fleet_.control(number).running()) {
    shift_clock();
    fleet_.restart_control(number);
  }
}

}  // namespace pipitpond::soak
