// Losses of power, of SoakFaults: what was not synced is gone.
#include <algorithm>
#include <iterator>
#include <utility>

#include "soak/drawn_time.hpp"
#include "soak/soak_faults.hpp"

namespace pipitpond::soak {

using std::chrono::milliseconds;

namespace {

/// From the restart of a killed replica to its loss of power.
constexpr std::uint64_t kMostMillisToPowerLoss = 600;
/// Of a sync that a replica is killed in.
constexpr auto kStalledSync = std::chrono::seconds(10);
/// For a change that most replicas can take at once.
constexpr auto kAcknowledgedSoon = std::chrono::seconds(1);
/// Of all disks, while a change is under way whose acknowledgement is the last thing that happens.
constexpr auto kSlowSyncBeforeLoss = milliseconds(150);
constexpr std::uint64_t kLeastMillisBetweenLosses = 1500;
constexpr std::uint64_t kMostMillisBetweenLosses = 7000;
constexpr std::uint64_t kLeastMillisInTheDark = 200;
constexpr std::uint64_t kMostMillisInTheDark = 1200;

}  // namespace

void SoakFaults::lose_unsynced(std::size_t number) {
  lose_unsynced(number, platform::UnsyncedFate{power_random_()});
}

void SoakFaults::lose_unsynced(std::size_t number, const platform::UnsyncedFate& fate) {
  platform_links_.lose_power(number);
  fleet_.lose_unsynced(number, fate);
}

void SoakFaults::kill_in_a_sync_then_lose_power(std::size_t number) {
  kill(fleet_.control(number));
  fleet_.slow_disk(number, milliseconds(0));
  restart_control(number);
  fleet_.pause(milliseconds(power_random_() % kMostMillisToPowerLoss));
  kill(fleet_.control(number));
  lose_unsynced(number);
  restart_control(number);
}

void SoakFaults::change_across_a_kill_in_a_sync(const std::set<std::size_t>& lagging) {
  std::size_t number = power_random_() % fleet_.controls();
  while (is_gone(number) || lagging.contains(number)) {
    number = power_random_() % fleet_.controls();
  }
  told_.push_back("a change across a kill of control " + std::to_string(number) + " in a sync");
  const std::size_t acknowledged = rule_.acknowledged().size();
  fleet_.slow_disk(number, kStalledSync);
  traffic_.begin_change();
  fleet_.wait([&] { return fleet_.has_unsynced(number); }, kAcknowledgedSoon);
  kill(fleet_.control(number));
  fleet_.slow_disk(number, milliseconds(0));
  restart_control(number);
  fleet_.wait([&] { return rule_.acknowledged().size() > acknowledged; }, kAcknowledgedSoon);
}

void SoakFaults::schedule_loss_of_all_power(core::Instant after) {
  next_loss_of_all_power_ =
      after + draw_time(all_power_random_, kLeastMillisBetweenLosses, kMostMillisBetweenLosses);
}

void SoakFaults::step_loss_of_all_power(core::Instant now) {
  if (struck_at_) {
    lose_all_power_amid_faults(now, *std::exchange(struck_at_, std::nullopt));
    schedule_loss_of_all_power(core::BootClock::now());
  } else if (now >= next_loss_of_all_power_ && protected_controls_.empty() && !awaits_acknowledgement_) {
    await_acknowledgement();
  }
}

void SoakFaults::await_acknowledgement() {
  awaits_acknowledgement_ = true;
  if (any_control_hit() || all_power_random_() % 2 == 0) {
    return;
  }
  set_sync_delays(kSlowSyncBeforeLoss);
  add(core::BootClock::now(), {Part::kAllControl}, "before all lose power, slow the disks of",
      [this] { set_sync_delays(milliseconds(0)); });
}

void SoakFaults::strike_at_acknowledgement(std::size_t replica) {
  if (std::exchange(awaits_acknowledgement_, false)) {
    kill_everything();
    struck_at_ = replica;
  }
}

void SoakFaults::lose_all_power_amid_faults(core::Instant now, std::size_t acknowledged_by) {
  const bool keeps_remains = all_power_random_() % 2 == 0;
  take_all_power(keeps_remains);
  std::string what =
      "all lose power right after control " + std::to_string(acknowledged_by) + " acknowledged";
  const std::optional<std::size_t> lost = draw_lost_disk(now, acknowledged_by);
  if (lost) {
    fleet_.lose_disk(*lost);
    what += ", control " + std::to_string(*lost) + " its disk";
  }
  tell(now, what + ", amid " + std::to_string(active_.size()) + " other faults");
  fleet_.pause(draw_time(all_power_random_, kLeastMillisInTheDark, kMostMillisInTheDark));
  end_faults_of_machines();
  restart_all_control();
  restart_all_proxies();
  if (lost) {
    disk_is_lost_until_caught_up();
  }
  const core::Instant returned = core::BootClock::now();
  rule_.on_fault_of_all_control(returned);
  for (std::size_t proxy = 0; proxy < fleet_.proxies(); ++proxy) {
    rule_.on_proxy_fault(proxy, returned);
  }
}

std::optional<std::size_t> SoakFaults::draw_lost_disk(core::Instant now, std::size_t acknowledged_by) {
  if (now < next_lost_disk_) {
    return std::nullopt;
  }
  std::size_t lost = all_power_random_() % 2 == 0 ? acknowledged_by : all_power_random_() % fleet_.controls();
  while (is_gone(lost)) {
    lost = all_power_random_() % fleet_.controls();
  }
  return lost;
}

/// They end with the machines' power; cuts of links and faults of databases go on.
void SoakFaults::end_faults_of_machines() {
  const auto is_of_machine = [](const Active& active) {
    const Part part = active.subject.part;
    return !active.on_links && (part == Part::kControl || part == Part::kAllControl || part == Part::kProxy);
  };
  const auto first = std::stable_partition(active_.begin(), active_.end(),
                                           [&](const Active& active) { return !is_of_machine(active); });
  std::vector<Active> ending(std::make_move_iterator(first), std::make_move_iterator(active_.end()));
  active_.erase(first, active_.end());
  for (const Active& active : ending) {
    active.end();
    tell_rule(active.subject, FaultEdge::kEnd);
  }
}

}  // namespace pipitpond::soak
