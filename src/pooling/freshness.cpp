#include "pooling/freshness.hpp"

#include <algorithm>

namespace pipitpond::pooling {

void PrimaryPositions::note(core::Instant sent, const core::LogPosition& position) {
  while (!samples_.empty() && sent - samples_.front().sent > kPositionsKept) {
    samples_.pop_front();
  }
  const auto later = std::find_if(samples_.rbegin(), samples_.rend(),
                                  [sent](const Sample& sample) { return sample.sent <= sent; });
  const bool close = later != samples_.rend() && sent - later->sent < kPositionSpacing;
  if (close) {
    return;  // The sample before it says nearly as much.
  }
  samples_.insert(later.base(), Sample{sent, position});
}

std::optional<core::LogPosition> PrimaryPositions::covering(core::Instant moment) const {
  const auto first =
      std::lower_bound(samples_.begin(), samples_.end(), moment,
                       [](const Sample& sample, core::Instant wanted) { return sample.sent < wanted; });
  if (first == samples_.end()) {
    return std::nullopt;
  }
  return first->position;
}

std::optional<core::Instant> PrimaryPositions::newest() const {
  if (samples_.empty()) {
    return std::nullopt;
  }
  return samples_.back().sent;
}

}  // namespace pipitpond::pooling
