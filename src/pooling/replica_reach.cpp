#include "pooling/replica_reach.hpp"

#include <algorithm>

namespace pipitpond::pooling {

void ReplicaReach::note_lacking(core::Instant now, const core::LogPosition& position) {
  const bool known_to_lack = lacking_ && now < lacking_until_;
  lacking_ = known_to_lack ? std::min(*lacking_, position) : position;
  if (known_to_lack && !trying_) {
    return;
  }
  trying_ = false;
  lacking_since_ = now;
  rest_ = std::clamp(rest_ * 2, kLackingRestMin, kLackingRestMax);
  lacking_until_ = now + rest_;
}

void ReplicaReach::note_tried(core::Instant now, const core::LogPosition& position) {
  const bool ends_a_rest = lacking_ && now >= lacking_until_ && position >= *lacking_;
  if (ends_a_rest) {
    trying_ = true;
    lacking_until_ = now + rest_;
  }
}

/// The finding that lasts longer counts.
void ReplicaReach::note_told(core::Instant now, core::Instant asked, const ToldLacking& told) {
  const core::Instant found = asked - std::chrono::milliseconds(told.age_ms);
  const core::Duration rest =
      std::min<core::Duration>(std::chrono::milliseconds(told.rest_ms), kLackingRestMax);
  const core::Instant until = found + rest;
  const bool lasts_longer = until > now && (!lacking_ || until > lacking_until_);
  if (lasts_longer) {
    lacking_ = told.position;
    lacking_since_ = found;
    lacking_until_ = until;
    rest_ = std::max(rest_, kLackingRestMin);
    trying_ = false;
  }
}

std::optional<ToldLacking> ReplicaReach::to_tell(core::Instant now) const {
  if (!lacking_ || now >= lacking_until_) {
    return std::nullopt;
  }
  const core::Duration age = std::max(now - lacking_since_, core::Duration::zero());
  return ToldLacking{*lacking_, static_cast<std::uint32_t>(core::to_millis(age)),
                     static_cast<std::uint32_t>(core::to_millis(lacking_until_ - lacking_since_))};
}

void ReplicaReach::note_reached(const core::LogPosition& position) {
  const bool has_caught_up = !lacking_ || position >= *lacking_;
  if (has_caught_up) {
    lacking_.reset();
    lacking_until_ = {};
    trying_ = false;
    rest_ = core::Duration::zero();
  }
}

bool ReplicaReach::may_reach(core::Instant now, const core::LogPosition& position) const {
  return !lacking_ || now >= lacking_until_ || position < *lacking_;
}

}  // namespace pipitpond::pooling
