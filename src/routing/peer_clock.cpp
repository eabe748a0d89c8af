#include "routing/peer_clock.hpp"

namespace pipitpond::routing {

std::int64_t clock_reading(core::Instant now) {
  return now.time_since_epoch().count();
}

void PeerClock::observe(std::int64_t reading, core::Instant now) {
  if (reading == 0) {
    return;
  }
  const std::int64_t ahead = reading - clock_reading(now);
  // The greatest difference belongs to the answer that was the least time on its way.
  if (!read_at_ || ahead >= ahead_ || now - *read_at_ > kClockReadingAge) {
    ahead_ = ahead;
    read_at_ = now;
  }
}

std::int64_t PeerClock::reading_at(core::Instant now) const {
  return read_at_ ? clock_reading(now) + ahead_ : 0;
}

}  // namespace pipitpond::routing
