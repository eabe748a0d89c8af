// A time that a seeded generator draws.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace pipitpond::soak {

/// From `least` to below `most`, both in milliseconds.
inline std::chrono::milliseconds draw_time(std::mt19937_64& random, std::uint64_t least, std::uint64_t most) {
  return std::chrono::milliseconds(least + random() % (most - least));
}

}  // namespace pipitpond::soak
