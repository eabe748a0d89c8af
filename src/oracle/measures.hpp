// Figures of a run: latencies, share of reads at replicas, write gaps around faults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "oracle/fault_record.hpp"
#include "workload/history.hpp"

namespace pipitpond::oracle {

/// Value at the quantile (0 to 1) by the nearest-rank method; 0 without samples.
double quantile(std::vector<double> samples, double quantile);

/// Median and 99th percentile, in milliseconds.
struct Latency {
  double p50 = 0;
  double p99 = 0;
};

/// Time during which writes of a group could not land after its primary was taken away.
struct WriteGap {
  FaultRecord fault;
  double gap_ms = 0;
  bool ended = false;  ///< False when no write landed any more before the run's end.
};

/// Figures of one workload.
struct Measures {
  std::uint64_t requests = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t reads_done = 0;
  std::uint64_t writes_done = 0;
  double replica_read_share = 0;  ///< Of the reads that were done, 0 to 1.
  Latency read_latency;           ///< Of the reads that were done.
  Latency write_latency;          ///< Of single writes and commits that were done.
  std::vector<WriteGap> gaps;     ///< One for each fault that took a primary.
};

/// Works out the figures.
Measures measure(const workload::History& history, const std::vector<FaultRecord>& faults);

/// Latencies of the done reads or writes, in milliseconds.
std::vector<double> latencies_ms(const workload::History& history, bool writes);

/// The gap that a fault made: from the first write attempt that could not land to the next write that did.
/// An attempt that began while others still landed counts from the last one that landed.
WriteGap write_gap(const workload::History& history, const FaultRecord& fault);

}  // namespace pipitpond::oracle
