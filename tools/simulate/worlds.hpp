// The worlds that pipitpond-simulate can run.
#pragma once

#include <string_view>
#include <vector>

#include "simulation/world.hpp"

namespace pipitpond::simulate {

/// All worlds, in the order in which "all" runs them.
const std::vector<const simulation::World*>& all_worlds();
/// The worlds of a name; those of "all" are all. Empty: there is none.
std::vector<const simulation::World*> worlds_named(std::string_view name);

}  // namespace pipitpond::simulate
