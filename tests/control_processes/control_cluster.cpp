#include "control_processes/control_cluster.hpp"

#include <stdexcept>

#include "process/child.hpp"
#include "process/ports.hpp"

namespace pipitpond::testing {
namespace {

constexpr std::chrono::seconds kExitTimeout(30);
constexpr const char* kFaultProxy = "control-faults";

fleet::FleetPlan control_plan(Links links, const fleet::RaftTimes& times) {
  fleet::FleetPlan plan;
  plan.control_replicas = ControlCluster::kMachines;
  plan.control_mesh_links = links == Links::kMesh;
  plan.raft = times;
  return plan;
}

std::string machine_of(const std::string& id) {
  return id.substr(0, id.find('#'));
}

}  // namespace

ControlCluster::ControlCluster(Links links, const fleet::RaftTimes& times)
    : fleet_(start_fleet(control_plan(links, times), folder_)) {
  wait_for_leader();
}

std::string ControlCluster::name(std::size_t machine) {
  return "control-" + std::to_string(machine + 1);
}

std::vector<std::size_t> ControlCluster::other_machines(std::size_t machine) {
  return {(machine + 1) % kMachines, (machine + 2) % kMachines};
}

core::Endpoint ControlCluster::operator_endpoint(std::size_t machine) const {
  return fleet_->endpoint(name(machine));
}

std::vector<core::Endpoint> ControlCluster::all_operator_endpoints() const {
  return fleet_->control_endpoints();
}

std::filesystem::path ControlCluster::data_folder(std::size_t machine) const {
  return fleet_->data_folder(name(machine));
}

void ControlCluster::start(std::size_t machine) {
  must(fleet_->start_process(name(machine)));
}

ProcessResult ControlCluster::run_until_exit(std::size_t machine) {
  const auto log = folder() / (name(machine) + ".log");
  const auto written_before = read_file(log).size();
  start(machine);
  const auto ended = [&] {
    const auto fleet = fleet_->describe();
    return fleet.find(name(machine))->pid == 0;
  };
  if (!wait_for(ended)) {
    throw std::runtime_error(name(machine) + " did not exit by itself in time.");
  }
  const int exit_code = must(fleet_->stop(name(machine)));
  return {exit_code, read_file(log).substr(written_before)};
}

void ControlCluster::kill(std::size_t machine) {
  must(fleet_->kill(name(machine)));
}

void ControlCluster::freeze(std::size_t machine) {
  must(fleet_->freeze(name(machine)));
}

void ControlCluster::thaw(std::size_t machine) {
  must(fleet_->thaw(name(machine)));
}

int ControlCluster::stop(std::size_t machine) {
  return must(fleet_->stop(name(machine)));
}

void ControlCluster::wipe(std::size_t machine) {
  must(fleet_->wipe(name(machine)));
}

void ControlCluster::partition(std::size_t machine) {
  must(fleet_->set_links_around(name(machine), fleet::LinkMode::kCut));
}

void ControlCluster::reconnect(std::size_t machine) {
  must(fleet_->set_links_around(name(machine), fleet::LinkMode::kPass));
}

core::Endpoint ControlCluster::link_without_replies(std::size_t machine) {
  core::Endpoint listen{"127.0.0.1", process::free_ports("127.0.0.1", 1).front()};
  const std::string link = name(machine) + ".operators";
  const nlohmann::json made = {{"name", link}, {"listen", listen}, {"target", operator_endpoint(machine)}};
  const nlohmann::json fault = {{"link", link}, {"fault", "drop"}, {"direction", "from_target"}};
  const bool ready = must(fleet_->call(kFaultProxy, "POST", "/v1/links", made)).accepted() &&
                     must(fleet_->call(kFaultProxy, "POST", "/v1/faults", fault)).accepted();
  if (!ready) {
    throw std::runtime_error("The fault proxy refused link " + link + ".");
  }
  return listen;
}

std::uint64_t ControlCluster::metric(std::size_t machine, const std::string& name) const {
  const auto reply = call(operator_endpoint(machine), "GET", "/metrics");
  const std::string line = "\npipitpond_control_" + name + " ";
  const auto found = reply ? reply->text.find(line) : std::string::npos;
  if (found == std::string::npos) {
    throw std::runtime_error(this->name(machine) + " serves no metric " + name + ".");
  }
  return std::stoull(reply->text.substr(found + line.size()));
}

std::optional<nlohmann::json> ControlCluster::status(std::size_t machine) {
  const auto reply = call(operator_endpoint(machine), "GET", "/v1/status");
  if (!accepted(reply)) {
    return std::nullopt;
  }
  return reply->body;
}

std::size_t ControlCluster::wait_for_leader(const std::vector<std::size_t>& machines) {
  std::optional<std::size_t> leader;
  const auto found = [&] {
    for (const std::size_t asked : machines) {
      const auto answer = status(asked);
      for (const std::size_t machine : machines) {
        if (answer && machine_of(answer->at("leader")) == name(machine)) {
          leader = machine;
          return true;
        }
      }
    }
    return false;
  };
  if (!wait_for(found)) {
    throw std::runtime_error("No control leader was elected in time.");
  }
  return *leader;
}

std::optional<experiment::JsonReply> ControlCluster::put_zone(std::size_t machine, const std::string& zone,
                                                              std::uint64_t revision, const std::string& key,
                                                              const std::string& region) {
  const nlohmann::json body = {{"revision", revision}, {"key", key}, {"spec", {{"region", region}}}};
  return call(operator_endpoint(machine), "PUT", "/v1/zones/" + zone, body);
}

std::string ControlCluster::region(std::size_t machine, const std::string& zone) {
  const auto reply = call(operator_endpoint(machine), "GET", "/v1/zones/" + zone);
  return accepted(reply) ? reply->body.at("spec").at("region").get<std::string>() : "";
}

ProcessResult ControlCluster::pipitctl(const std::vector<core::Endpoint>& control,
                                       const std::vector<std::string>& arguments) {
  process::ChildOptions options{binaries() / "pipitctl", {}, folder() / "pipitctl.log"};
  for (const core::Endpoint& endpoint : control) {
    options.arguments.insert(options.arguments.end(), {"--control", core::to_string(endpoint)});
  }
  options.arguments.insert(options.arguments.end(), arguments.begin(), arguments.end());
  std::filesystem::remove(options.output);
  const auto child = must(process::Child::start(options));
  const auto exit_code = child->wait(kExitTimeout);
  return {exit_code.value_or(-1), read_file(options.output)};
}

bool accepted(const std::optional<experiment::JsonReply>& reply) {
  return reply && reply->accepted();
}

std::uint64_t revision_of(const std::optional<experiment::JsonReply>& reply) {
  return accepted(reply) ? reply->body.at("revision").get<std::uint64_t>() : 0;
}

}  // namespace pipitpond::testing
