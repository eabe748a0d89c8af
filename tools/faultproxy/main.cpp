// pipitpond-faultproxy: TCP proxy with many links, each of which can be made faulty.
//
//   GET  /v1/links   {"links":[{"name","listen","target","connections"}]}
//   POST /v1/links   {"name","listen","target","delay_ms"}   adds one; delay_ms is its distance each way
//   POST /v1/faults  {"link","fault","delay_ms","jitter_ms","probability","direction"}
//   POST /v1/links/NAME  {"mode","delay_ms"}   sets the link to one mode, and no other fault
//
// `mode`: pass, cut (both ways silent), refuse, cut_to_target or cut_to_client; `delay_ms` adds to the
// distance. `fault`: none, delay, drop, cut_to_target, cut_from_target, freeze, reset, refuse or power_loss
// (see faults.hpp). Faults add up until "none". `direction` of delay and drop: both (default), to_target or
// from_target.
#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "http/admin.hpp"
#include "link.hpp"
#include "logging/logging.hpp"
#include "runtime/program.hpp"

namespace pipitpond::faultproxy {
namespace {

using nlohmann::json;

constexpr std::string_view kOneLink = "POST /v1/links/";

/// A link of the settings file.
struct LinkSetting {
  std::string name;
  core::Endpoint listen;
  core::Endpoint target;
  std::int64_t delay_us = 0;
};

/// Settings of the process.
struct Options {
  std::string listen_address = "127.0.0.1";
  std::uint16_t listen_port = 0;
  std::uint64_t seed = 1;
  std::vector<LinkSetting> links;
};

void declare_link(settings::Section& section, LinkSetting& link) {
  section.text("name", link.name, "name in the admin interface").required();
  section.endpoint("listen", link.listen, "where the link listens").required();
  section.endpoint("target", link.target, "where it connects to").required();
  section.integer("delay_us", link.delay_us, {0, 60'000'000}, "distance each way, microseconds");
}

core::Result<Fault> parse_fault(const json& body) {
  const auto kind = fault_kind_from(body.at("fault").get<std::string>());
  const auto direction = body.value("direction", std::string("both"));
  if (!kind || (direction != "both" && direction != "to_target" && direction != "from_target")) {
    return core::fail(core::ErrorKind::kInvalidArgument, "The fault or its direction is unknown.",
                      "See pipitpond-faultproxy's main.cpp for the names.");
  }
  Fault fault;
  fault.kind = *kind;
  fault.delay = http::duration_field(body, "delay_ms");
  fault.jitter = http::duration_field(body, "jitter_ms");
  fault.probability = body.value("probability", 1.0);
  if (!(fault.probability >= 0 && fault.probability <= 1)) {
    return core::fail(core::ErrorKind::kInvalidArgument, "probability is out of range.", "Send 0 to 1.");
  }
  fault.to_target = direction != "from_target";
  fault.from_target = direction != "to_target";
  return fault;
}

/// The fault of a mode.
core::Result<FaultKind> parse_mode(const std::string& mode) {
  if (mode == "pass") {
    return FaultKind::kNone;
  }
  if (mode == "cut") {
    return FaultKind::kFreeze;
  }
  if (mode == "refuse") {
    return FaultKind::kRefuse;
  }
  if (mode == "cut_to_target") {
    return FaultKind::kCutToTarget;
  }
  if (mode == "cut_to_client") {
    return FaultKind::kCutFromTarget;
  }
  return core::fail(core::ErrorKind::kInvalidArgument, "The mode " + mode + " is not known.",
                    "Send pass, cut, refuse, cut_to_target or cut_to_client.");
}

class FaultProxy final : public runtime::Daemon {
 public:
  static core::Result<std::unique_ptr<runtime::Daemon>> start(boost::asio::io_context& io,
                                                              const Options& options) {
    std::unique_ptr<FaultProxy> proxy(new FaultProxy(io, options.seed));
    for (const auto& link : options.links) {
      auto added = proxy->add({link.name, link.listen, link.target, core::Duration(link.delay_us)});
      if (!added) {
        return added.as_failure();
      }
    }
    auto* self = proxy.get();
    auto server =
        http::start_admin_server(io, options.listen_address, options.listen_port,
                                 [self](const http::Request& request) { return self->answer(request); });
    if (!server) {
      return server.as_failure();
    }
    proxy->server_ = std::move(server).value();
    logging::logger("faultproxy")
        ->info("Listening on {}:{}.", options.listen_address, proxy->server_->port());
    return std::unique_ptr<runtime::Daemon>(std::move(proxy));
  }

  void stop(std::function<void()> stopped) override {
    links_.clear();
    stopped();
  }

 private:
  FaultProxy(boost::asio::io_context& io, std::uint64_t seed) : io_(io), seed_(seed) {}

  core::Result<void> add(LinkOptions options) {
    if (options.name.empty() || links_.contains(options.name)) {
      return core::fail(core::ErrorKind::kAlreadyExists, "The link's name is empty or taken.",
                        "Give each link a name of its own.");
    }
    // Each link draws from its own source, so that traffic of one does not change the faults of another.
    options.seed = seed_ * 1'000'003 + std::hash<std::string>{}(options.name);
    auto link = Link::start(io_, options);
    if (!link) {
      return link.as_failure();
    }
    links_[options.name] = std::move(link).value();
    return core::outcome::success();
  }

  http::Response answer(const http::Request& request) {
    if (auto health = http::answer_health(request)) {
      return std::move(*health);
    }
    const auto call = request.method + " " + request.path;
    if (call == "GET /metrics") {
      return http::gauge_response("pipitpond_faultproxy_links", links_.size());
    }
    http::Response response;
    if (call == "GET /v1/links") {
      response.body = list_links().dump();
      return response;
    }
    try {
      auto done =
          call == "POST /v1/links"     ? add_link(json::parse(request.body))
          : call.starts_with(kOneLink) ? set_mode(call.substr(kOneLink.size()), json::parse(request.body))
          : call == "POST /v1/faults"  ? set_fault(json::parse(request.body))
                                       : core::fail(core::ErrorKind::kNotFound, "There is no " + call + ".",
                                                    "Use /v1/links or /v1/faults.");
      if (!done) {
        return http::error_response(done.error());
      }
    } catch (const json::exception& error) {
      return http::error_response({core::ErrorKind::kInvalidArgument, error.what(), "Send valid JSON.", 0});
    }
    response.body = "{}";
    return response;
  }

  json list_links() {
    auto list = json::array();
    for (const auto& [name, link] : links_) {
      list.push_back({{"name", name},
                      {"listen", link->options().listen},
                      {"target", link->options().target},
                      {"connections", link->connections()}});
    }
    return {{"links", list}};
  }

  core::Result<void> add_link(const json& body) {
    return add({body.at("name").get<std::string>(), body.at("listen").get<core::Endpoint>(),
                body.at("target").get<core::Endpoint>(), http::duration_field(body, "delay_ms")});
  }

  core::Result<void> set_mode(const std::string& name, const json& body) {
    const auto found = links_.find(name);
    if (found == links_.end()) {
      return core::fail(core::ErrorKind::kNotFound, "There is no such link.", "See GET /v1/links.");
    }
    const auto mode = body.at("mode").get<std::string>();
    auto kind = parse_mode(mode);
    if (!kind) {
      return kind.as_failure();
    }
    Fault delay;
    delay.kind = FaultKind::kDelay;
    delay.delay = http::duration_field(body, "delay_ms");
    Fault fault;
    fault.kind = kind.value();
    found->second->set(Fault{});
    found->second->set(delay);
    if (fault.kind != FaultKind::kNone) {
      found->second->set(fault);
    }
    logging::logger("faultproxy")->info("Link {}: {}.", name, mode);
    return core::outcome::success();
  }

  core::Result<void> set_fault(const json& body) {
    const auto found = links_.find(body.at("link").get<std::string>());
    if (found == links_.end()) {
      return core::fail(core::ErrorKind::kNotFound, "There is no such link.", "See GET /v1/links.");
    }
    auto fault = parse_fault(body);
    if (!fault) {
      return fault.as_failure();
    }
    found->second->set(fault.value());
    logging::logger("faultproxy")->info("Link {}: {}.", found->first, body.at("fault").get<std::string>());
    return core::outcome::success();
  }

  boost::asio::io_context& io_;
  std::uint64_t seed_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace
}  // namespace pipitpond::faultproxy

int main(int argc, char** argv) {
  namespace program = pipitpond::faultproxy;
  program::Options options;
  pipitpond::settings::Section section;
  section.address("listen.address", options.listen_address, "IP number of the admin interface");
  section.integer("listen.port", options.listen_port, {0, 65535}, "its port; 0 picks a free one");
  section.integer("seed", options.seed, {1, 1'000'000'000}, "for jitter and losses");
  section.list("links", options.links, program::declare_link, "links that exist from the start");
  return pipitpond::runtime::run_daemon(
      argc, argv, {"pipitpond-faultproxy", "TCP proxy that injects faults."}, section,
      [&options](boost::asio::io_context& io) { return program::FaultProxy::start(io, options); });
}
