#include "control/control_process.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "logging/logging.hpp"
#include "runtime/program.hpp"

namespace pipitpond::control {
namespace {

/// Terminates without cleanup: after an unrecoverable disk error the state in memory must not be used.
[[noreturn]] void terminate_process(const core::Error& error) {
  logging::logger("control")->critical("unrecoverable error, terminating the process: {}",
                                       core::describe(error));
  std::_Exit(runtime::kExitFailed);
}

class ControlDaemon : public runtime::Daemon {
 public:
  /// `settings` must outlive the daemon; they are assigned again at each reload.
  ControlDaemon(boost::asio::io_context& io, const ControlSettings& settings, const ControlAdapters& adapters)
      : io_(io), settings_(settings), server_(io, settings.options(), terminate_process, adapters) {}

  core::Result<void> start() {
    std::optional<core::Result<void>> started;
    boost::asio::co_spawn(io_, start_server(started), boost::asio::detached);
    while (!started) {
      io_.run_one();
    }
    return *started;
  }

  void reload() override { server_.reload(settings_.options()); }

  void stop(std::function<void()> stopped) override {
    boost::asio::co_spawn(io_, stop_server(std::move(stopped)), boost::asio::detached);
  }

 private:
  boost::asio::awaitable<void> start_server(std::optional<core::Result<void>>& started) {
    started.emplace(co_await server_.start());
  }

  boost::asio::awaitable<void> stop_server(std::function<void()> stopped) {
    co_await server_.stop();
    stopped();
  }

  boost::asio::io_context& io_;
  const ControlSettings& settings_;
  ControlServer server_;
};

}  // namespace

int run_control(int argc, char** argv, const settings::Program& program, ControlSettings& settings,
                const ControlAdapters& adapters) {
  return runtime::run_daemon(
      argc, argv, program, settings.section(),
      [&](boost::asio::io_context& io) -> core::Result<std::unique_ptr<runtime::Daemon>> {
        auto daemon = std::make_unique<ControlDaemon>(io, settings, adapters);
        const auto started = daemon->start();
        if (!started) {
          return started.error();
        }
        return std::unique_ptr<runtime::Daemon>(std::move(daemon));
      });
}

}  // namespace pipitpond::control
