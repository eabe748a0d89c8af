// Tracks how far a replica's log reaches, from the reads that it could and could not serve. A lagging replica
// still serves reads that need an older position. Performs no I/O.
#pragma once

#include <optional>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// One daemon's knowledge of one replica's log.
class ReplicaReach {
 public:
  /// The replica refused a read because its log lacks `position`.
  void note_lacking(core::Instant now, const core::LogPosition& position);
  /// The replica served a read that needed `position`.
  void note_reached(const core::LogPosition& position);

  /// False while the replica is expected to lack `position`, because it lacked that position or an earlier
  /// one a moment ago.
  [[nodiscard]] bool may_reach(core::Instant now, const core::LogPosition& position) const;

 private:
  /// The lowest position that the replica is known to have lacked.
  std::optional<core::LogPosition> lacking_;
  core::Instant lacking_until_{};
  /// Backoff before a read that needs a lacking position is sent to the replica again.
  core::Duration backoff_{};
};

/// Bounds of that backoff, which doubles with each refusal. The lower bound is about the usual lag of a
/// healthy replica.
inline constexpr core::Duration kLackingBackoffMin = std::chrono::milliseconds(20);
inline constexpr core::Duration kLackingBackoffMax = std::chrono::milliseconds(320);

}  // namespace pipitpond::pooling
