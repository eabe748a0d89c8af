// The platform's list of machines as its readers see it: every change shows only after a lag.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"

namespace pipitpond::platform_program {

/// One machine of the list, as it travels.
struct Machine {
  std::string name;
  std::string kind;   ///< "database", "proxy" or "control".
  std::string state;  ///< "live" or "leaving".

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(Machine, name, kind, state)
};

/// All machines with their recent changes.
class MachineList {
 public:
  /// Notes a machine's state. Fails with kInvalidArgument for an unknown kind or state.
  core::Result<void> change(const Machine& machine, core::Instant now);
  /// The list as it was `lag` ago. A machine whose first state is younger is not listed yet.
  [[nodiscard]] std::vector<Machine> seen(core::Instant now, core::Duration lag) const;

 private:
  struct Change {
    core::Instant at;
    Machine machine;
  };

  std::map<std::string, std::vector<Change>> changes_;  ///< By name, in the order of time.
};

}  // namespace pipitpond::platform_program
