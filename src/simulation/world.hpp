// A world: a part of the fleet under simulated faults with an oracle. One seed, one run, one verdict.
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "simulation/switches.hpp"

namespace pipitpond::simulation {

struct RunOptions {
  std::uint64_t seed = 0;
  Switches switches;
  std::ostream* trace = nullptr;  ///< Gets the record of the run; null: none.
};

/// Verdict on one seed.
struct SeedReport {
  /// What the oracle found, in order, one sentence each. None: the seed passed.
  std::vector<std::string> violations;
  /// What happened how often, by name, such as "elections": to see that a run exercised what it should.
  std::map<std::string, std::uint64_t> counts;

  [[nodiscard]] bool passed() const { return violations.empty(); }
};

class World {
 public:
  World() = default;
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  virtual ~World() = default;

  /// Name on the command line.
  [[nodiscard]] virtual std::string_view name() const = 0;
  /// Runs one seed. Equal options give equal reports and traces. Safe to call from several threads.
  [[nodiscard]] virtual SeedReport run(const RunOptions& options) const = 0;
};

}  // namespace pipitpond::simulation
