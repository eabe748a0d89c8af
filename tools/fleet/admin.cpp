#include "admin.hpp"

#include <string>
#include <string_view>
#include <utility>

#include "core/error.hpp"
#include "http/admin.hpp"

namespace pipitpond::fleet_program {
namespace {

using nlohmann::json;

constexpr std::string_view kProcesses = "/v1/processes/";
using http::error_response;

core::Result<void> act(fleet::Fleet& fleet, const std::string& name, const std::string& action) {
  if (action == "start") {
    return fleet.start_process(name);
  }
  if (action == "stop") {
    return fleet.begin_stop(name);
  }
  if (action == "kill") {
    return fleet.kill(name);
  }
  if (action == "freeze") {
    return fleet.freeze(name);
  }
  if (action == "thaw") {
    return fleet.thaw(name);
  }
  return core::fail(core::ErrorKind::kInvalidArgument, "The action " + action + " is not known.",
                    "Send start, stop, kill, freeze or thaw.");
}

http::Response change(fleet::Fleet& fleet, const std::string& name, const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.value("action", json()).is_string()) {
    return error_response({core::ErrorKind::kInvalidArgument, "The body names no action.",
                           R"(Send {"action":"stop"}, for example.)", 0});
  }
  const auto done = act(fleet, name, parsed["action"].get<std::string>());
  if (!done) {
    return error_response(done.error());
  }
  http::Response response;
  const json described = fleet::to_json(fleet.describe());
  for (const json& process : described["processes"]) {
    if (process["name"] == name) {
      response.body = process.dump();
    }
  }
  return response;
}

}  // namespace

http::Response answer(fleet::Fleet& fleet, const http::Request& request) {
  if (auto health = http::answer_health(request)) {
    return std::move(*health);
  }
  const std::string call = request.method + " " + request.path;
  if (call == "GET /metrics") {
    return http::gauge_response("pipitpond_fleet_processes", fleet.describe().processes.size());
  }
  if (call == "GET /v1/fleet") {
    http::Response response;
    response.body = fleet::to_json(fleet.describe()).dump();
    return response;
  }
  if (request.method == "POST" && request.path.starts_with(kProcesses)) {
    return change(fleet, request.path.substr(kProcesses.size()), request.body);
  }
  return error_response({core::ErrorKind::kNotFound, "There is no " + call + ".",
                         "Use GET /v1/fleet or POST /v1/processes/NAME.", 0});
}

}  // namespace pipitpond::fleet_program
