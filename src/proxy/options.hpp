// Settings of the proxy daemon.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "agent/agent.hpp"
#include "core/endpoint.hpp"
#include "proxy/daemon.hpp"
#include "settings/section.hpp"

namespace pipitpond::proxy {

/// Declares the settings. Read the options once the settings are assigned.
class ProxySettings {
 public:
  ProxySettings();

  /// For settings::load and runtime::run_daemon.
  settings::Section& section() { return section_; }
  /// What the daemon is told.
  [[nodiscard]] DaemonOptions daemon_options() const;
  /// What its agent is told.
  [[nodiscard]] agent::AgentOptions agent_options() const;

 private:
  void declare_node();
  void declare_limits();
  void declare_drain();
  [[nodiscard]] std::optional<settings::Problem> check() const;

  settings::Section section_;
  DaemonOptions options_;
  std::string id_;
  std::string zone_;
  std::string data_folder_;
  core::Endpoint advertised_callers_;
  core::Endpoint advertised_internal_;
  std::vector<core::Endpoint> control_;
};

}  // namespace pipitpond::proxy
