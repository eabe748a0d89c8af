#include "routing/group_progress.hpp"

#include <algorithm>
#include <iterator>

namespace pipitpond::routing {
namespace {

/// Weight of a new observation in the moving average of a lag.
constexpr double kLagWeight = 0.2;

/// Bounds of a lag that are further apart than this tell too little: the group was idle, or its answers late.
constexpr core::Duration kWideBounds = std::chrono::milliseconds(100);

core::Duration blend(core::Duration average, core::Duration target) {
  const auto step = static_cast<double>((target - average).count()) * kLagWeight;
  return average + core::Duration(static_cast<core::Duration::rep>(step));
}

}  // namespace

void GroupProgress::observe_head(core::Instant asked_at, const core::LogPosition& head) {
  if (samples_.empty()) {
    samples_.push_back(HeadSample{asked_at, asked_at, head});
    return;
  }
  HeadSample& last = samples_.back();
  // Answers may come out of order, and a primary that has been replaced may report an old head: leaving a
  // sample out only makes estimates more careful.
  if (asked_at < last.last_asked || head < last.head) {
    return;
  }
  if (head == last.head) {
    last.last_asked = asked_at;
    return;
  }
  const bool crowded =
      samples_.size() > 1 && asked_at - std::prev(samples_.end(), 2)->last_asked < kHeadSampleSpacing;
  if (crowded) {
    samples_.pop_back();
  }
  samples_.push_back(HeadSample{asked_at, asked_at, head});
  thin();
}

void GroupProgress::thin() {
  if (samples_.size() <= kMaxHeadSamples) {
    return;
  }
  // Every second sample of the older half goes, so that the history reaches far back with few samples.
  Samples kept;
  const std::size_t half = samples_.size() / 2;
  for (std::size_t place = 0; place < samples_.size(); ++place) {
    if (place >= half || place % 2 == 0) {
      kept.push_back(samples_[place]);
    }
  }
  samples_ = std::move(kept);
}

GroupProgress::Samples::const_iterator GroupProgress::first_above(const core::LogPosition& applied) const {
  return std::partition_point(samples_.begin(), samples_.end(), [&applied](const HeadSample& sample) {
    return core::covers(applied, sample.head);
  });
}

std::optional<core::Duration> GroupProgress::staleness(const core::LogPosition& applied,
                                                       core::Instant now) const {
  const auto above = first_above(applied);
  if (above == samples_.begin()) {
    return std::nullopt;
  }
  // All that was committed before this sample was asked for lies at or below its head, so it is applied.
  return std::max(core::Duration(0), now - std::prev(above)->last_asked);
}

void GroupProgress::observe_applied(const core::DatabaseId& database, const core::LogPosition& applied,
                                    core::Instant now) {
  const auto above = first_above(applied);
  if (above == samples_.begin()) {
    return;
  }
  const bool behind = above != samples_.end();
  const core::Duration least =
      behind ? std::max(core::Duration(0), now - above->first_asked) : core::Duration(0);
  const core::Duration most = std::max(least, now - std::prev(above)->first_asked);
  const auto known = lags_.find(database);
  if (known == lags_.end()) {
    if (most <= kMaxLearntLag || behind) {
      lags_[database] = least + (std::min(most, kMaxLearntLag) - std::min(least, kMaxLearntLag)) / 2;
    }
    return;
  }
  // Being behind proves at least that lag, so it counts at once; catching up is believed step by step. An
  // upper bound far above the lower one proves nothing, but the lag must not stay high for that: reads would
  // go to the primary and nothing would prove it wrong, while a read that waits in vain proves a low one
  // wrong.
  core::Duration& lag = known->second;
  core::Duration believed = std::clamp(lag, least, most);
  if (most - least > kWideBounds) {
    believed = least + (believed - least) / 2;
  }
  lag = lag < least ? least : blend(lag, believed);
}

std::optional<core::Duration> GroupProgress::expected_wait(const core::DatabaseId& database,
                                                           const core::LogPosition& wanted,
                                                           core::Instant now) const {
  const auto lag = usual_lag(database);
  if (!lag) {
    return std::nullopt;
  }
  const auto reached = std::find_if(samples_.begin(), samples_.end(), [&wanted](const HeadSample& sample) {
    return core::covers(sample.head, wanted);
  });
  const core::Duration age = reached == samples_.end() ? core::Duration(0) : now - reached->first_asked;
  return std::max(core::Duration(0), *lag - age);
}

std::optional<core::Duration> GroupProgress::usual_lag(const core::DatabaseId& database) const {
  const auto found = lags_.find(database);
  if (found == lags_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace pipitpond::routing
