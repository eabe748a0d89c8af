// The control world: 3 or 5 control machines, daemons and racing operators under a seed's faults.
#pragma once

#include "simulation/world.hpp"

namespace pipitpond::control_world {

class ControlWorld : public simulation::World {
 public:
  [[nodiscard]] std::string_view name() const override { return "control"; }
  [[nodiscard]] simulation::SeedReport run(const simulation::RunOptions& options) const override;
};

}  // namespace pipitpond::control_world
