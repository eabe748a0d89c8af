#include "pooling/concurrency_limit.hpp"

#include <algorithm>

namespace pipitpond::pooling {
namespace {

/// Weight of the newest answer in the averages: one part in so many.
constexpr int kRecentWeight = 8;
/// The unhindered time follows quick answers soon and slow ones hardly, so that an overload does not become
/// usual.
constexpr int kQuickerWeight = 32;
constexpr int kSlowerWeight = 1024;
/// Answers that take this many times the unhindered time show that statements wait at the database.
constexpr int kHinderedFactor = 3;
constexpr double kDecrease = 0.8;

}  // namespace

void ConcurrencyLimit::set_bounds(std::uint32_t first, std::uint32_t most) {
  most_ = std::max<double>(most, 1);
  if (!begun_) {
    limit_ = first;
    begun_ = true;
  }
  // What answers have taught holds on when the number of daemons that share a database changes.
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

/// Once for what is under way: its answers say the same thing again.
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
