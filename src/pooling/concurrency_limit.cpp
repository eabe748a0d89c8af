#include "pooling/concurrency_limit.hpp"

#include <algorithm>

namespace pipitpond::pooling {
namespace {

/// Divisor of the moving average of latencies.
constexpr int kRecentWeight = 8;
/// Divisors of the baseline latency: it follows lower latencies quickly and higher ones very slowly, so that
/// an overload does not become the baseline.
constexpr int kQuickerWeight = 32;
constexpr int kSlowerWeight = 1024;
/// An average latency above this multiple of the baseline shows that statements queue at the database.
constexpr int kHinderedFactor = 3;
constexpr double kDecrease = 0.8;

}  // namespace

void ConcurrencyLimit::set_bounds(std::uint32_t first, std::uint32_t most) {
  most_ = std::max<double>(most, 1);
  if (!begun_) {
    limit_ = first;
    begun_ = true;
  }
  // Keeps the learned limit when the bounds change with the number of daemons that share the database.
  limit_ = std::clamp(limit_, 1.0, most_);
}

void ConcurrencyLimit::on_answered(core::Instant now, core::Duration taken) {
  recent_ += (taken - recent_) / kRecentWeight;
  unhindered_ += (recent_ - unhindered_) / (recent_ < unhindered_ ? kQuickerWeight : kSlowerWeight);
  if (recent_ > unhindered_ * kHinderedFactor) {
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
  limit_ = std::max(1.0, limit_ * kDecrease);
  next_decrease_ = now + recent_;
}

std::uint32_t ConcurrencyLimit::limit() const {
  return static_cast<std::uint32_t>(limit_);
}

bool ConcurrencyLimit::has_room(const StatementsUnderWay& under_way) const {
  return under_way.outside + under_way.in_transactions + under_way.opening < limit();
}

}  // namespace pipitpond::pooling
