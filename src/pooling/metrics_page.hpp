// The metrics page of a pooling daemon, in the Prometheus text format.
#pragma once

#include <cstddef>
#include <string>

#include "agent/agent.hpp"
#include "pooling/backends.hpp"
#include "pooling/caller_access.hpp"
#include "pooling/metrics.hpp"

namespace pipitpond::pooling {

/// Body of GET /metrics.
std::string metrics_page(const PoolingCounters& counters, const Backends& backends,
                         const CallerAccess& access, const agent::Agent& agent, std::size_t sessions,
                         bool ready);

}  // namespace pipitpond::pooling
