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

/// Settings of one process.
struct PoolingOptions {
  core::DaemonId id;
  core::ZoneName zone;
  core::Endpoint callers;                     ///< Listen address for callers.
  core::Endpoint admin;                       ///< Listen address for readiness and metrics.
  core::Endpoint internal;                    ///< Listen address for other daemons.
  std::vector<core::Endpoint> control_seeds;  ///< HTTP addresses of some control machines.
  std::uint16_t control_internal_port = 0;    ///< Port for daemons, the same on all of them.
  std::string data_folder;                    ///< Empty: nothing is kept on disk.
  std::string ready_path = "/readyz";
  core::Duration stop_grace = std::chrono::seconds(6);  ///< Longest duration of a planned stop.
  AccessOptions access;

  [[nodiscard]] agent::AgentOptions agent_options() const;
};

/// Declares, checks and reads the settings.
class PoolingSettings {
 public:
  PoolingSettings();

  settings::Section& section() { return section_; }
  /// Valid once the settings have been loaded.
  [[nodiscard]] PoolingOptions options() const;

 private:
  [[nodiscard]] std::optional<settings::Problem> check() const;

  settings::Section section_;
  PoolingOptions options_;
  std::string id_;
  std::string zone_;
  core::Duration revocation_{};  ///< Zero: not set.
  std::uint32_t quota_excess_percent_ = 10;
  std::string quota_excess_;  ///< Decimal fraction; empty: the percentage applies.
};

}  // namespace pipitpond::pooling
