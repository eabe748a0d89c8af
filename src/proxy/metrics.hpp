// Prometheus metrics of the proxy daemon.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "agent/agent.hpp"
#include "core/ids.hpp"
#include "proxy/owned_databases.hpp"
#include "proxy/request_metrics.hpp"

namespace pipitpond::proxy {

/// What the daemon is doing now.
struct DaemonState {
  std::size_t requests_in_progress = 0;
  std::size_t open_transactions = 0;
  std::size_t caller_connections = 0;
  std::size_t silent_peers = 0;
  bool draining = false;
  std::map<core::PolicyName, std::uint64_t> policy_failures;
};

/// Body of GET /metrics.
std::string render_metrics(const RequestMetrics& requests, const DaemonState& state,
                           const agent::Agent& agent, const OwnedDatabases& databases);

}  // namespace pipitpond::proxy
