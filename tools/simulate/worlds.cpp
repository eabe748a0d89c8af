#include "worlds.hpp"

#include "control_world/world.hpp"
#include "simulation_group/group_world.hpp"

namespace pipitpond::simulate {

const std::vector<const simulation::World*>& all_worlds() {
  static const control_world::ControlWorld kControl;
  static const simulation::group::GroupWorld kGroup;
  static const std::vector<const simulation::World*> kWorlds = {&kControl, &kGroup};
  return kWorlds;
}

std::vector<const simulation::World*> worlds_named(std::string_view name) {
  if (name == "all") return all_worlds();
  std::vector<const simulation::World*> named;
  for (const auto* world : all_worlds()) {
    if (world->name() == name) named.push_back(world);
  }
  return named;
}

}  // namespace pipitpond::simulate
