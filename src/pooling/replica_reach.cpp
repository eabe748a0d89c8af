#include "pooling/replica_reach.hpp"

#include <algorithm>

namespace pipitpond::pooling {

void ReplicaReach::note_lacking(core::Instant now, const core::LogPosition& position) {
  const bool known_to_lack = lacking_ && now < lacking_until_;
  lacking_ = known_to_lack ? std::min(*lacking_, position) : position;
  backoff_ = std::clamp(backoff_ * 2, kLackingBackoffMin, kLackingBackoffMax);
  lacking_until_ = now + backoff_;
}

void ReplicaReach::note_reached(const core::LogPosition& position) {
  const bool has_caught_up = !lacking_ || position >= *lacking_;
  if (has_caught_up) {
    lacking_.reset();
    lacking_until_ = {};
    backoff_ = core::Duration::zero();
  }
}

bool ReplicaReach::may_reach(core::Instant now, const core::LogPosition& position) const {
  return !lacking_ || now >= lacking_until_ || position < *lacking_;
}

}  // namespace pipitpond::pooling
