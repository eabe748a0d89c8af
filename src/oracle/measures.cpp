#include "oracle/measures.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pipitpond::oracle {
namespace {

using workload::Ending;
using workload::History;
using workload::Operation;
using workload::RequestRecord;
using workload::UnixMicros;

constexpr double kMicrosPerMilli = 1000;
constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;
constexpr UnixMicros kNever = std::numeric_limits<UnixMicros>::max();
// A fault takes effect, and its gap has begun, at most this long after it was injected.
constexpr UnixMicros kGapBeginsWithin = 10'000'000;

double millis(UnixMicros micros) {
  return static_cast<double>(micros) / kMicrosPerMilli;
}

Latency latency_of(const std::vector<double>& samples) {
  return {quantile(samples, kMedian), quantile(samples, kNinetyNinth)};
}

// Any request that a write needs: in a transaction also its opening and its statements.
bool attempts_write(const RequestRecord& record) {
  return is_write(record) || record.operation == Operation::kBegin ||
         record.operation == Operation::kStatement;
}

/// Times at which writes of the group landed, in order.
std::vector<UnixMicros> landings(const History& history, const core::GroupName& group) {
  std::vector<UnixMicros> times;
  for (const RequestRecord& record : history.requests) {
    if (is_write(record) && record.group == group && record.ending == Ending::kDone && !record.replayed) {
      times.push_back(record.ended_us);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

/// Earliest moment in (from, until) at which a write attempt was under way that did not land by `until`.
UnixMicros first_hindered(const History& history, const core::GroupName& group, UnixMicros from,
                          UnixMicros until) {
  UnixMicros first = kNever;
  for (const RequestRecord& record : history.requests) {
    const bool landed_before = record.ending == Ending::kDone && record.ended_us < until;
    if (!attempts_write(record) || record.group != group || landed_before) {
      continue;
    }
    const bool overlaps = record.ended_us > from && record.began_us < until;
    if (overlaps) {
      first = std::min(first, std::max(record.began_us, from));
    }
  }
  return first;
}

}  // namespace

double quantile(std::vector<double> samples, double quantile) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const double rank = std::ceil(quantile * static_cast<double>(samples.size()));
  const auto position = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return samples[std::min(position, samples.size() - 1)];
}

std::vector<double> latencies_ms(const History& history, bool writes) {
  std::vector<double> samples;
  for (const RequestRecord& record : history.requests) {
    const bool wanted = writes ? is_write(record) : record.operation == Operation::kRead;
    if (wanted && record.ending == Ending::kDone) {
      samples.push_back(millis(record.ended_us - record.began_us));
    }
  }
  return samples;
}

WriteGap write_gap(const History& history, const FaultRecord& fault) {
  WriteGap worst{fault, 0, true};
  const std::vector<UnixMicros> times = landings(history, fault.group);
  UnixMicros previous = times.empty() ? fault.began_us : std::min(times.front(), fault.began_us);
  std::vector<UnixMicros> ends = times;
  ends.push_back(kNever);
  for (const UnixMicros landed : ends) {
    const bool touches = landed >= fault.began_us && previous <= fault.began_us + kGapBeginsWithin;
    if (touches) {
      const UnixMicros hindered = first_hindered(history, fault.group, previous, landed);
      const UnixMicros last = history.requests.empty() ? previous : history.requests.back().ended_us;
      const UnixMicros until = landed == kNever ? std::max(last, previous) : landed;
      const double gap = hindered == kNever ? 0 : millis(std::max<UnixMicros>(until - hindered, 0));
      if (gap > worst.gap_ms) {
        worst.gap_ms = gap;
        worst.ended = landed != kNever;
      }
    }
    previous = landed;
  }
  return worst;
}

Measures measure(const History& history, const std::vector<FaultRecord>& faults) {
  Measures measures;
  std::uint64_t replica_reads = 0;
  for (const RequestRecord& record : history.requests) {
    const bool done = record.ending == Ending::kDone;
    ++measures.requests;
    if (record.operation == Operation::kRead) {
      ++measures.reads;
      measures.reads_done += done ? 1 : 0;
      replica_reads += done && record.served_by == "replica" ? 1 : 0;
    }
    if (is_write(record)) {
      ++measures.writes;
      measures.writes_done += done ? 1 : 0;
    }
  }
  if (measures.reads_done > 0) {
    measures.replica_read_share =
        static_cast<double>(replica_reads) / static_cast<double>(measures.reads_done);
  }
  measures.read_latency = latency_of(latencies_ms(history, false));
  measures.write_latency = latency_of(latencies_ms(history, true));
  for (const FaultRecord& fault : faults) {
    if (takes_primary(fault.kind)) {
      measures.gaps.push_back(write_gap(history, fault));
    }
  }
  return measures;
}

}  // namespace pipitpond::oracle
