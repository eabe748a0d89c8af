// fleet.json, as the fleet runner writes it; see tools/fleet/README.md.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "workload/deployment.hpp"

namespace pipitpond::experiment {

/// A process that the runner started.
struct FleetProcess {
  std::string name;
  std::string kind;        ///< "control", "proxy", "database", "platform" or "faultproxy".
  int pid = 0;             ///< 0: it does not run.
  std::string deployment;  ///< Empty: it serves all deployments.
  core::ZoneName zone;
  core::GroupName group;  ///< Databases only.
  core::Endpoint endpoint;
};

/// A link of a fault proxy.
struct FleetLink {
  std::string name;
  std::string target;  ///< Process that the link leads to.
  std::string side;    ///< Whose traffic passes: "proxies", "peers" or "callers".
  core::Endpoint admin;
};

/// One deployment's zones and groups.
struct FleetDeployment {
  std::string name;
  std::uint32_t client_delay_ms = 0;
  std::vector<core::ZoneName> zones;
  std::vector<core::GroupName> groups;
};

/// The whole file.
struct Fleet {
  core::Endpoint admin;  ///< The runner's interface.
  std::vector<FleetDeployment> deployments;
  std::vector<FleetProcess> processes;
  std::vector<FleetLink> links;

  /// Processes of a kind that serve the deployment; all of the kind when it is empty.
  [[nodiscard]] std::vector<FleetProcess> of_kind(const std::string& kind,
                                                  const std::string& deployment) const;
  /// Databases of a group.
  [[nodiscard]] std::vector<FleetProcess> databases_of(const core::GroupName& group) const;
  /// Null when there is none of that name.
  [[nodiscard]] const FleetProcess* find(const std::string& name) const;
};

/// Reads the file's text. Fails with kInvalidArgument.
core::Result<Fleet> parse_fleet(const std::string& text);
/// Reads the file. Fails with kNotFound or kInvalidArgument.
core::Result<Fleet> read_fleet(const std::string& path);

/// The deployment at today's size, with its proxies and groups in this fleet.
core::Result<workload::Deployment> deployment_in(const Fleet& fleet, const std::string& name);

}  // namespace pipitpond::experiment
