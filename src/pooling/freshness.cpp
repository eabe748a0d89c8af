#include "pooling/freshness.hpp"

#include <algorithm>

namespace pipitpond::pooling {

void PrimaryPositions::record(core::Instant sent, const core::LogPosition& position) {
  while (!samples_.empty() && sent - samples_.front().sent > kPositionRetention) {
    samples_.pop_front();
  }
  const auto preceding = std::find_if(samples_.rbegin(), samples_.rend(),
                                      [sent](const ReportedPosition& sample) { return sample.sent <= sent; });
  const bool close = preceding != samples_.rend() && sent - preceding->sent < kPositionSpacing;
  if (close) {
    return;  // The preceding sample is nearly as new.
  }
  samples_.insert(preceding.base(), ReportedPosition{sent, position});
}

std::optional<core::LogPosition> PrimaryPositions::covering(core::Instant moment) const {
  const ReportedPosition* found = oldest_covering(moment);
  return found == nullptr ? std::nullopt : std::optional(found->position);
}

const ReportedPosition* PrimaryPositions::oldest_covering(core::Instant moment) const {
  const auto first = std::lower_bound(
      samples_.begin(), samples_.end(), moment,
      [](const ReportedPosition& sample, core::Instant wanted) { return sample.sent < wanted; });
  return first == samples_.end() ? nullptr : &*first;
}

const ReportedPosition* PrimaryPositions::newest() const {
  return samples_.empty() ? nullptr : &samples_.back();
}

}  // namespace pipitpond::pooling
