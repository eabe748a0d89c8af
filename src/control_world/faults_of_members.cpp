// Changes of members and leaders, of FaultSchedule.
#include <algorithm>
#include <utility>

#include "control_world/faults.hpp"

namespace pipitpond::control_world {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::Duration FaultSchedule::hand_over() {
  auto* leading = leader();
  if (leading == nullptr) return {};
  leading->process()->transfer_leadership();
  end_after(seconds(1), [] {});
  return {};
}

std::vector<ControlMachine*> FaultSchedule::spares() const {
  std::vector<ControlMachine*> off;
  for (auto* machine : targets_.machines) {
    if (retired_.contains(machine) && machine->identity().empty()) off.push_back(machine);
  }
  return off;
}

void FaultSchedule::begin_adding(ControlMachine& spare) {
  ++counts_["member-added"];
  ++member_work_;
  retired_.erase(&spare);
  spare.start();
  add_spare(spare);
}

core::Duration FaultSchedule::change_members() {
  if (member_work_ > 0 || !whole()) return {};
  const auto voters = leader()->process()->node().membership().voter_count();
  const auto off = spares();
  if (voters <= targets_.founders && !off.empty()) {
    begin_adding(*off.front());
  } else if (voters > targets_.founders) {
    auto& machine = any_machine();
    if (&machine == leader() || !is_member(machine)) return {};
    ++counts_["member-removed"];
    ++member_work_;
    remove_member(machine);
  }
  return {};
}

core::Duration FaultSchedule::add_spares_and_split() {
  auto side = spares();
  if (member_work_ > 0 || side.size() < 2 || !whole()) return {};
  side.push_back(leader());
  for (auto* machine : spares()) begin_adding(*machine);
  const auto begin = fleet_.random.between({}, milliseconds(300));
  const auto duration = fleet_.random.between(seconds(1), seconds(5));
  end_after(begin, [this, side, duration] { split_off(side, duration); });
  return {};
}

void FaultSchedule::add_spare(ControlMachine& spare) {
  auto* leading = leader();
  if (leading != nullptr && !is_member(spare)) {
    (void)leading->process()->change_membership({raft::MembershipAction::kAddLearner, spare.as_member()});
  }
  fleet_.scheduler.after(milliseconds(100), [this, &spare] {
    if (whole() && is_member(spare)) {
      --member_work_;
    } else {
      add_spare(spare);
    }
  });
}

void FaultSchedule::remove_member(ControlMachine& machine) {
  auto* leading = leader();
  if (leading == &machine) {
    leading->process()->transfer_leadership();
  } else if (leading != nullptr) {
    (void)leading->process()->change_membership({raft::MembershipAction::kRemove, machine.as_member()});
  }
  fleet_.scheduler.after(milliseconds(100), [this, &machine] {
    if (!whole() || is_member(machine)) {
      remove_member(machine);
      return;
    }
    --member_work_;
    retired_.insert(&machine);
    // For a while it does not know yet that it was removed.
    fleet_.scheduler.after(seconds(2), [this, &machine] {
      if (retired_.contains(&machine)) machine.wipe();
    });
  });
}

}  // namespace pipitpond::control_world
