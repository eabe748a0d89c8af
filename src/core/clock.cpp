#include "core/clock.hpp"

#include <ctime>

namespace pipitpond::core {

BootClock::time_point BootClock::now() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto whole = std::chrono::seconds(now.tv_sec);
  const auto part = std::chrono::nanoseconds(now.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(whole + part));
}

UnixMillis unix_millis_now() noexcept {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace pipitpond::core
