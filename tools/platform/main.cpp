// pipitpond-platform: stand-in for the platform's lagging list of live and leaving machines.
//
//   GET  /v1/machines  {"machines":[{"name","kind","state"}]}, as it was some time ago
//   POST /v1/machines  {"name","kind","state"}                 changes it
//   POST /v1/lag       {"lag_ms"}                              changes how far it lags
#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "http/admin.hpp"
#include "logging/logging.hpp"
#include "machine_list.hpp"
#include "runtime/program.hpp"

namespace pipitpond::platform_program {
namespace {

using nlohmann::json;

/// Settings of the process.
struct Options {
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  core::Duration lag = std::chrono::seconds(5);
};

class Platform final : public runtime::Daemon {
 public:
  static core::Result<std::unique_ptr<runtime::Daemon>> start(boost::asio::io_context& io,
                                                              const Options& options) {
    std::unique_ptr<Platform> platform(new Platform(options.lag));
    auto* self = platform.get();
    auto server =
        http::start_admin_server(io, options.listen_address, options.listen_port,
                                 [self](const http::Request& request) { return self->answer(request); });
    if (!server) {
      return server.as_failure();
    }
    platform->server_ = std::move(server).value();
    logging::logger("platform")
        ->info("Listening on {}:{}.", options.listen_address, platform->server_->port());
    return std::unique_ptr<runtime::Daemon>(std::move(platform));
  }

  void stop(std::function<void()> stopped) override { stopped(); }

 private:
  explicit Platform(core::Duration lag) : lag_(lag) {}

  http::Response answer(const http::Request& request) {
    if (auto health = http::answer_health(request)) {
      return std::move(*health);
    }
    const auto call = request.method + " " + request.path;
    if (call == "GET /metrics") {
      return http::gauge_response("pipitpond_platform_machines", seen().size());
    }
    if (call == "GET /v1/machines") {
      http::Response response;
      response.body = json{{"machines", seen()}}.dump();
      return response;
    }
    if (call == "POST /v1/machines" || call == "POST /v1/lag") {
      return change(request);
    }
    return http::error_response({core::ErrorKind::kNotFound, "There is no " + call + ".",
                                 "Use GET or POST /v1/machines, or POST /v1/lag.", 0});
  }

  http::Response change(const http::Request& request) {
    try {
      const auto body = json::parse(request.body);
      if (request.path == "/v1/lag") {
        body.at("lag_ms");  // Required: throws when it is missing.
        lag_ = http::duration_field(body, "lag_ms");
      } else if (auto changed = machines_.change(body.get<Machine>(), core::BootClock::now()); !changed) {
        return http::error_response(changed.error());
      }
    } catch (const json::exception& error) {
      return http::error_response({core::ErrorKind::kInvalidArgument, error.what(),
                                   "Send the JSON object that docs/API.md describes.", 0});
    }
    http::Response response;
    response.body = "{}";
    return response;
  }

  [[nodiscard]] std::vector<Machine> seen() const { return machines_.seen(core::BootClock::now(), lag_); }

  core::Duration lag_;
  MachineList machines_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace
}  // namespace pipitpond::platform_program

int main(int argc, char** argv) {
  namespace program = pipitpond::platform_program;
  program::Options options;
  pipitpond::settings::Section section;
  section.address("listen.address", options.listen_address, "IP number to listen on");
  section.integer("listen.port", options.listen_port, {0, 65535}, "port to listen on; 0 picks a free one");
  section.duration("lag_ms", options.lag, {0, 3'600'000}, "how old the list is that readers get");
  return pipitpond::runtime::run_daemon(
      argc, argv, {"pipitpond-platform", "Stand-in for the platform's lagging list of machines."}, section,
      [&options](boost::asio::io_context& io) { return program::Platform::start(io, options); });
}
