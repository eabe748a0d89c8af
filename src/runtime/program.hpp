// Frame of every daemon's main function: settings, logs, the io_context, signals and exit codes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "settings/loader.hpp"

namespace pipitpond::runtime {

/// Exit codes of all programs.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

/// Longest that a graceful stop takes unless the daemon says otherwise.
inline constexpr core::Duration kStopLimit = std::chrono::seconds(30);

/// A running daemon.
class Daemon {
 public:
  virtual ~Daemon() = default;
  /// Begins a graceful stop: takes no new work, ends what is in progress, then calls `stopped` once.
  virtual void stop(std::function<void()> stopped) = 0;
  /// The settings were read again: takes over those that may change while it runs. By default none may.
  virtual void reload() {}
  /// Longest that the stop may take before the process ends anyway.
  [[nodiscard]] virtual core::Duration stop_limit() const { return kStopLimit; }
};

/// Starts the daemon when the settings have been assigned. An Error is logged and ends the process.
using Start = std::function<core::Result<std::unique_ptr<Daemon>>(boost::asio::io_context&)>;

/// Raises the limit of open files as far as it may be.
void raise_open_file_limit();

/// Runs a daemon until SIGTERM or SIGINT; a second signal ends it at once. Declares `log.level`, raises the
/// limit of open files, and returns the exit code: 0, 1 when it can't start or stop, 2 for bad settings,
/// which are printed. On SIGHUP, and when the settings file has changed, the settings are read again; bad
/// ones are logged and the daemon goes on with those it has.
int run_daemon(int argc, char** argv, const settings::Program& program, settings::Section& section,
               const Start& start);

/// Reads the settings of a program that is no daemon. Returns an exit code when it must end at once: 0 after
/// --help, --version or --check, 2 for bad settings.
std::optional<int> load_settings(int argc, char** argv, const settings::Program& program,
                                 settings::Section& section);

}  // namespace pipitpond::runtime
