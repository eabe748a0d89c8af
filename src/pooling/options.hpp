// Settings of a pooling daemon.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "agent/agent.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "pooling/caller_access.hpp"
#include "settings/section.hpp"

namespace pipitpond::pooling {

/// What one process is told.
struct PoolingOptions {
  core::DaemonId id;
  core::ZoneName zone;
  core::Endpoint callers;                     ///< Listens there for callers.
  core::Endpoint admin;                       ///< Readiness and metrics.
  core::Endpoint internal;                    ///< Where other daemons reach this one.
  std::vector<core::Endpoint> control_seeds;  ///< HTTP addresses of some control machines.
  std::uint16_t control_internal_port = 0;    ///< All of them use it for daemons.
  std::string data_folder;                    ///< Empty: this machine has no disk.
  std::string ready_path = "/readyz";
  core::Duration stop_grace = std::chrono::seconds(6);  ///< A planned stop takes no longer.
  AccessOptions access;

  [[nodiscard]] agent::AgentOptions agent_options() const;
};

/// Declares the settings.
class PoolingSettings {
 public:
  PoolingSettings();

  settings::Section& section() { return section_; }
  /// The options, once the settings are assigned.
  [[nodiscard]] PoolingOptions options() const;

 private:
  [[nodiscard]] std::optional<settings::Problem> check() const;

  settings::Section section_;
  PoolingOptions options_;
  std::string id_;
  std::string zone_;
  core::Duration revocation_{};  ///< Zero: not told.
  std::uint32_t quota_excess_percent_ = 10;
  std::string quota_excess_;  ///< Empty: the percentage holds.
};

}  // namespace pipitpond::pooling
