// What a fleet on loopback consists of: deployments with their zones, groups and delays, and how many of each
// process. A plan holds no ports; those are chosen when the fleet is laid out.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::fleet {

/// A routing policy that is submitted with a deployment.
struct PolicyPlan {
  core::PolicyName name;
  std::string source;
};

/// One deployment: its places, its groups and what their databases bear.
struct DeploymentPlan {
  std::string name;
  core::RegionName region;
  std::vector<core::ZoneName> zones;
  std::vector<core::GroupName> groups;
  std::uint32_t databases_per_group = 3;
  std::uint32_t proxies_per_zone = 1;
  std::uint32_t slots = 4;              ///< Per database.
  std::uint32_t connection_limit = 64;  ///< Per database.
  core::Duration connection_cost{0};    ///< How long a new database connection takes.
  core::Duration zone_delay{0};         ///< One way, between a database and everything that calls it.
  core::Duration client_delay{0};       ///< One way; the callers add it themselves.
  PolicyPlan policy;                    ///< Without a name: the built-in policy.
};

/// Raft's times of the control replicas.
struct RaftTimes {
  core::Duration heartbeat = protocol::kRaftHeartbeatInterval;
  core::Duration election_min = protocol::kRaftElectionTimeoutMin;
  core::Duration election_max = protocol::kRaftElectionTimeoutMax;
};

/// A whole fleet.
struct FleetPlan {
  std::filesystem::path binaries;  ///< Folder of the programs.
  std::filesystem::path folder;    ///< Settings, data and logs of all processes. Made when missing.
  std::vector<DeploymentPlan> deployments;
  std::uint32_t control_replicas = 3;
  /// With fault proxies before databases and control; without them there are no links and no delays.
  bool fault_proxies = true;
  /// Each control replica reaches each other one over a link "TARGET.SOURCE" of its own, so that one replica
  /// can be cut off from all others.
  bool control_mesh_links = false;
  RaftTimes raft;
  core::Duration platform_lag = std::chrono::seconds(2);
  core::Duration database_work = std::chrono::milliseconds(2);  ///< How long a statement keeps its slot.
  core::Duration database_apply_lag = std::chrono::milliseconds(5);
  bool database_sync = false;  ///< Sync the stand-in databases' logs. Control always syncs.
  std::uint64_t seed = 1;      ///< Of the fault proxies' and the databases' random draws.
};

/// Today's archive: three halls and up to three groups.
DeploymentPlan archive_plan(std::uint32_t groups);
/// Today's Kigali bird count: four zones and up to three groups.
DeploymentPlan kigali_plan(std::uint32_t groups);
/// A small deployment without delays, for tests: three zones, one group of three databases.
DeploymentPlan small_plan();

}  // namespace pipitpond::fleet
