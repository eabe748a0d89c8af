#include "experiment/fleet_file.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace pipitpond::experiment {
namespace {

FleetProcess read_process(const nlohmann::json& json) {
  FleetProcess process;
  process.name = json.at("name").get<std::string>();
  process.kind = json.at("kind").get<std::string>();
  process.pid = json.value("pid", 0);
  process.deployment = json.value("deployment", "");
  process.zone = core::ZoneName(json.value("zone", ""));
  process.group = core::GroupName(json.value("group", ""));
  process.endpoint = json.at("endpoint").get<core::Endpoint>();
  return process;
}

FleetLink read_link(const nlohmann::json& json) {
  FleetLink link;
  link.name = json.at("name").get<std::string>();
  link.target = json.at("target").get<std::string>();
  link.side = json.value("side", "");
  link.admin = json.at("admin").get<core::Endpoint>();
  return link;
}

FleetDeployment read_deployment(const nlohmann::json& json) {
  FleetDeployment deployment;
  deployment.name = json.at("name").get<std::string>();
  deployment.client_delay_ms = json.value("client_delay_ms", 0U);
  deployment.zones = json.at("zones").get<std::vector<core::ZoneName>>();
  deployment.groups = json.at("groups").get<std::vector<core::GroupName>>();
  return deployment;
}

}  // namespace

std::vector<FleetProcess> Fleet::of_kind(const std::string& kind, const std::string& deployment) const {
  std::vector<FleetProcess> found;
  for (const FleetProcess& process : processes) {
    const bool serves = deployment.empty() || process.deployment.empty() || process.deployment == deployment;
    if (process.kind == kind && serves) {
      found.push_back(process);
    }
  }
  return found;
}

std::vector<FleetProcess> Fleet::databases_of(const core::GroupName& group) const {
  std::vector<FleetProcess> found;
  for (const FleetProcess& process : processes) {
    if (process.kind == "database" && process.group == group) {
      found.push_back(process);
    }
  }
  return found;
}

const FleetProcess* Fleet::find(const std::string& name) const {
  const auto found = std::find_if(processes.begin(), processes.end(),
                                  [&name](const FleetProcess& process) { return process.name == name; });
  return found == processes.end() ? nullptr : &*found;
}

core::Result<Fleet> parse_fleet(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    Fleet fleet;
    fleet.admin = json.at("admin").get<core::Endpoint>();
    for (const nlohmann::json& deployment : json.at("deployments")) {
      fleet.deployments.push_back(read_deployment(deployment));
    }
    for (const nlohmann::json& process : json.at("processes")) {
      fleet.processes.push_back(read_process(process));
    }
    for (const nlohmann::json& link : json.value("links", nlohmann::json::array())) {
      fleet.links.push_back(read_link(link));
    }
    return fleet;
  } catch (const nlohmann::json::exception& error) {
    return core::Error{core::ErrorKind::kInvalidArgument,
                       std::string("fleet.json is not valid: ") + error.what(),
                       "Use the file that pipitpond-fleet wrote.", 0};
  }
}

core::Result<Fleet> read_fleet(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return core::Error{core::ErrorKind::kNotFound, path + " can't be read",
                       "Start pipitpond-fleet and name the fleet.json that it wrote.", 0};
  }
  return parse_fleet(text.str());
}

core::Result<workload::Deployment> deployment_in(const Fleet& fleet, const std::string& name) {
  const auto found = std::find_if(fleet.deployments.begin(), fleet.deployments.end(),
                                  [&name](const FleetDeployment& one) { return one.name == name; });
  if (found == fleet.deployments.end()) {
    return core::Error{core::ErrorKind::kNotFound, "The fleet has no deployment " + name,
                       "Start it with this deployment, or leave the workload out.", 0};
  }
  workload::Deployment deployment = name == "archive" ? workload::archive_today() : workload::kigali_today();
  deployment.name = name;
  deployment.zones = found->zones;
  deployment.groups = found->groups;
  deployment.client_delay = std::chrono::milliseconds(found->client_delay_ms);
  for (const FleetProcess& proxy : fleet.of_kind("proxy", name)) {
    deployment.proxies.push_back({proxy.name, proxy.zone, proxy.endpoint});
  }
  if (deployment.proxies.empty() || deployment.groups.empty() || deployment.zones.empty()) {
    return core::Error{core::ErrorKind::kInvalidArgument,
                       "Deployment " + name + " lacks proxies, groups or zones",
                       "Start the fleet with at least one of each.", 0};
  }
  return deployment;
}

}  // namespace pipitpond::experiment
