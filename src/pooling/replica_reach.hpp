// How far a replica's log reaches, learned from the reads that it could and could not serve. A replica that
// lags still serves the reads that need less than it has. Owners of a replica learn it from the reads of all
// daemons and tell it with their answers. No input or output.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>

#include "core/clock.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// The least position that a replica's log was lately found to lack, as an owner tells it.
struct ToldLacking {
  core::LogPosition position;
  std::uint32_t age_ms = 0;   ///< Of that finding, when it is told.
  std::uint32_t rest_ms = 0;  ///< How long after the finding the owner does not ask for it again.

  MSGPACK_DEFINE(position, age_ms, rest_ms);
};

/// What one daemon knows of one replica's log.
class ReplicaReach {
 public:
  /// It refused a read because its log lacks `position`. Of refusals that come while it rests only the one of
  /// the read that ended the last rest lengthens the next one: reads that were under way together tell one
  /// thing.
  void note_lacking(core::Instant now, const core::LogPosition& position);
  /// A read that needs `position` is about to be tried. If that ends a rest, others rest on until its answer
  /// is known, for one such read is enough.
  void note_tried(core::Instant now, const core::LogPosition& position);
  /// An owner of the replica told this, in answer to what was sent at `asked`.
  void note_told(core::Instant now, core::Instant asked, const ToldLacking& told);
  /// It served a read that needed `position`.
  void note_reached(const core::LogPosition& position);

  /// What to tell to daemons that ask this one; empty while nothing is known to be lacking.
  [[nodiscard]] std::optional<ToldLacking> to_tell(core::Instant now) const;

  /// False while it is expected to lack `position`: it, or less, was lacking a moment ago.
  [[nodiscard]] bool may_reach(core::Instant now, const core::LogPosition& position) const;

 private:
  std::optional<core::LogPosition> lacking_;  ///< The least position that is known to have been lacking.
  core::Instant lacking_until_{};
  core::Instant lacking_since_{};  ///< When that was found.
  bool trying_ = false;            ///< A read that ended the last rest is under way.
  core::Duration rest_{};          ///< How long a lacking position is not asked for again.
};

/// Bounds of that rest; it doubles with each refusal. The first is about the usual lag of a healthy replica.
inline constexpr core::Duration kLackingRestMin = std::chrono::milliseconds(20);
inline constexpr core::Duration kLackingRestMax = std::chrono::milliseconds(320);

}  // namespace pipitpond::pooling
