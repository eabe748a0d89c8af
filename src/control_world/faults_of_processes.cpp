// Faults of processes and disks, of FaultSchedule.
#include <algorithm>
#include <utility>

#include "control_world/faults.hpp"

namespace pipitpond::control_world {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kHalf = 500;  // per mille

}  // namespace

void FaultSchedule::crash_for(ControlMachine& machine, core::Duration duration) {
  if (!machine.host().up()) return;
  machine.crash();
  end_after(duration, [this, &machine] {
    if (!retired_.contains(&machine)) machine.start();
  });
}

core::Duration FaultSchedule::crash() {
  const auto down = fleet_.random.between(milliseconds(50), seconds(5));
  crash_for(leader_or_any(), down);
  return {};
}

core::Duration FaultSchedule::crash_leaders_in_a_row() {
  const auto times = 2 + fleet_.random.below(4);
  core::Duration when{0};
  for (std::uint64_t time = 0; time < times; ++time) {
    end_after(when, [this] {
      for (auto* machine : targets_.machines) {
        const bool leading =
            machine->process() != nullptr && machine->process()->node().role() == raft::Role::kLeader;
        if (leading) crash_for(*machine, fleet_.random.between(milliseconds(50), milliseconds(1500)));
      }
    });
    when += fleet_.random.between(milliseconds(200), milliseconds(900));
  }
  return when;
}

core::Duration FaultSchedule::crash_in_writes() {
  const auto chosen = 1 + fleet_.random.below(3);
  for (std::uint64_t count = 0; count < chosen; ++count) {
    auto& machine = leader_or_any();
    const auto writes = static_cast<std::uint32_t>(1 + fleet_.random.below(3));
    const auto down = fleet_.random.between(milliseconds(20), milliseconds(1500));
    machine.crash_in_write(writes, [this, &machine, down] {
      end_after(down, [this, &machine] {
        if (!retired_.contains(&machine)) machine.start();
      });
    });
  }
  return {};
}

void FaultSchedule::wipe(ControlMachine& machine) {
  ++member_work_;
  machine.wipe();
  end_after(fleet_.random.between(milliseconds(100), seconds(3)), [&machine] { machine.start(); });
  watch_repair(machine);
}

core::Duration FaultSchedule::lose_disk() {
  auto& machine = leader_or_any();
  if (member_work_ > 0 || !whole() || !is_member(machine)) return {};
  ++counts_["disk-lost"];
  wipe(machine);
  return {};
}

void FaultSchedule::watch_repair(ControlMachine& repaired) {
  fleet_.scheduler.after(milliseconds(20), [this, &repaired] {
    if (!whole() || repaired.identity().empty()) {
      watch_repair(repaired);
      return;
    }
    --member_work_;
    fleet_.trace.line("faults", "{} is repaired", repaired.host().name());
    auto& second = leader_or_any();
    if (over_ || &second == &repaired || !is_member(second) || !fleet_.random.chance(kHalf)) return;
    ++counts_["second-lost-after-repair"];
    wipe(second);
  });
}

core::Duration FaultSchedule::freeze() {
  auto& machine = leader_or_any();
  if (!machine.host().up() || machine.host().frozen()) return {};
  machine.host().freeze();
  fleet_.trace.line(machine.host().name(), "freezes");
  end_after(fleet_.random.between(milliseconds(100), seconds(4)), [this, &machine] {
    fleet_.trace.line(machine.host().name(), "thaws");
    machine.host().thaw();
  });
  return {};
}

core::Duration FaultSchedule::slow_disk() {
  auto& machine = leader_or_any();
  machine.set_sync_time(fleet_.random.between(milliseconds(50), milliseconds(600)));
  end_after(fleet_.random.between(seconds(1), seconds(5)),
            [&machine] { machine.set_sync_time(kUsualSyncTime); });
  return {};
}

core::Duration FaultSchedule::restart_daemon() {
  auto& daemon = *targets_.daemons[fleet_.random.below(targets_.daemons.size())];
  if (!daemon.host().up()) return {};
  daemon.crash();
  end_after(fleet_.random.between(milliseconds(100), seconds(15)), [&daemon] { daemon.start(); });
  return {};
}

}  // namespace pipitpond::control_world
