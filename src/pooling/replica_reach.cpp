#include "pooling/replica_reach.hpp"

#include <algorithm>

namespace pipitpond::pooling {

void ReplicaReach::note_lacking(core::Instant now, const core::LogPosition& position) {
  const bool known_to_lack = lacking_ && now < lacking_until_;
  lacking_ = known_to_lack ? std::min(*lacking_, position) : position;
  rest_ = std::clamp(rest_ * 2, kLackingRestMin, kLackingRestMax);
  lacking_until_ = now + rest_;
}

void ReplicaReach::note_reached(const core::LogPosition& position) {
  const bool has_caught_up = !lacking_ || position >= *lacking_;
  if (has_caught_up) {
    lacking_.reset();
    lacking_until_ = {};
    rest_ = core::Duration::zero();
  }
}

bool ReplicaReach::may_reach(core::Instant now, const core::LogPosition& position) const {
  return !lacking_ || now >= lacking_until_ || position < *lacking_;
}

}  // namespace pipitpond::pooling
