// Preloaded by the soak into daemons that it starts: their time of day is off by SOAK_CLOCK_SHIFT_MS.
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>

namespace {

constexpr long kMillisPerSecond = 1000;
constexpr long kNanosPerMilli = 1'000'000;
constexpr long kNanosPerSecond = 1'000'000'000;

void shift(timespec& time, long millis) {
  time.tv_sec += millis / kMillisPerSecond;
  time.tv_nsec += (millis % kMillisPerSecond) * kNanosPerMilli;
  if (time.tv_nsec < 0) {
    time.tv_nsec += kNanosPerSecond;
    --time.tv_sec;
  }
  if (time.tv_nsec >= kNanosPerSecond) {
    time.tv_nsec -= kNanosPerSecond;
    ++time.tv_sec;
  }
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  const char* millis = std::getenv("SOAK_CLOCK_SHIFT_MS");
  if (result == 0 && clock == CLOCK_REALTIME && millis != nullptr) {
    shift(*time, std::atol(millis));
  }
  return result;
}
