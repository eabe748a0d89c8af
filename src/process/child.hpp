// Starts and ends processes. For tools and tests only: the product's own processes start none.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"

namespace pipitpond::process {

/// What to start.
struct ChildOptions {
  std::filesystem::path program;
  std::vector<std::string> arguments;
  std::filesystem::path output;  ///< Standard output and error are appended here.
};

/// Processor time and memory that a process has used, from /proc.
struct Usage {
  core::Duration processor_time{0};
  std::uint64_t resident_bytes = 0;
};

/// One child process. Destroying it kills the process if it still runs. The kernel kills it too when the
/// thread that started it ends, so that none outlives a runner that was itself killed.
class Child {
 public:
  /// Starts the process. Fails with kUnavailable when it can't be started.
  static core::Result<std::unique_ptr<Child>> start(const ChildOptions& options);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  [[nodiscard]] pid_t pid() const { return pid_; }
  /// True while the process has not ended. Reaps it when it has.
  bool running();
  /// Sends a signal; nothing if the process has ended.
  void signal(int number);
  /// Waits for the end; the exit code (128 + signal for a killed one), or nothing after `timeout`.
  std::optional<int> wait(core::Duration timeout);
  /// SIGTERM, then SIGKILL after `grace`. Returns the exit code.
  int stop(core::Duration grace);

 private:
  explicit Child(pid_t pid) : pid_(pid) {}

  pid_t pid_ = 0;
  std::optional<int> exit_code_;
};

/// Usage of a running process; nothing when it is gone.
std::optional<Usage> usage_of(pid_t pid);

}  // namespace pipitpond::process
