// How far a log must reach for a read to be fresh enough. No input or output.
//
// Whatever the primary shows as its position in answer to something sent at time s covers every write that
// was acknowledged before s. So a read that may be `staleness` old, asked at time t, is fresh on every log
// that reaches a position shown in answer to something sent at t - staleness or later.
#pragma once

#include <deque>
#include <optional>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// A position, and when what it answers was sent.
struct ShownPosition {
  core::Instant sent;
  core::LogPosition position;
};

/// Positions that one group's primaries have shown to this daemon.
class PrimaryPositions {
 public:
  /// The primary showed `position` in answer to something sent at `sent`. Call only while the database was
  /// surely the primary until the answer came.
  void note(core::Instant sent, const core::LogPosition& position);

  /// The position that a log needs to hold every write acknowledged before `moment`: the least one that is
  /// known to do. Empty when none is known.
  [[nodiscard]] std::optional<core::LogPosition> covering(core::Instant moment) const;
  /// The same with its time; null when none is known.
  [[nodiscard]] const ShownPosition* oldest_covering(core::Instant moment) const;
  /// The newest position; null before the first.
  [[nodiscard]] const ShownPosition* newest() const;

 private:
  std::deque<ShownPosition> samples_;  ///< By time.
};

/// Positions older than this are dropped: no staleness bound is longer.
inline constexpr core::Duration kPositionsKept = std::chrono::seconds(10);
/// Positions closer together than this are kept as one.
inline constexpr core::Duration kPositionSpacing = std::chrono::milliseconds(20);

}  // namespace pipitpond::pooling
