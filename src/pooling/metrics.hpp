// What a pooling daemon counts, and its page of metrics.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "metrics/metrics.hpp"
#include "pooling/statement.hpp"

namespace pipitpond::pooling {

/// Counts since the start.
struct PoolingCounters {
  std::uint64_t statements = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t reads_at_replicas = 0;
  std::uint64_t reads_at_primaries = 0;
  std::uint64_t retried = 0;
  std::uint64_t given_up = 0;
  std::uint64_t transactions_ended_idle = 0;
  std::array<std::uint64_t, 14> failures{};  ///< By FailureCode.
};

}  // namespace pipitpond::pooling
