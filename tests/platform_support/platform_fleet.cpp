#include "platform_support/platform_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "http/client.hpp"
#include "pooling/waiting.hpp"
#include "process/ports.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::platform {

using boost::asio::awaitable;
using std::chrono::milliseconds;

namespace {

constexpr core::Duration kDeathLimit = std::chrono::seconds(5);
constexpr core::Duration kCallTimeout = std::chrono::seconds(5);
/// Of each process's log, printed when a test fails.
constexpr std::size_t kLinesOfAFailure = 12;
const std::string kUnknownDatabase = "ERR NODB";

/// Each control machine has an IP number of its own, for seeds tell machines apart by it.
std::string control_address(std::size_t number) {
  return "127.0.0." + std::to_string(11 + number);
}

struct HttpCall {
  core::Endpoint endpoint;
  http::Request request;
  core::Duration limit = kCallTimeout;  ///< To connect, and again for the answer.
};

awaitable<std::pair<unsigned, std::string>> exchange(boost::asio::io_context& io, HttpCall call) {
  auto client = co_await http::Client::connect(io, call.endpoint, call.limit);
  if (!client) {
    co_return std::make_pair(0U, std::string());
  }
  auto response = co_await client.value()->send(std::move(call.request), call.limit);
  if (!response) {
    co_return std::make_pair(0U, std::string());
  }
  co_return std::make_pair(response.value().status, response.value().body);
}

}  // namespace

PlatformFleet::PlatformFleet(platform_stage::ServiceOptions service, int controls, int proxies,
                             const BeforeStart& before_start) {
  folder_ = std::filesystem::temp_directory_path() /
            ("pipitpond-platform-" + std::to_string(std::random_device{}()));
  std::filesystem::create_directories(folder_);
  const auto ports = process::free_ports("127.0.0.1", 1);
  control_http_port_ = ports[0];
  for (int number = 0; number < controls; ++number) {
    controls_.emplace_back();
    controls_.back().http = {control_address(static_cast<std::size_t>(number)), ports[0]};
    service.control.push_back(controls_.back().http);
  }
  proxies_.resize(static_cast<std::size_t>(proxies));
  service_ = std::make_unique<platform_stage::Service>(io_, service);
  promotion_ = service_->start_promotion_call();
  make_settings(controls, proxies);
  if (before_start) {
    before_start(*this);
  }
  for (Member& member : controls_) {
    start(member, "pipitpond-platform-control", {"--cluster.bootstrap=true"});
  }
  for (Member& member : proxies_) {
    start(member, "pipitpond-platform-proxy");
  }
  service_->start();
}

PlatformFleet::~PlatformFleet() {
  for (auto* members : {&controls_, &proxies_}) {
    for (Member& member : *members) {
      member.child.reset();
    }
  }
  const bool failed = ::testing::Test::HasFailure();
  if (failed) {
    print_last_lines();
  }
  if (failed || std::getenv("PIPITPOND_KEEP_LOGS") != nullptr) {
    std::cout << "The logs of this run are in " << folder_.string() << std::endl;
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void PlatformFleet::print_last_lines() const {
  for (const std::filesystem::path& log : logs()) {
    std::ifstream file(log);
    std::deque<std::string> last;
    for (std::string line; std::getline(file, line);) {
      last.push_back(std::move(line));
      if (last.size() > kLinesOfAFailure) {
        last.pop_front();
      }
    }
    std::cout << "--- " << log.filename().string() << "\n";
    for (const std::string& line : last) {
      std::cout << line << "\n";
    }
  }
}

void PlatformFleet::make_settings(int controls, int proxies) {
  const std::uint16_t internal = process::free_ports("127.0.0.1", 1)[0];
  control_internal_port_ = internal;
  std::vector<std::size_t> first;
  for (int number = 0; number < std::min(controls, 3); ++number) {
    first.push_back(static_cast<std::size_t>(number));
  }
  const std::string seeds = seeds_of(first);
  for (std::size_t number = 0; number < controls_.size(); ++number) {
    write_control(number, seeds, internal);
  }
  for (std::size_t number = 0; number < static_cast<std::size_t>(proxies); ++number) {
    const auto ports = process::free_ports("127.0.0.1", 3);
    proxies_[number].callers = {"127.0.0.1", ports[0]};
    proxies_[number].http = {"127.0.0.1", ports[1]};
    proxies_[number].internal = {"127.0.0.1", ports[2]};
    write_proxy(number, seeds);
  }
}

std::filesystem::path PlatformFleet::control_settings(std::size_t number) const {
  return folder_ / ("control-" + std::to_string(number) + ".toml");
}

std::filesystem::path PlatformFleet::proxy_settings(std::size_t number) const {
  return folder_ / ("proxy-" + std::to_string(number) + ".toml");
}

std::filesystem::path PlatformFleet::control_orders(std::size_t number) const {
  return control_settings(number).string() + ".orders";
}

core::Endpoint PlatformFleet::control_http(std::size_t number) const {
  return {control_address(number), control_http_port_};
}

core::Endpoint PlatformFleet::control_internal(std::size_t number) const {
  return {control_address(number), control_internal_port_};
}

std::filesystem::path PlatformFleet::sync_delay_file(const Member& member) {
  return member.settings.string() + ".sync";
}

void PlatformFleet::write_control(std::size_t number, const std::string& seeds, std::uint16_t internal) {
  Member& member = controls_[number];
  member.settings = control_settings(number);
  member.data = data_folder(number);
  std::ofstream file(member.settings);
  file << "[node]\nid = \"" << control_address(number) << "\"\n"
       << "[cluster]\nseeds = [" << seeds << "]\n"
       << "[data]\nfolder = \"" << member.data.string() << "\"\n"
       << "[listen]\nhttp = \"" << core::to_string(member.http) << "\"\ninternal = \""
       << control_address(number) << ":" << internal << "\"\n"
       << "[promotion]\nendpoint = \"" << core::to_string(promotion_) << "\"\n"
       << "[lease]\nduration_ms = 1500\n";
}

void PlatformFleet::write_proxy(std::size_t number, const std::string& seeds) {
  Member& member = proxies_.at(number);
  member.settings = proxy_settings(number);
  std::ofstream file(member.settings);
  file << "[node]\nid = \"proxy-" << number << "\"\nzone = \"stage\"\n"
       << "[listen]\ncallers = \"" << core::to_string(member.callers) << "\"\nadmin = \""
       << core::to_string(member.http) << "\"\ninternal = \"" << core::to_string(member.internal) << "\"\n"
       << "[control]\nseeds = [" << seeds << "]\ninternal_port = " << control_internal_port_ << "\n"
       << "[admin]\nready_path = \"/ready\"\n";
}

void PlatformFleet::start(Member& member, const char* program, const std::vector<std::string>& more) {
  process::ChildOptions options;
  options.program = std::filesystem::path(std::getenv("PIPITPOND_BIN")) / program;
  options.arguments = {"--config", member.settings.string()};
  options.arguments.insert(options.arguments.end(), more.begin(), more.end());
  options.output = member.settings.string() + ".log";
  const std::map<std::string, std::string> environment = preload_environment(member);
  for (const auto& [name, value] : environment) {
    setenv(name.c_str(), value.c_str(), 1);
  }
  member.started = core::BootClock::now();
  auto child = process::Child::start(options);
  for (const auto& [name, value] : environment) {
    unsetenv(name.c_str());
  }
  if (child) {
    member.child = std::move(child.value());
  }
}

std::map<std::string, std::string> PlatformFleet::preload_environment(const Member& member) const {
  const char* library = std::getenv("PIPITPOND_SOAK_PRELOAD");
  if (library == nullptr) {
    return {};
  }
  return {{"LD_PRELOAD", library},
          {"SOAK_CLOCK_SHIFT_MS", std::to_string(clock_shift_.count())},
          {"SOAK_LINKS_FILE", member.settings.string() + ".links"},
          {"SOAK_ORDERS_FILE", member.settings.string() + ".orders"},
          {"SOAK_SYNC_DELAY_FILE", sync_delay_file(member).string()},
          {"SOAK_SYNCED_FOLDER", member.data.string()}};
}

std::vector<std::filesystem::path> PlatformFleet::logs() const {
  std::vector<std::filesystem::path> files;
  for (const auto* members : {&controls_, &proxies_}) {
    for (const Member& member : *members) {
      files.emplace_back(member.settings.string() + ".log");
    }
  }
  return files;
}

void PlatformFleet::kill_control(std::size_t number) {
  control(number).signal(SIGKILL);
  control(number).wait(kDeathLimit);
}

void PlatformFleet::restart_control(std::size_t number) {
  start(controls_.at(number), "pipitpond-platform-control");
}

std::string PlatformFleet::seeds_of(const std::vector<std::size_t>& controls) const {
  std::string seeds;
  for (const std::size_t number : controls) {
    seeds += (seeds.empty() ? "\"" : ", \"") + core::to_string(control_http(number)) + "\"";
  }
  return seeds;
}

void PlatformFleet::add_control(const std::vector<std::size_t>& seeds) {
  const std::size_t number = controls_.size();
  controls_.emplace_back();
  controls_.back().http = control_http(number);
  write_control(number, seeds_of(seeds), control_internal_port_);
  restart_control(number);
}

void PlatformFleet::set_control_seeds(std::size_t number, const std::vector<std::size_t>& seeds) {
  write_control(number, seeds_of(seeds), control_internal_port_);
}

void PlatformFleet::set_proxy_seeds(std::size_t number, const std::vector<std::size_t>& seeds) {
  write_proxy(number, seeds_of(seeds));
}

void PlatformFleet::lose_disk(std::size_t control) {
  std::error_code ignored;
  std::filesystem::remove_all(data_folder(control), ignored);
  std::filesystem::remove_all(synced_folder(data_folder(control)), ignored);
}

void PlatformFleet::lose_unsynced(std::size_t control, const UnsyncedFate& fate) {
  const bool syncs_are_known = std::getenv("PIPITPOND_SOAK_PRELOAD") != nullptr;
  if (syncs_are_known) {
    platform::lose_unsynced(data_folder(control), fate);
  }
}

bool PlatformFleet::has_unsynced(std::size_t control) const {
  return platform::has_unsynced(data_folder(control));
}

void PlatformFleet::slow_disk(std::size_t control, milliseconds delay) {
  const std::filesystem::path file = sync_delay_file(controls_.at(control));
  if (delay.count() == 0) {
    std::filesystem::remove(file);
    return;
  }
  std::ofstream(file) << delay.count();
}

std::filesystem::path PlatformFleet::data_folder(std::size_t control) const {
  return folder_ / ("data-" + std::to_string(control));
}

void PlatformFleet::restart_proxy(std::size_t number) {
  start(proxies_.at(number), "pipitpond-platform-proxy");
}

std::string PlatformFleet::configuration(std::uint64_t version, unsigned timeout_millis,
                                         const std::vector<std::string>& more_names) const {
  using nlohmann::json;
  json routes = json::array();
  const auto route = [&](const std::string& host, const char* kind, unsigned staleness) {
    routes.push_back({{"Name", "r-" + host},
                      {"Host", host},
                      {"PathPrefix", "/"},
                      {"Kind", kind},
                      {"TimeoutMs", timeout_millis},
                      {"GoalMs", 200},
                      {"Priority", 1},
                      {"Service", "plates"},
                      {"MaxStalenessMs", staleness}});
  };
  route("writes", "primary", 0);
  route("board", "bounded", 1500);
  route("own", "session", 2500);
  for (const std::string& name : more_names) {
    route(name, "primary", 0);
  }
  const json body = {{"Version", version},
                     {"Routes", routes},
                     {"Services", json::array({{{"Name", "plates"}, {"MaxConns", 32}, {"SyncReplicas", 1}}})},
                     {"Limits", {{"TxIdleMs", 1000}}}};
  return body.dump();
}

bool PlatformFleet::become_ready() {
  const bool put = wait([this] {
    for (std::size_t number = 0; number < controls_.size(); ++number) {
      if (call_control(number, "POST", "/Config.Put", configuration(1)).first == 200) {
        return true;
      }
    }
    return false;
  });
  return put && wait([this] {
           for (std::size_t number = 0; number < proxies_.size(); ++number) {
             if (!ready(number)) {
               return false;
             }
             Caller caller(io_, proxies_[number].callers);
             if (!caller.open("writes") || !caller.query("READ probe").ok()) {
               return false;
             }
           }
           return true;
         });
}

bool PlatformFleet::wait(const std::function<bool()>& done, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    pause(milliseconds(20));
  }
  return true;
}

void PlatformFleet::pause(milliseconds duration) {
  pipitpond::testing::run_until(
      io_, [] { return false; }, duration);
}

std::unique_ptr<Caller> PlatformFleet::caller(std::size_t proxy, const std::string& database) {
  auto caller = std::make_unique<Caller>(io_, proxies_.at(proxy).callers);
  return caller->open(database) ? std::move(caller) : nullptr;
}

std::pair<unsigned, std::string> PlatformFleet::call_control(std::size_t number, const std::string& method,
                                                             const std::string& path,
                                                             const std::string& body) {
  return call(controls_.at(number).http, method, path, body);
}

std::optional<nlohmann::json> PlatformFleet::control_status() {
  for (std::size_t number = 0; number < controls_.size(); ++number) {
    const auto [code, body] = call_control(number, "GET", "/v1/status", "");
    if (code == 200) {
      return nlohmann::json::parse(body);
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> PlatformFleet::leader() {
  const auto status = control_status();
  if (!status) {
    return std::nullopt;
  }
  // A machine that has joined later is named by its address, '#' and a number.
  const std::string identity = status->at("leader");
  const std::string address = identity.substr(0, identity.find('#'));
  const auto found = std::find_if(controls_.begin(), controls_.end(),
                                  [&](const Member& member) { return member.http.address == address; });
  return found == controls_.end() ? std::nullopt
                                  : std::optional<std::size_t>(std::distance(controls_.begin(), found));
}

std::optional<std::size_t> PlatformFleet::wait_for_leader(std::size_t voter_count) {
  std::optional<std::size_t> leading;
  wait([&] {
    leading = voters() == voter_count ? leader() : std::nullopt;
    return leading.has_value();
  });
  return leading;
}

PendingAnswer PlatformFleet::begin_call(std::size_t number, http::Request request, core::Duration limit) {
  auto pending = std::make_shared<std::optional<ControlAnswer>>();
  boost::asio::co_spawn(io_, ask_control(number, std::move(request), limit),
                        [pending](const std::exception_ptr& /*failed*/, ControlAnswer answer) {
                          *pending = std::move(answer);
                        });
  return pending;
}

std::size_t PlatformFleet::voters() {
  const auto status = control_status();
  if (!status) {
    return 0;
  }
  const auto& replicas = status->at("replicas");
  return static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(),
                    [](const nlohmann::json& replica) { return replica.at("role") == "voter"; }));
}

awaitable<std::pair<unsigned, std::string>> PlatformFleet::ask_control(std::size_t number,
                                                                       http::Request request,
                                                                       core::Duration limit) {
  const auto redirected = operators_endpoints_.find(number);
  const core::Endpoint& endpoint =
      redirected == operators_endpoints_.end() ? controls_.at(number).http : redirected->second;
  HttpCall call{endpoint, std::move(request), limit};
  co_return co_await exchange(io_, std::move(call));
}

awaitable<std::optional<bool>> PlatformFleet::knows_database(std::size_t proxy, std::string database,
                                                             core::Duration limit) {
  Caller caller(io_, proxies_.at(proxy).callers);
  const std::string line = co_await caller.start_session(std::move(database), limit);
  if (line == kSessionOpened) {
    co_return true;
  }
  co_return line.starts_with(kUnknownDatabase) ? std::optional(false) : std::nullopt;
}

bool PlatformFleet::ready(std::size_t proxy) {
  return call(proxies_.at(proxy).http, "GET", "/ready", "").first == 200;
}

std::pair<unsigned, std::string> PlatformFleet::call(const core::Endpoint& endpoint,
                                                     const std::string& method, const std::string& path,
                                                     const std::string& body) {
  HttpCall call{endpoint, {}, kCallTimeout};
  call.request.method = method;
  call.request.path = path;
  call.request.body = body;
  return pipitpond::testing::run(io_, exchange(io_, std::move(call)));
}

}  // namespace pipitpond::platform
