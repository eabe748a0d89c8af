#include "machine_list.hpp"

#include <algorithm>

namespace pipitpond::platform_program {

core::Result<void> MachineList::change(const Machine& machine, core::Instant now) {
  const bool known_kind = machine.kind == "database" || machine.kind == "proxy" || machine.kind == "control";
  const bool known_state = machine.state == "live" || machine.state == "leaving";
  if (machine.name.empty() || !known_kind || !known_state) {
    return core::fail(core::ErrorKind::kInvalidArgument, "The machine is not valid.",
                      "Send a name, kind database, proxy or control, and state live or leaving.");
  }
  changes_[machine.name].push_back({now, machine});
  return core::outcome::success();
}

std::vector<Machine> MachineList::seen(core::Instant now, core::Duration lag) const {
  std::vector<Machine> machines;
  for (const auto& [name, changes] : changes_) {
    const auto last = std::find_if(changes.rbegin(), changes.rend(),
                                   [&](const Change& change) { return change.at + lag <= now; });
    if (last != changes.rend()) {
      machines.push_back(last->machine);
    }
  }
  return machines;
}

}  // namespace pipitpond::platform_program
