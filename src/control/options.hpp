// Settings of the control daemon.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/database_calls.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "protocol/tunables.hpp"
#include "settings/section.hpp"

namespace pipitpond::control {

/// One control machine as the settings name it.
struct Peer {
  std::string name;
  core::Endpoint internal;
  core::Endpoint operators;
};

/// "name=internal/operators", such as "c1=10.0.0.1:7100/10.0.0.1:7101".
std::optional<Peer> parse_peer(const std::string& text);

/// What one process is told.
struct ControlOptions {
  std::string name;  ///< node.id: this machine's name.
  std::string cluster = "pipitpond";
  std::string data_folder;
  core::Endpoint internal;   ///< Listens there for daemons and other control replicas.
  core::Endpoint operators;  ///< Listens there for operators.
  /// All control machines, or some of them that are there at the first start, with the addresses at which
  /// others reach them.
  std::vector<Peer> peers;
  /// Machines that `peers` does not name join by themselves; silent ones are removed.
  bool open_membership = false;
  /// Disks that may be lost at once.
  std::uint32_t tolerated_losses = 1;
  /// Founds the cluster when the disk is empty and no peer knows of one. Otherwise an empty disk joins.
  bool bootstrap = false;
  std::optional<core::Endpoint> platform;
  core::Duration platform_interval = std::chrono::seconds(1);
  core::Duration heartbeat_interval = protocol::kRaftHeartbeatInterval;
  core::Duration election_timeout_min = protocol::kRaftElectionTimeoutMin;
  core::Duration election_timeout_max = protocol::kRaftElectionTimeoutMax;
  DatabaseCallTimeouts database_calls;
  core::Duration daemon_lease = protocol::kDaemonLease;

  /// This machine as others reach it: its entry in `peers`, or else where it listens.
  [[nodiscard]] Peer self() const;
};

/// Declares the settings. Call `assign_parsed` once they are assigned.
class ControlSettings {
 public:
  ControlSettings();

  /// For settings::load and runtime::run_daemon.
  settings::Section& section() { return section_; }
  /// The options, once the settings are assigned.
  [[nodiscard]] const ControlOptions& options() const { return options_; }

 private:
  std::optional<settings::Problem> check();

  settings::Section section_;
  ControlOptions options_;
  void take_seeds();

  std::vector<std::string> peer_texts_;
  std::vector<core::Endpoint> seeds_;
  core::Endpoint platform_;
};

}  // namespace pipitpond::control
