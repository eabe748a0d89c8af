// The simulator's only source of chance: a seeded generator whose results are the same on every machine.
#pragma once

#include <cstdint>
#include <random>

#include "core/clock.hpp"

namespace pipitpond::simulation {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A number from 0 to `bound` - 1; 0 when `bound` is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }
  /// True in `per_mille` of 1000 cases.
  bool chance(std::uint32_t per_mille) { return below(1000) < per_mille; }
  /// A duration of [least, most].
  core::Duration between(core::Duration least, core::Duration most) {
    const auto spread = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least + core::Duration(static_cast<std::int64_t>(below(spread)));
  }
  /// A seed for something that draws by itself.
  std::uint64_t fork() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace pipitpond::simulation
