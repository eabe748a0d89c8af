// The simulator's world of database groups: changes of primary, daemons and callers under faults.
#pragma once

#include <string_view>
#include <vector>

#include "simulation/world.hpp"
#include "simulation_group/faults.hpp"
#include "simulation_group/fleet.hpp"

namespace pipitpond::simulation::group {

/// A run that a test or an experiment describes in full.
struct Scenario {
  FleetOptions fleet;
  std::vector<Fault> faults;  ///< Times count from the start of the callers.
  core::Duration faults_last = std::chrono::seconds(12);
};

/// Runs a scenario; equal seeds give equal runs.
SeedReport run_scenario(const RunOptions& options, const Scenario& scenario);

/// Draws size, behaviour and faults from the seed.
class GroupWorld : public World {
 public:
  [[nodiscard]] std::string_view name() const override { return "group"; }
  [[nodiscard]] SeedReport run(const RunOptions& options) const override;
};

}  // namespace pipitpond::simulation::group
