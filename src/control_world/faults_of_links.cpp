// Faults of links, of FaultSchedule.
#include <algorithm>
#include <utility>

#include "control_world/faults.hpp"

namespace pipitpond::control_world {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kHalf = 500;  // per mille
/// How long the leader must stay undisturbed after a machine came back from a long cut.
constexpr core::Duration kCalmAfterCut = milliseconds(1200);
constexpr core::Duration kSilenceBeginMin = seconds(3);
constexpr core::Duration kSilenceBeginMax = seconds(15);
constexpr core::Duration kSilenceMin = seconds(60);
constexpr core::Duration kSilenceMax = seconds(240);
/// The longest other fault and what follows from it are over by then.
constexpr core::Duration kCalmBeforeReturn = seconds(20);

}  // namespace

void FaultSchedule::cut(simulation::Host& from, simulation::Host& to) {
  if (++cuts_[{&from, &to}] == 1) fleet_.network.cut_one_way(from, to);
}

void FaultSchedule::heal(simulation::Host& from, simulation::Host& to) {
  if (--cuts_[{&from, &to}] == 0) fleet_.network.heal_one_way(from, to);
}

void FaultSchedule::isolate(ControlMachine& machine, bool from_daemons) {
  fleet_.trace.line(machine.host().name(), "is cut off");
  for (auto* other : targets_.machines) {
    if (other == &machine) continue;
    cut(machine.host(), other->host());
    cut(other->host(), machine.host());
  }
  for (auto* daemon : targets_.daemons) {
    if (!from_daemons) break;
    cut(machine.host(), daemon->host());
    cut(daemon->host(), machine.host());
  }
}

void FaultSchedule::reconnect(ControlMachine& machine, bool from_daemons) {
  fleet_.trace.line(machine.host().name(), "is connected again");
  for (auto* other : targets_.machines) {
    if (other == &machine) continue;
    heal(machine.host(), other->host());
    heal(other->host(), machine.host());
  }
  for (auto* daemon : targets_.daemons) {
    if (!from_daemons) break;
    heal(machine.host(), daemon->host());
    heal(daemon->host(), machine.host());
  }
}

core::Duration FaultSchedule::long_cut() {
  auto& machine = leader_or_any();
  const bool from_daemons = fleet_.random.chance(kHalf);
  const auto duration = fleet_.random.between(seconds(3), seconds(10));
  const auto term = machine.process() == nullptr ? 0 : machine.process()->node().term();
  isolate(machine, from_daemons);
  end_after(duration, [this, &machine, from_daemons, term] {
    reconnect(machine, from_daemons);
    check_undisturbed(machine, term, "a cut");
  });
  return duration + kCalmAfterCut;
}

core::Duration FaultSchedule::begin_long_silence() {
  const auto begin = fleet_.random.between(kSilenceBeginMin, kSilenceBeginMax);
  const auto end = begin + fleet_.random.between(kSilenceMin, kSilenceMax);
  const auto end_at = fleet_.scheduler.now() + end;
  silence_end_ = end_at;
  fleet_.scheduler.after(begin, [this, end_at] { be_silent_until(end_at); });
  return end;
}

void FaultSchedule::be_silent_until(core::Instant end) {
  auto& machine = leader_or_any();
  const bool from_daemons = fleet_.random.chance(kHalf);
  const auto term = machine.process() == nullptr ? 0 : machine.process()->node().term();
  ++counts_["long-silence"];
  isolate(machine, from_daemons);
  end_after(end - fleet_.scheduler.now(), [this, &machine, from_daemons, term] {
    reconnect(machine, from_daemons);
    check_undisturbed(machine, term, "a long silence");
  });
}

bool FaultSchedule::must_be_calm() const {
  const auto now = fleet_.scheduler.now();
  return silence_end_ && now >= *silence_end_ - kCalmBeforeReturn && now < *silence_end_ + kCalmAfterCut;
}

void FaultSchedule::check_undisturbed(ControlMachine& rejoined, raft::Term its_term, const std::string& cut) {
  auto* leading = leader();
  const bool calm = active_ == 0 && leading != nullptr && leading != &rejoined;
  if (!calm || leading->process()->node().term() < its_term) return;
  ++counts_["rejoin-checked after " + cut];
  const auto term = leading->process()->node().term();
  fleet_.scheduler.after(kCalmAfterCut, [this, &rejoined, leading, term, cut, begun = begun_] {
    if (over_ || begun != begun_) return;
    const bool undisturbed = leading->leads() && leading->process()->node().term() == term;
    fleet_.oracle.require(undisturbed, "The leader was disturbed when " + rejoined.host().name() +
                                           " came back from " + cut + ".");
  });
}

core::Duration FaultSchedule::cut_from_peers_only() {
  auto& machine = leader_or_any();
  isolate(machine, false);
  end_after(fleet_.random.between(milliseconds(300), seconds(5)),
            [this, &machine] { reconnect(machine, false); });
  return {};
}

core::Duration FaultSchedule::one_way_cut() {
  auto& from = leader_or_any();
  auto& to = any_machine();
  if (&from == &to) return {};
  const bool turned = fleet_.random.chance(kHalf);
  auto& sender = turned ? to.host() : from.host();
  auto& receiver = turned ? from.host() : to.host();
  fleet_.trace.line(sender.name(), "does not reach {}", receiver.name());
  cut(sender, receiver);
  end_after(fleet_.random.between(milliseconds(300), seconds(6)),
            [this, &sender, &receiver] { heal(sender, receiver); });
  return {};
}

core::Duration FaultSchedule::split() {
  std::vector<ControlMachine*> side;
  for (auto* machine : targets_.machines) {
    if (fleet_.random.chance(kHalf)) side.push_back(machine);
  }
  split_off(side, fleet_.random.between(milliseconds(500), seconds(6)));
  return {};
}

void FaultSchedule::split_off(const std::vector<ControlMachine*>& side, core::Duration duration) {
  std::vector<std::pair<simulation::Host*, simulation::Host*>> links;
  for (auto* inside : side) {
    fleet_.trace.line(inside->host().name(), "is on the split side");
    for (auto* outside : targets_.machines) {
      if (std::find(side.begin(), side.end(), outside) != side.end()) continue;
      links.emplace_back(&inside->host(), &outside->host());
      links.emplace_back(&outside->host(), &inside->host());
    }
  }
  for (const auto& [from, to] : links) cut(*from, *to);
  end_after(duration, [this, links] {
    for (const auto& [from, to] : links) heal(*from, *to);
  });
}

core::Duration FaultSchedule::bad_links() {
  simulation::LinkQuality bad;
  bad.delay_max = fleet_.random.between(milliseconds(2), milliseconds(80));
  bad.lost_per_mille = static_cast<std::uint32_t>(fleet_.random.below(300));
  bad.doubled_per_mille = static_cast<std::uint32_t>(fleet_.random.below(200));
  bad.late_per_mille = static_cast<std::uint32_t>(fleet_.random.below(150));
  fleet_.network.set_default(bad);
  end_after(fleet_.random.between(seconds(1), seconds(4)), [this] { fleet_.network.set_default({}); });
  return {};
}

}  // namespace pipitpond::control_world
