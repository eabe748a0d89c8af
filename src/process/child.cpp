#include "process/child.hpp"

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace pipitpond::process {
namespace {

constexpr core::Duration kWaitStep = std::chrono::milliseconds(5);
constexpr mode_t kOutputMode = 0644;
constexpr int kSignalExitBase = 128;

int exit_code_of(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
}

/// Turns a forked process into the program. Calls only what may follow a fork of a process with threads.
[[noreturn]] void become(const ChildOptions& options, char** arguments, pid_t parent, int report) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kSignalExitBase + SIGKILL);  // The parent ended before the request above.
  }
  const int input = open("/dev/null", O_RDONLY);
  const int output = open(options.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, kOutputMode);
  if (input >= 0 && output >= 0) {
    dup2(input, STDIN_FILENO);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    close(input);
    close(output);
    // Sockets that the parent listens on would go on taking connections in its children after it has closed
    // them.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    execve(arguments[0], arguments, environ);
  }
  const int failure = errno;
  static_cast<void>(!write(report, &failure, sizeof(failure)));
  _exit(kSignalExitBase - 1);
}

core::Error start_failure(const std::filesystem::path& program, int failure) {
  return {core::ErrorKind::kUnavailable,
          "Can't start " + program.string() + ": " + std::strerror(failure) + ".",
          "Build the program first and check the path.", 0};
}

}  // namespace

core::Result<std::unique_ptr<Child>> Child::start(const ChildOptions& options) {
  std::vector<std::string> words{options.program.string()};
  words.insert(words.end(), options.arguments.begin(), options.arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);

  // The new process writes here why it could not start; a successful exec closes it without a byte.
  std::array<int, 2> report{};
  if (pipe2(report.data(), O_CLOEXEC) != 0) {
    return start_failure(options.program, errno);
  }
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    become(options, pointers.data(), parent, report[1]);
  }
  const int fork_failure = pid < 0 ? errno : 0;
  close(report[1]);
  int failure = 0;
  const bool failed = pid > 0 && read(report[0], &failure, sizeof(failure)) == sizeof(failure);
  close(report[0]);
  if (failed) {
    waitpid(pid, nullptr, 0);
  }
  if (pid < 0 || failed) {
    return start_failure(options.program, pid < 0 ? fork_failure : failure);
  }
  return std::unique_ptr<Child>(new Child(pid));
}

Child::~Child() {
  if (running()) {
    signal(SIGKILL);
    wait(std::chrono::seconds(5));
  }
}

bool Child::running() {
  if (exit_code_) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ = exit_code_of(status);
    return false;
  }
  return true;
}

void Child::signal(int number) {
  if (running()) {
    kill(pid_, number);
  }
}

std::optional<int> Child::wait(core::Duration timeout) {
  const core::Instant end = core::BootClock::now() + timeout;
  while (running()) {
    if (core::BootClock::now() >= end) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  return exit_code_;
}

int Child::stop(core::Duration grace) {
  signal(SIGTERM);
  if (const auto code = wait(grace)) {
    return *code;
  }
  signal(SIGKILL);
  return wait(std::chrono::seconds(10)).value_or(kSignalExitBase + SIGKILL);
}

std::optional<Usage> usage_of(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  if (!std::getline(stat, text)) {
    return std::nullopt;
  }
  // The second field is the program's name in parentheses and may hold spaces; utime and stime are
  // fields 14 and 15, resident pages field 24.
  constexpr int kUserTimeField = 14;
  constexpr int kSystemTimeField = 15;
  constexpr int kResidentField = 24;
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  std::uint64_t ticks = 0;
  std::uint64_t pages = 0;
  for (int number = 3; number <= kResidentField && fields >> field; ++number) {
    if (number == kUserTimeField || number == kSystemTimeField) {
      ticks += std::stoull(field);
    }
    if (number == kResidentField) {
      pages = std::stoull(field);
    }
  }
  const auto ticks_per_second = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
  const auto page_bytes = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  Usage usage;
  usage.processor_time = std::chrono::microseconds(ticks * 1'000'000 / ticks_per_second);
  usage.resident_bytes = pages * page_bytes;
  return usage;
}

}  // namespace pipitpond::process
