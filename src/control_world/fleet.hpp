// What all parts of one simulated control world share.
#pragma once

#include <cstdint>
#include <vector>

#include "control_world/oracle.hpp"
#include "core/endpoint.hpp"
#include "simulation/network.hpp"
#include "simulation/random.hpp"
#include "simulation/scheduler.hpp"
#include "simulation/switches.hpp"
#include "simulation/trace.hpp"

namespace pipitpond::control_world {

class ControlMachine;

/// Finds control machines by where they listen.
class Directory {
 public:
  Directory() = default;
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;
  virtual ~Directory() = default;

  /// The machine at an endpoint, or null.
  virtual ControlMachine* machine_at(const core::Endpoint& endpoint) = 0;
  /// The machines that the settings name: not all, and not always members.
  virtual std::vector<core::Endpoint> seeds() = 0;
  /// All machines, also those that are no members.
  virtual std::vector<ControlMachine*> machines() = 0;
};

struct Fleet {
  simulation::Scheduler& scheduler;
  simulation::Network& network;
  simulation::Trace& trace;
  Oracle& oracle;
  Directory& directory;
  simulation::Random& random;
  simulation::Switches switches;
  /// Small values make followers learn of one leader's entries piece by piece.
  std::size_t max_entries_per_append = 1;
};

}  // namespace pipitpond::control_world
