#include "pooling/concurrency_limit.hpp"

#include <algorithm>

namespace pipitpond::pooling {
namespace {

/// Divisor of the moving average of latencies.
constexpr int kAverageDivisor = 8;
/// Divisors of the baseline latency: it follows lower latencies quickly and higher ones very slowly, so that
/// an overload does not become the baseline.
constexpr int kBaselineFallDivisor = 32;
constexpr int kBaselineRiseDivisor = 1024;
/// An average latency above this multiple of the baseline shows that statements queue at the database.
constexpr int kCongestionFactor = 3;
constexpr double kDecreaseFactor = 0.8;

}  // namespace

void ConcurrencyLimit::set_bounds(std::uint32_t first, std::uint32_t most) {
  most_ = std::max<double>(most, 1);
  if (!initialized_) {
    limit_ = first;
    initialized_ = true;
  }
  // Keeps the learned limit when the bounds change with the number of daemons that share the database.
  limit_ = std::clamp(limit_, 1.0, most_);
}

void ConcurrencyLimit::on_answered(core::Instant now, core::Duration taken) {
  average_latency_ += (taken - average_latency_) / kAverageDivisor;
  baseline_latency_ += (average_latency_ - baseline_latency_) /
                       (average_latency_ < baseline_latency_ ? kBaselineFallDivisor : kBaselineRiseDivisor);
  if (average_latency_ > baseline_latency_ * kCongestionFactor) {
    decrease(now);
  } else {
    limit_ = std::min(most_, limit_ + 1 / limit_);
  }
}

void ConcurrencyLimit::on_refused(core::Instant now) {
  decrease(now);
}

/// At most once per average latency: replies to the statements already in flight report the same congestion.
void ConcurrencyLimit::decrease(core::Instant now) {
  if (now < next_decrease_) {
    return;
  }
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  next_decrease_ = now + average_latency_;
}

std::uint32_t ConcurrencyLimit::limit() const {
  return static_cast<std::uint32_t>(limit_);
}

bool ConcurrencyLimit::has_room(const StatementsInFlight& in_flight) const {
  return in_flight.outside + in_flight.in_transactions + in_flight.opening < limit();
}

}  // namespace pipitpond::pooling
