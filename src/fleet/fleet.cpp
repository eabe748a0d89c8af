#include "fleet/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "fleet/http_call.hpp"

namespace pipitpond::fleet {
namespace {

constexpr core::Duration kPoll = std::chrono::milliseconds(20);
constexpr core::Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr core::Duration kStartLimit = std::chrono::seconds(60);
constexpr core::Duration kKillLimit = std::chrono::seconds(10);
constexpr core::Duration kProxyStopLimit = std::chrono::seconds(15);
constexpr core::Duration kOtherStopLimit = std::chrono::seconds(1);

template <typename Condition>
bool wait_until(Condition condition, core::Duration limit) {
  const core::Instant end = core::BootClock::now() + limit;
  while (!condition()) {
    if (core::BootClock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace

std::string to_string(LinkMode mode) {
  switch (mode) {
    case LinkMode::kPass:
      return "pass";
    case LinkMode::kCut:
      return "cut";
    case LinkMode::kRefuse:
      return "refuse";
    case LinkMode::kCutToTarget:
      return "cut_to_target";
    case LinkMode::kCutToClient:
      return "cut_to_client";
  }
  return "pass";
}

core::Result<std::unique_ptr<Fleet>> Fleet::start(FleetPlan plan) {
  Layout layout = lay_out(plan);
  std::unique_ptr<Fleet> fleet(new Fleet(std::move(plan), std::move(layout)));
  auto started = fleet->start_everything();
  if (!started) {
    return started.as_failure();
  }
  return fleet;
}

Fleet::Fleet(FleetPlan plan, Layout layout) : plan_(std::move(plan)), layout_(std::move(layout)) {
  for (ProcessLayout& process : layout_.processes) {
    processes_.push_back({process, nullptr, false});
  }
}

Fleet::~Fleet() = default;

core::Result<void> Fleet::start_everything() {
  std::error_code failed;
  std::filesystem::create_directories(plan_.folder / "data", failed);
  if (failed) {
    return core::fail(core::ErrorKind::kUnavailable,
                      plan_.folder.string() + " can't be made: " + failed.message(),
                      "Name a folder that can be written.");
  }
  for (const Process& process : processes_) {
    BOOST_OUTCOME_TRYV(write_settings(process));
  }
  for (const char* kind : {"platform", "faultproxy", "database", "control"}) {
    BOOST_OUTCOME_TRYV(start_kind(kind));
  }
  for (const char* kind : {"platform", "faultproxy", "database", "control"}) {
    BOOST_OUTCOME_TRYV(wait_kind_ready(kind));
  }
  BOOST_OUTCOME_TRYV(list_machines());
  BOOST_OUTCOME_TRYV(submit_configuration());
  BOOST_OUTCOME_TRYV(start_kind("proxy"));
  BOOST_OUTCOME_TRYV(wait_kind_ready("proxy"));
  for (const DeploymentPlan& deployment : plan_.deployments) {
    for (const core::GroupName& group : deployment.groups) {
      auto primary = wait_for_primary(group, "", kStartLimit);
      if (!primary) {
        return primary.as_failure();
      }
      BOOST_OUTCOME_TRYV(wait_for_slots(primary.value()));
    }
  }
  return core::outcome::success();
}

core::Result<void> Fleet::write_settings(const Process& process) const {
  const std::filesystem::path path = plan_.folder / (process.layout.description.name + ".toml");
  std::ofstream file(path);
  file << process.layout.settings;
  file.flush();
  if (!file) {
    return core::fail(core::ErrorKind::kUnavailable, path.string() + " can't be written.",
                      "Name a folder that can be written.");
  }
  return core::outcome::success();
}

core::Result<void> Fleet::launch(Process& process) {
  const std::string& name = process.layout.description.name;
  process::ChildOptions options;
  options.program = plan_.binaries / process.layout.program;
  options.output = plan_.folder / (name + ".log");
  options.arguments = {"--config", (plan_.folder / (name + ".toml")).string()};
  if (!process.started_before) {
    const auto& first = process.layout.first_start_arguments;
    options.arguments.insert(options.arguments.end(), first.begin(), first.end());
  }
  auto child = process::Child::start(options);
  if (!child) {
    return child.as_failure();
  }
  process.child = std::move(child).value();
  process.started_before = true;
  return core::outcome::success();
}

core::Result<void> Fleet::start_kind(const std::string& kind) {
  for (Process& process : processes_) {
    if (process.layout.description.kind == kind) {
      BOOST_OUTCOME_TRYV(launch(process));
    }
  }
  return core::outcome::success();
}

core::Result<void> Fleet::wait_kind_ready(const std::string& kind) {
  for (const Process& process : processes_) {
    if (process.layout.description.kind == kind) {
      BOOST_OUTCOME_TRYV(wait_ready(process.layout.description.name, kStartLimit));
    }
  }
  return core::outcome::success();
}

core::Error Fleet::not_ready(const std::string& name, const std::string& what) const {
  return {core::ErrorKind::kTimeout, name + " " + what + ".",
          "See " + (plan_.folder / (name + ".log")).string() + ".", 0};
}

core::Result<void> Fleet::wait_ready(const std::string& name, core::Duration limit) {
  BOOST_OUTCOME_TRY(process, find(name));
  const core::Endpoint own = process->layout.description.endpoint;
  bool ended = false;
  const bool ready = wait_until(
      [&] {
        ended = !process->child || !process->child->running();
        const auto reply = fleet::call(own, "GET", "/readyz", nullptr, kProbeTimeout);
        return ended || (reply && reply.value().accepted());
      },
      limit);
  if (ended) {
    return not_ready(name, "has ended");
  }
  if (!ready) {
    return not_ready(name, "did not become ready in time");
  }
  return core::outcome::success();
}

core::Result<void> Fleet::list_machines() {
  for (const Process& process : processes_) {
    const std::string& kind = process.layout.description.kind;
    if (kind == "database" || kind == "proxy" || kind == "control") {
      BOOST_OUTCOME_TRYV(set_machine(process.layout.description.name, "live"));
    }
  }
  return core::outcome::success();
}

core::Result<void> Fleet::set_machine(const std::string& process, const std::string& state) {
  BOOST_OUTCOME_TRY(found, find(process));
  const nlohmann::json machine = {
      {"name", process}, {"kind", found->layout.description.kind}, {"state", state}};
  const auto reply = call("platform", "POST", "/v1/machines", machine);
  if (!reply) {
    return reply.as_failure();
  }
  if (!reply.value().accepted()) {
    return core::fail(core::ErrorKind::kInternal, "The platform refused " + machine.dump() + ".",
                      "See platform.log.");
  }
  return core::outcome::success();
}

core::Result<void> Fleet::submit(const std::string& path, const nlohmann::json& spec) {
  const nlohmann::json body = {
      {"key", std::to_string(core::unix_millis_now()) + "-fleet-" + std::to_string(next_key_++)},
      {"revision", 0},
      {"spec", spec}};
  auto reply = control("PUT", path, body);
  if (!reply) {
    return reply.as_failure();
  }
  if (!reply.value().accepted()) {
    return core::fail(core::ErrorKind::kInternal,
                      "Control refused " + path + ": " + reply.value().body.dump(),
                      "See the logs of the control replicas.");
  }
  return core::outcome::success();
}

core::Result<void> Fleet::submit_configuration() {
  for (const DeploymentPlan& deployment : plan_.deployments) {
    for (const core::ZoneName& zone : deployment.zones) {
      BOOST_OUTCOME_TRYV(submit("/v1/zones/" + zone.value(), {{"region", deployment.region}}));
    }
    if (!deployment.policy.name.empty()) {
      BOOST_OUTCOME_TRYV(
          submit("/v1/policies/" + deployment.policy.name.value(), {{"source", deployment.policy.source}}));
    }
    for (const core::GroupName& group : deployment.groups) {
      nlohmann::json databases = nlohmann::json::array();
      for (const DatabaseLayout& database : layout_.databases) {
        if (database.group == group) {
          databases.push_back({{"id", database.name},
                               {"endpoint", database.endpoint},
                               {"zone", database.zone},
                               {"connection_limit", database.connection_limit},
                               {"slots", database.slots}});
        }
      }
      nlohmann::json spec = {{"databases", databases}};
      if (!deployment.policy.name.empty()) {
        spec["policy"] = deployment.policy.name;
      }
      BOOST_OUTCOME_TRYV(submit("/v1/groups/" + group.value(), spec));
    }
  }
  return core::outcome::success();
}

core::Result<Fleet::Process*> Fleet::find(const std::string& name) {
  const auto found = std::find_if(processes_.begin(), processes_.end(), [&name](const Process& process) {
    return process.layout.description.name == name;
  });
  if (found == processes_.end()) {
    return core::fail(core::ErrorKind::kNotFound, "The fleet has no process " + name + ".",
                      "See fleet.json for the names.");
  }
  return &*found;
}

core::Result<void> Fleet::signal(const std::string& name, int number) {
  BOOST_OUTCOME_TRY(process, find(name));
  if (process->child) {
    process->child->signal(number);
  }
  return core::outcome::success();
}

core::Result<void> Fleet::start_process(const std::string& name) {
  BOOST_OUTCOME_TRY(process, find(name));
  if (process->child && process->child->running()) {
    return core::outcome::success();
  }
  return launch(*process);
}

core::Result<void> Fleet::begin_stop(const std::string& name) {
  return signal(name, SIGTERM);
}

core::Result<int> Fleet::stop(const std::string& name, core::Duration limit) {
  BOOST_OUTCOME_TRYV(begin_stop(name));
  BOOST_OUTCOME_TRY(process, find(name));
  const auto code = process->child ? process->child->wait(limit) : std::optional<int>(0);
  if (!code) {
    return not_ready(name, "did not end after its planned stop");
  }
  return *code;
}

core::Result<void> Fleet::kill(const std::string& name) {
  BOOST_OUTCOME_TRYV(signal(name, SIGKILL));
  BOOST_OUTCOME_TRY(process, find(name));
  if (process->child && !process->child->wait(kKillLimit)) {
    return not_ready(name, "did not end when it was killed");
  }
  return core::outcome::success();
}

core::Result<void> Fleet::freeze(const std::string& name) {
  return signal(name, SIGSTOP);
}

core::Result<void> Fleet::thaw(const std::string& name) {
  return signal(name, SIGCONT);
}

void Fleet::stop_all() {
  const auto is_proxy = [](const Process& process) { return process.layout.description.kind == "proxy"; };
  const auto is_other = [&is_proxy](const Process& process) { return !is_proxy(process); };
  // The proxies' planned stop needs the others. Theirs would wait for one another, so they get little time.
  stop_each(is_proxy, kProxyStopLimit);
  stop_each(is_other, kOtherStopLimit);
}

void Fleet::stop_each(const std::function<bool(const Process&)>& chosen, core::Duration limit) {
  for (Process& process : processes_) {
    if (process.child && chosen(process)) {
      process.child->signal(SIGCONT);
      process.child->signal(SIGTERM);
    }
  }
  const core::Instant end = core::BootClock::now() + limit;
  for (Process& process : processes_) {
    if (process.child && chosen(process)) {
      process.child->wait(end - core::BootClock::now());
      process.child.reset();
    }
  }
}

core::Result<void> Fleet::set_link(const std::string& name, LinkMode mode) {
  const auto found = std::find_if(layout_.links.begin(), layout_.links.end(),
                                  [&name](const experiment::FleetLink& link) { return link.name == name; });
  if (found == layout_.links.end()) {
    return core::fail(core::ErrorKind::kNotFound, "The fleet has no link " + name + ".",
                      "See fleet.json for the names.");
  }
  const auto reply = fleet::call(found->admin, "POST", "/v1/links/" + name, {{"mode", to_string(mode)}},
                                 std::chrono::seconds(10));
  if (!reply) {
    return reply.as_failure();
  }
  if (!reply.value().accepted()) {
    return core::fail(core::ErrorKind::kInternal, "Link " + name + " refused: " + reply.value().text,
                      "See the fault proxy's log.");
  }
  return core::outcome::success();
}

core::Result<void> Fleet::set_links_of(const std::string& target, LinkMode mode) {
  for (const experiment::FleetLink& link : layout_.links) {
    if (link.target == target) {
      BOOST_OUTCOME_TRYV(set_link(link.name, mode));
    }
  }
  return core::outcome::success();
}

core::Result<void> Fleet::set_links_around(const std::string& name, LinkMode mode) {
  for (const experiment::FleetLink& link : layout_.links) {
    if (link.target == name || link.side == name) {
      BOOST_OUTCOME_TRYV(set_link(link.name, mode));
    }
  }
  return core::outcome::success();
}

core::Result<void> Fleet::wipe(const std::string& name) {
  BOOST_OUTCOME_TRY(process, find(name));
  if (process->child && process->child->running()) {
    return core::fail(core::ErrorKind::kConflict, name + " runs.", "Kill it first.");
  }
  std::error_code failed;
  std::filesystem::remove_all(data_folder(name), failed);
  if (failed) {
    return core::fail(core::ErrorKind::kUnavailable, "The data of " + name + " can't be removed.",
                      "Check the folder's permissions.");
  }
  return core::outcome::success();
}

std::filesystem::path Fleet::data_folder(const std::string& name) const {
  return plan_.folder / "data" / name;
}

core::Endpoint Fleet::endpoint(const std::string& name) const {
  const auto found = std::find_if(processes_.begin(), processes_.end(), [&name](const Process& process) {
    return process.layout.description.name == name;
  });
  return found == processes_.end() ? core::Endpoint{} : found->layout.description.endpoint;
}

core::Endpoint Fleet::declared_endpoint(const std::string& database) const {
  const auto found = std::find_if(layout_.databases.begin(), layout_.databases.end(),
                                  [&database](const DatabaseLayout& one) { return one.name == database; });
  return found == layout_.databases.end() ? core::Endpoint{} : found->endpoint;
}

std::vector<core::Endpoint> Fleet::control_endpoints() const {
  std::vector<core::Endpoint> endpoints;
  for (const Process& process : processes_) {
    if (process.layout.description.kind == "control") {
      endpoints.push_back(process.layout.description.endpoint);
    }
  }
  return endpoints;
}

experiment::Fleet Fleet::describe() {
  experiment::Fleet fleet;
  fleet.admin = layout_.admin;
  fleet.links = layout_.links;
  for (const DeploymentPlan& deployment : plan_.deployments) {
    const auto delay = static_cast<std::uint32_t>(core::to_millis(deployment.client_delay));
    fleet.deployments.push_back({deployment.name, delay, deployment.zones, deployment.groups});
  }
  for (Process& process : processes_) {
    fleet.processes.push_back(process.layout.description);
    const bool runs = process.child && process.child->running();
    fleet.processes.back().pid = runs ? process.child->pid() : 0;
  }
  return fleet;
}

core::Result<operators::Reply> Fleet::control(const std::string& method, const std::string& path,
                                              const nlohmann::json& body) {
  return call_control(control_endpoints(), {method, path, "", body}, {});
}

core::Result<experiment::JsonReply> Fleet::call(const std::string& process, const std::string& method,
                                                const std::string& path, const nlohmann::json& body,
                                                core::Duration timeout) {
  return fleet::call(endpoint(process), method, path, body, timeout);
}

std::string Fleet::primary_of(const core::GroupName& group) {
  const auto status = control("GET", "/v1/status");
  if (!status || !status.value().accepted()) {
    return "";
  }
  for (const nlohmann::json& one : status.value().body.value("groups", nlohmann::json::array())) {
    if (one.at("name") == group.value() && one.at("primary").is_string()) {
      return one.at("primary");
    }
  }
  return "";
}

core::Result<std::string> Fleet::wait_for_primary(const core::GroupName& group, const std::string& former,
                                                  core::Duration limit) {
  std::string primary;
  const bool found = wait_until(
      [&] {
        primary = primary_of(group);
        return !primary.empty() && primary != former;
      },
      limit);
  if (!found) {
    return core::fail(core::ErrorKind::kTimeout, "Group " + group.value() + " got no primary in time.",
                      "See the control replicas' logs in " + plan_.folder.string() + ".");
  }
  return primary;
}

bool Fleet::has_slots(const std::string& proxy, const std::string& database) {
  const auto reply = call(proxy, "GET", "/metrics");
  std::istringstream lines(reply ? reply.value().text : "");
  for (std::string line; std::getline(lines, line);) {
    const bool counts = line.starts_with("pipitpond_proxy_database_slots{") &&
                        line.find("\"" + database + "\"") != std::string::npos;
    if (counts && !line.ends_with(" 0")) {
      return true;
    }
  }
  return false;
}

core::Result<void> Fleet::wait_for_slots(const std::string& database) {
  const bool granted = wait_until(
      [&] {
        return std::any_of(processes_.begin(), processes_.end(), [&](const Process& process) {
          const experiment::FleetProcess& description = process.layout.description;
          return description.kind == "proxy" && has_slots(description.name, database);
        });
      },
      kStartLimit);
  if (!granted) {
    return core::fail(core::ErrorKind::kTimeout, "No proxy was granted slots of " + database + " in time.",
                      "See the proxies' logs in " + plan_.folder.string() + ".");
  }
  return core::outcome::success();
}

}  // namespace pipitpond::fleet
