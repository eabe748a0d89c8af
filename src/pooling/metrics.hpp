// Counters and statement latencies of a pooling daemon.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "metrics/metrics.hpp"
#include "pooling/statement.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::pooling {

/// Counts since the start.
struct PoolingCounters {
  std::uint64_t statements = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t reads_at_replicas = 0;
  std::uint64_t reads_at_primaries = 0;
  std::uint64_t retried = 0;
  std::uint64_t given_up = 0;
  std::uint64_t writes_unconfirmed = 0;  ///< Acknowledged by a database, and answered as unsure.
  std::uint64_t transactions_ended_idle = 0;
  std::array<std::uint64_t, kFailureCodes> failures{};  ///< By FailureCode.
};

/// Latency histograms of callers' statements, by route kind and outcome.
class StatementTimes {
 public:
  StatementTimes();

  void observe(protocol::RouteKind kind, bool succeeded, core::Duration elapsed);
  /// The histograms in the Prometheus text format.
  [[nodiscard]] std::string text() const { return registry_.text(); }

 private:
  static constexpr std::size_t kKinds = 3;

  metrics::Registry registry_;
  std::vector<metrics::Histogram> histograms_;  ///< Ordered by kind; for each, failures before successes.
};

}  // namespace pipitpond::pooling
