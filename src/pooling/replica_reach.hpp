// How far a replica's log reaches, learned from the reads that it could and could not serve. A replica that
// lags still serves the reads that need less than it has. No input or output.
#pragma once

#include <optional>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// What one daemon knows of one replica's log.
class ReplicaReach {
 public:
  /// It refused a read because its log lacks `position`.
  void note_lacking(core::Instant now, const core::LogPosition& position);
  /// It served a read that needed `position`.
  void note_reached(const core::LogPosition& position);

  /// False while it is expected to lack `position`: it, or less, was lacking a moment ago.
  [[nodiscard]] bool may_reach(core::Instant now, const core::LogPosition& position) const;

 private:
  std::optional<core::LogPosition> lacking_;  ///< The least position that is known to have been lacking.
  core::Instant lacking_until_{};
  core::Duration rest_{};  ///< How long a lacking position is not asked for again.
};

/// Bounds of that rest; it doubles with each refusal. The first is about the usual lag of a healthy replica.
inline constexpr core::Duration kLackingRestMin = std::chrono::milliseconds(20);
inline constexpr core::Duration kLackingRestMax = std::chrono::milliseconds(320);

}  // namespace pipitpond::pooling
