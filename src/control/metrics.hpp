// Prometheus metrics of the control daemon.
#pragma once

#include <cstdint>
#include <string>

#include "control/daemon_service.hpp"
#include "control/leader_duties.hpp"
#include "control/replica.hpp"
#include "metrics/metrics.hpp"

namespace pipitpond::control {

/// Network and disk traffic since the process started.
struct IoCounters {
  std::uint64_t wire_bytes_received = 0;  ///< Internal protocol, including frame headers.
  std::uint64_t wire_bytes_sent = 0;
  std::uint64_t log_bytes_written = 0;  ///< Raft log frames and snapshots.
};

/// Renders the body of GET /metrics.
std::string render_metrics(const Replica& replica, const LeaderDuties& duties, const DaemonService& daemons,
                           const IoCounters& io);

}  // namespace pipitpond::control
