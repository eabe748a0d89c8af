#include "control_world/faults.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace pipitpond::control_world {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration kPauseMin = milliseconds(100);
constexpr core::Duration kPauseMax = milliseconds(1800);
constexpr std::uint32_t kLeaderPerMille = 500;

}  // namespace

FaultSchedule::FaultSchedule(Fleet& fleet, Targets targets) : fleet_(fleet), targets_(std::move(targets)) {
  const auto& machines = targets_.machines;
  retired_.insert(machines.begin() + static_cast<std::ptrdiff_t>(targets_.founders), machines.end());
}

const std::vector<FaultSchedule::Kind>& FaultSchedule::kinds() {
  static const std::vector<Kind> kKinds = {
      {"crash", &FaultSchedule::crash, 4},
      {"leader-crashes", &FaultSchedule::crash_leaders_in_a_row, 2},
      {"crash-in-writes", &FaultSchedule::crash_in_writes, 4},
      {"lost-disk", &FaultSchedule::lose_disk, 4},
      {"long-cut", &FaultSchedule::long_cut, 2},
      {"cut-from-peers", &FaultSchedule::cut_from_peers_only, 2},
      {"freeze", &FaultSchedule::freeze, 3},
      {"one-way-cut", &FaultSchedule::one_way_cut, 3},
      {"split", &FaultSchedule::split, 2},
      {"bad-links", &FaultSchedule::bad_links, 2},
      {"slow-disk", &FaultSchedule::slow_disk, 2},
      {"daemon-restart", &FaultSchedule::restart_daemon, 4},
      {"membership", &FaultSchedule::change_members, 3},
      {"add-and-split", &FaultSchedule::add_spares_and_split, 2},
      {"hand-over", &FaultSchedule::hand_over, 2},
  };
  return kKinds;
}

void FaultSchedule::begin() {
  fleet_.scheduler.after(seconds(2), [this] { next(); });
}

const FaultSchedule::Kind& FaultSchedule::draw() {
  std::uint32_t all = 0;
  for (const auto& kind : kinds()) all += kind.weight;
  auto drawn = fleet_.random.below(all);
  for (const auto& kind : kinds()) {
    if (drawn < kind.weight) return kind;
    drawn -= kind.weight;
  }
  return kinds().back();
}

void FaultSchedule::next() {
  if (over_) return;
  if (must_be_calm()) {
    fleet_.scheduler.after(kPauseMax, [this] { next(); });
    return;
  }
  const auto& kind = draw();
  ++counts_[kind.name];
  fleet_.trace.line("faults", "{}", kind.name);
  const auto alone_for = (this->*kind.fault)();
  fleet_.scheduler.after(alone_for + fleet_.random.between(kPauseMin, kPauseMax), [this] { next(); });
}

void FaultSchedule::end_after(core::Duration duration, simulation::Action end) {
  ++active_;
  ++begun_;
  fleet_.scheduler.after(duration, [this, end = std::move(end)] {
    if (over_) return;
    --active_;
    end();
  });
}

void FaultSchedule::end_all() {
  over_ = true;
  active_ = 0;
  cuts_.clear();
  fleet_.network.heal_all();
  fleet_.network.set_default({});
  for (auto* machine : targets_.machines) {
    machine->set_sync_time(kUsualSyncTime);
    machine->crash_in_write(0, {});
    machine->host().thaw();
    if (!retired_.contains(machine)) machine->start();
  }
  for (auto* daemon : targets_.daemons) daemon->start();
  fleet_.trace.line("faults", "all have ended");
}

ControlMachine& FaultSchedule::any_machine() {
  std::vector<ControlMachine*> members;
  for (auto* machine : targets_.machines) {
    if (!retired_.contains(machine)) members.push_back(machine);
  }
  return *members[fleet_.random.below(members.size())];
}

ControlMachine* FaultSchedule::leader() const {
  ControlMachine* best = nullptr;
  for (auto* machine : targets_.machines) {
    if (!machine->leads()) continue;
    if (best == nullptr || machine->process()->node().term() > best->process()->node().term()) best = machine;
  }
  return best;
}

ControlMachine& FaultSchedule::leader_or_any() {
  auto* leading = leader();
  return leading != nullptr && fleet_.random.chance(kLeaderPerMille) ? *leading : any_machine();
}

bool FaultSchedule::is_member(const ControlMachine& machine) const {
  const auto* leading = leader();
  if (leading == nullptr || machine.identity().empty()) return false;
  return const_cast<ControlMachine*>(leading)->process()->node().membership().is_voter(machine.identity());
}

bool FaultSchedule::whole() const {
  auto* leading = leader();
  if (leading == nullptr) return false;
  const auto& node = leading->process()->node();
  if (node.membership_change_pending() || !node.has_committed_in_current_term()) return false;
  return std::all_of(
      node.membership().members.begin(), node.membership().members.end(), [this](const auto& member) {
        const bool there = std::any_of(targets_.machines.begin(), targets_.machines.end(),
                                       [&](const auto* machine) { return machine->identity() == member.id; });
        return there && member.role == raft::MemberRole::kVoter && member.replaces.empty();
      });
}

}  // namespace pipitpond::control_world
