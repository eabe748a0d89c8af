// Runs the seeds of one world over several threads.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "options.hpp"
#include "simulation/world.hpp"

namespace pipitpond::simulate {

struct FailedSeed {
  std::uint64_t seed = 0;
  std::string violation;  ///< The first one.

  auto operator<=>(const FailedSeed&) const = default;
};

struct Results {
  std::uint64_t passed = 0;
  std::vector<FailedSeed> failed;               ///< By seed.
  std::map<std::string, std::uint64_t> counts;  ///< Sums over all seeds that ran.
};

Results run_seeds(const simulation::World& world, const Options& options);

/// Runs a seed again and writes its trace; returns the file's path, empty when it can't be written.
std::string write_trace(const simulation::World& world, const Options& options, std::uint64_t seed);

}  // namespace pipitpond::simulate
