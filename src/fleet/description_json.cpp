// The description of a running fleet as the load and experiment tools read it.
#include "fleet/fleet.hpp"

namespace pipitpond::fleet {

nlohmann::json to_json(const experiment::Fleet& fleet) {
  nlohmann::json deployments = nlohmann::json::array();
  for (const experiment::FleetDeployment& deployment : fleet.deployments) {
    deployments.push_back({{"name", deployment.name},
                           {"client_delay_ms", deployment.client_delay_ms},
                           {"zones", deployment.zones},
                           {"groups", deployment.groups}});
  }
  nlohmann::json processes = nlohmann::json::array();
  for (const experiment::FleetProcess& process : fleet.processes) {
    processes.push_back({{"name", process.name},
                         {"kind", process.kind},
                         {"pid", process.pid},
                         {"deployment", process.deployment},
                         {"zone", process.zone},
                         {"group", process.group},
                         {"endpoint", process.endpoint}});
  }
  nlohmann::json links = nlohmann::json::array();
  for (const experiment::FleetLink& link : fleet.links) {
    links.push_back(
        {{"name", link.name}, {"target", link.target}, {"side", link.side}, {"admin", link.admin}});
  }
  return {{"admin", fleet.admin}, {"deployments", deployments}, {"processes", processes}, {"links", links}};
}

}  // namespace pipitpond::fleet
