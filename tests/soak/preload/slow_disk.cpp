// Preloaded by the soak into daemons that it starts: each sync of a file takes as many milliseconds more as
// the file of SOAK_SYNC_DELAY_FILE says, and ends early when that file is removed. What was synced is kept,
// see synced_files.cpp.
#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <ctime>

#include "soak/preload/synced_files.hpp"

namespace {

constexpr long kNanosPerMilli = 1'000'000;
constexpr long kPollMillis = 10;

/// The delay that holds now; 0 without a file.
long delay_millis() {
  const char* path = std::getenv("SOAK_SYNC_DELAY_FILE");
  const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return 0;
  }
  std::array<char, 16> text{};
  const ssize_t length = ::read(file, text.data(), text.size() - 1);
  ::close(file);
  return length > 0 ? std::strtol(text.data(), nullptr, 10) : 0;
}

}  // namespace

extern "C" int fsync(int descriptor) {
  const timespec poll{0, kPollMillis * kNanosPerMilli};
  for (long waited = 0; waited < delay_millis(); waited += kPollMillis) {
    ::nanosleep(&poll, nullptr);
  }
  const auto result = static_cast<int>(syscall(SYS_fsync, descriptor));
  if (result == 0) {
    pipitpond::preload::note_synced(descriptor);
  }
  return result;
}
