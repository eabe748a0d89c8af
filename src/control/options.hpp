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

/// Parses "name=internal/operators", such as "c1=10.0.0.1:7100/10.0.0.1:7101". Returns nothing if malformed.
std::optional<Peer> parse_peer(const std::string& text);

/// Options of one control process.
struct ControlOptions {
  std::string name;  ///< node.id: this machine's name.
  std::string cluster = "pipitpond";
  std::string data_folder;
  core::Endpoint internal;   ///< Address to listen on for daemons and other control replicas.
  core::Endpoint operators;  ///< Address to listen on for operators.
  /// All control machines, or with `open_membership` some that exist at the first start, with the addresses
  /// at which others reach them.
  std::vector<Peer> peers;
  /// Machines that are not in `peers` join without an operator, and silent members are removed.
  bool open_membership = false;
  /// Number of control disks that may be lost at the same time.
  std::uint32_t tolerated_losses = 1;
  /// Bootstrap a new cluster if the data folder is empty and no peer reports an existing one. Otherwise a
  /// replica with an empty data folder joins.
  bool bootstrap = false;
  std::optional<core::Endpoint> platform;
  core::Duration platform_interval = std::chrono::seconds(1);
  core::Duration heartbeat_interval = protocol::kRaftHeartbeatInterval;
  core::Duration election_timeout_min = protocol::kRaftElectionTimeoutMin;
  core::Duration election_timeout_max = protocol::kRaftElectionTimeoutMax;
  DatabaseCallTimeouts database_calls;
  core::Duration daemon_lease = protocol::kDaemonLease;

  /// This machine's entry in `peers`, or else the addresses it listens on.
  [[nodiscard]] Peer self() const;
};

/// Declares the settings and checks them after they are assigned.
class ControlSettings {
 public:
  ControlSettings();

  /// For settings::load and runtime::run_daemon.
  settings::Section& section() { return section_; }
  /// The options; valid after the settings are assigned.
  [[nodiscard]] const ControlOptions& options() const { return options_; }

 private:
  std::optional<settings::Problem> check();

  settings::Section section_;
  ControlOptions options_;
  void apply_seeds();

  std::vector<std::string> peer_texts_;
  std::vector<core::Endpoint> seeds_;
  core::Endpoint platform_;
};

}  // namespace pipitpond::control
