// What a link does to the bytes that pass it.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

#include "core/clock.hpp"

namespace pipitpond::faultproxy {

/// Which way bytes travel.
enum class Direction : std::uint8_t { kToTarget = 0, kFromTarget = 1 };

/// Faults of the admin interface.
enum class FaultKind : std::uint8_t {
  kNone,           ///< Ends all faults; what was held is delivered, late.
  kDelay,          ///< Delays by delay_ms and up to jitter_ms more.
  kDrop,           ///< With the probability per read, the bytes and all later ones of that way are lost.
  kCutToTarget,    ///< Holds what travels to the target.
  kCutFromTarget,  ///< Holds what travels from the target.
  kFreeze,         ///< Holds both ways.
  kReset,          ///< Resets all connections, once.
  kRefuse,         ///< Resets all connections and refuses new ones.
  kPowerLoss,      ///< The clients of the open connections lose power, once: see Relay::lose_client.
};

/// The kind of a name of the admin interface, such as "cut_to_target".
std::optional<FaultKind> fault_kind_from(std::string_view text);

/// State of one way of a link.
struct Way {
  core::Duration base_delay{0};  ///< Distance; not ended by kNone.
  core::Duration delay{0};
  core::Duration jitter{0};
  double drop_probability = 0;
  bool held = false;
};

/// Both ways of a link, with the random source of its jitter and losses.
struct LinkState {
  std::array<Way, 2> ways;
  std::mt19937_64 random;

  Way& way(Direction direction) { return ways[static_cast<std::size_t>(direction)]; }
  /// Draws the delay of one read.
  core::Duration draw_delay(Direction direction);
  /// Draws whether one read is lost.
  bool draw_drop(Direction direction);
};

}  // namespace pipitpond::faultproxy
