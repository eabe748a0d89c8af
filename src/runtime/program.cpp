#include "runtime/program.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "logging/logging.hpp"

namespace pipitpond::runtime {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr rlim_t kOpenFiles = 1 << 20;
/// How often the settings file is looked at: it may change without a signal.
constexpr core::Duration kSettingsCheckInterval = std::chrono::seconds(2);

/// Turns signals into one graceful stop.
class Stopper {
 public:
  Stopper(asio::io_context& io, Daemon& daemon)
      : io_(io), daemon_(daemon), signals_(io, SIGTERM, SIGINT), limit_(io) {
    wait();
  }

  [[nodiscard]] int exit_code() const { return exit_code_; }

 private:
  void wait() {
    signals_.async_wait([this](const error_code& error, int /*signal*/) {
      if (!error) {
        on_signal();
      }
    });
  }

  void on_signal() {
    const auto log = logging::logger("runtime");
    if (stopping_) {
      log->warn("A second signal came: the process ends at once.");
      end(kExitFailed);
      return;
    }
    stopping_ = true;
    log->info("A signal came: the process stops when its work is done.");
    wait();
    const core::Duration limit = daemon_.stop_limit();
    limit_.expires_after(limit);
    limit_.async_wait([this, log, limit](const error_code& error) {
      if (!error) {
        log->error("Work did not end in {} ms: the process ends anyway.", core::to_millis(limit));
        end(kExitFailed);
      }
    });
    daemon_.stop([this] { end(kExitDone); });
  }

  void end(int exit_code) {
    exit_code_ = exit_code;
    io_.stop();
  }

  asio::io_context& io_;
  Daemon& daemon_;
  asio::signal_set signals_;
  asio::steady_timer limit_;
  bool stopping_ = false;
  int exit_code_ = kExitDone;
};

/// Reads the settings again on SIGHUP and when their file has changed.
class Reloader {
 public:
  Reloader(asio::io_context& io, Daemon& daemon, std::function<std::optional<core::Error>()> read,
           std::filesystem::path file)
      : daemon_(daemon),
        read_(std::move(read)),
        file_(std::move(file)),
        changed_at_(last_change()),
        signals_(io, SIGHUP),
        timer_(io) {
    wait_for_signal();
    if (!file_.empty()) {
      wait_for_change();
    }
  }

 private:
  void wait_for_signal() {
    signals_.async_wait([this](const error_code& error, int /*signal*/) {
      if (!error) {
        wait_for_signal();
        changed_at_ = last_change();
        reload();
      }
    });
  }

  void wait_for_change() {
    timer_.expires_after(kSettingsCheckInterval);
    timer_.async_wait([this](const error_code& error) {
      if (error) {
        return;
      }
      const auto changed = last_change();
      if (changed != changed_at_) {
        changed_at_ = changed;
        reload();
      }
      wait_for_change();
    });
  }

  [[nodiscard]] std::filesystem::file_time_type last_change() const {
    std::error_code ignored;
    return std::filesystem::last_write_time(file_, ignored);
  }

  void reload() {
    const auto log = logging::logger("runtime");
    if (const auto error = read_()) {
      log->error("The changed settings are not taken: {}", describe(*error));
      return;
    }
    log->info("event=reload The settings were read again.");
    daemon_.reload();
  }

  Daemon& daemon_;
  std::function<std::optional<core::Error>()> read_;
  std::filesystem::path file_;
  std::filesystem::file_time_type changed_at_;
  asio::signal_set signals_;
  asio::steady_timer timer_;
};

/// The file that "--config FILE" names; empty when there is none.
std::filesystem::path settings_file(const std::vector<std::string>& arguments) {
  const auto option = std::find(arguments.begin(), arguments.end(), "--config");
  if (option == arguments.end() || std::next(option) == arguments.end()) {
    return {};
  }
  return *std::next(option);
}

}  // namespace

void raise_open_file_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = std::min(limit.rlim_max, kOpenFiles);
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
}

std::optional<int> load_settings(int argc, char** argv, const settings::Program& program,
                                 settings::Section& section) {
  std::string level = "info";
  section.choice("log.level", level, logging::levels(), "Least level that is logged");
  const auto loaded = settings::load(program, section, std::vector<std::string>(argv, argv + argc));
  if (!loaded.has_value()) {
    std::cerr << program.name << ": " << loaded.error().message << "\n" << loaded.error().remedy << "\n";
    return kExitBadSettings;
  }
  if (loaded.value() == settings::Request::kHelp) {
    std::cout << settings::help_text(program, section);
    return kExitDone;
  }
  if (loaded.value() == settings::Request::kVersion) {
    std::cout << program.name << " " << PIPITPOND_VERSION << "\n";
    return kExitDone;
  }
  if (loaded.value() == settings::Request::kCheck) {
    std::cout << program.name << ": the settings are whole.\n";
    return kExitDone;
  }
  logging::set_level(level);
  return std::nullopt;
}

int run_daemon(int argc, char** argv, const settings::Program& program, settings::Section& section,
               const Start& start) {
  // From the first moment: whoever changes the settings does not know how far this process has come. They are
  // read below, and a later change of the file is noticed by itself.
  std::signal(SIGHUP, SIG_IGN);
  if (const auto exit_code = load_settings(argc, argv, program, section)) {
    return *exit_code;
  }
  logging::use_standard_output();
  raise_open_file_limit();
  std::signal(SIGPIPE, SIG_IGN);
  const auto log = logging::logger("runtime");
  asio::io_context io(1);
  auto started = start(io);
  if (!started.has_value()) {
    log->error("{} can't start: {}", program.name, describe(started.error()));
    return kExitFailed;
  }
  Stopper stopper(io, *started.value());
  const std::vector<std::string> arguments(argv, argv + argc);
  const auto read_again = [&]() -> std::optional<core::Error> {
    const auto loaded = settings::load(program, section, arguments);
    return loaded ? std::nullopt : std::optional(loaded.error());
  };
  const Reloader reloader(io, *started.value(), read_again, settings_file(arguments));
  log->info("event=start program={} version={}", program.name, PIPITPOND_VERSION);
  try {
    io.run();
  } catch (const std::exception& error) {
    log->critical("The process ends on a fault: {}", error.what());
    return kExitFailed;
  }
  log->info("event=stop program={0} {0} has stopped.", program.name);
  // Suspended coroutines refer to the daemon and the daemon to the io_context, so neither can be destroyed
  // before the other. Nothing is lost: what must last has been synced, and logs are flushed line by line.
  std::_Exit(stopper.exit_code());
}

}  // namespace pipitpond::runtime
