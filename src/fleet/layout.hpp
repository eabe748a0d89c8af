// A fleet's processes with their ports, settings and links, made from a plan.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "experiment/fleet_file.hpp"
#include "fleet/plan.hpp"

namespace pipitpond::fleet {

/// One process to start.
struct ProcessLayout {
  experiment::FleetProcess description;  ///< Its pid stays 0.
  std::string program;
  std::string settings;                            ///< Text of its TOML file.
  std::vector<std::string> first_start_arguments;  ///< For its first start only, before --config.
};

/// A database as operators declare it.
struct DatabaseLayout {
  std::string name;
  core::GroupName group;
  core::ZoneName zone;
  core::Endpoint endpoint;  ///< Where daemons and control reach it: a link, if there are fault proxies.
  std::uint32_t connection_limit = 0;
  std::uint32_t slots = 0;
};

/// Everything that is to be started, in this order.
struct Layout {
  core::Endpoint admin;  ///< Free for the runner's own interface.
  std::vector<ProcessLayout> processes;
  std::vector<experiment::FleetLink> links;
  std::vector<DatabaseLayout> databases;
};

/// Chooses free ports and writes out every process's settings.
Layout lay_out(const FleetPlan& plan);

}  // namespace pipitpond::fleet
