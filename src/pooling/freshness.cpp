#include "pooling/freshness.hpp"

#include <algorithm>

namespace pipitpond::pooling {

void PrimaryPositions::note(core::Instant sent, const core::LogPosition& position) {
  while (!samples_.empty() && sent - samples_.front().sent > kPositionsKept) {
    samples_.pop_front();
  }
  const auto later = std::find_if(samples_.rbegin(), samples_.rend(),
                                  [sent](const ShownPosition& sample) { return sample.sent <= sent; });
  const bool close = later != samples_.rend() && sent - later->sent < kPositionSpacing;
  if (close) {
    return;  // The preceding sample is nearly as new.
  }
  samples_.insert(later.base(), ShownPosition{sent, position});
}

std::optional<core::LogPosition> PrimaryPositions::covering(core::Instant moment) const {
  const ShownPosition* found = oldest_covering(moment);
  return found == nullptr ? std::nullopt : std::optional(found->position);
}

const ShownPosition* PrimaryPositions::oldest_covering(core::Instant moment) const {
  const auto first = std::lower_bound(
      samples_.begin(), samples_.end(), moment,
      [](const ShownPosition& sample, core::Instant wanted) { return sample.sent < wanted; });
  return first == samples_.end() ? nullptr : &*first;
}

const ShownPosition* PrimaryPositions::newest() const {
  return samples_.empty() ? nullptr : &samples_.back();
}

}  // namespace pipitpond::pooling
