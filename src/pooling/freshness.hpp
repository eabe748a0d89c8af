// Determines how far a log must reach for a read to be fresh enough. Performs no I/O.
//
// The position that the primary reports in reply to a request sent at time s covers every write that was
// acknowledged before s. So a read at time t that may be `staleness` old is fresh on every log that reaches a
// position reported in reply to a request sent at t - staleness or later.
#pragma once

#include <deque>
#include <optional>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// A position that the primary reported, and when the request was sent that it replies to.
struct ReportedPosition {
  core::Instant sent;
  core::LogPosition position;
};

/// Positions that the primaries of one group have reported to this daemon.
class PrimaryPositions {
 public:
  /// Records the position that the primary reported in reply to a request sent at `sent`. The database must
  /// have been certain to be the primary until the reply arrived.
  void record(core::Instant sent, const core::LogPosition& position);

  /// The lowest known position at which a log holds every write acknowledged before `moment`; empty when none
  /// is known.
  [[nodiscard]] std::optional<core::LogPosition> covering(core::Instant moment) const;
  /// Like covering, with the time of the request; null when none is known.
  [[nodiscard]] const ReportedPosition* oldest_covering(core::Instant moment) const;
  /// The newest position; null before the first.
  [[nodiscard]] const ReportedPosition* newest() const;

 private:
  std::deque<ReportedPosition> samples_;  ///< Ordered by `sent`.
};

/// Positions older than this are dropped: no staleness bound is longer.
inline constexpr core::Duration kPositionRetention = std::chrono::seconds(10);
/// Positions less than this after a kept one are not kept.
inline constexpr core::Duration kPositionSpacing = std::chrono::milliseconds(20);

}  // namespace pipitpond::pooling
