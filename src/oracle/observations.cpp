#include "oracle/observations.hpp"

#include <algorithm>
#include <set>

namespace pipitpond::oracle {
namespace {

constexpr double kMicrosPerMilli = 1000;

/// Moment from which the proxy is expected to follow a change accepted at `accepted_us`.
workload::UnixMicros expected_from(const Observations& observations, const std::string& proxy,
                                   workload::UnixMicros accepted_us) {
  workload::UnixMicros from = accepted_us;
  for (const Absence& absence : observations.absences) {
    const bool covers = absence.began_us <= from && from < absence.ended_us;
    if (absence.proxy == proxy && covers) {
      from = absence.ended_us;
    }
  }
  return from;
}

/// What a counter of refusals rose by, and samples above the limit. A database that restarts counts from
/// zero.
std::uint64_t excess(const Observations& observations, std::uint64_t database::StatusAnswer::*refused,
                     std::uint32_t database::StatusAnswer::*used,
                     std::uint32_t database::StatusAnswer::*limit) {
  std::uint64_t total = 0;
  std::map<core::DatabaseId, std::uint64_t> counters;
  for (const DatabaseSample& sample : observations.databases) {
    const database::StatusAnswer& status = sample.status;
    std::uint64_t& counted = counters[status.database];
    const bool restarted = status.*refused < counted;
    total += restarted ? status.*refused : status.*refused - counted;
    counted = status.*refused;
    total += status.*used > status.*limit ? 1 : 0;
  }
  return total;
}

}  // namespace

std::uint64_t connections_over_limit(const Observations& observations) {
  return excess(observations, &database::StatusAnswer::connections_over_limit,
                &database::StatusAnswer::connections, &database::StatusAnswer::connection_limit);
}

std::uint64_t statements_over_limit(const Observations& observations) {
  return excess(observations, &database::StatusAnswer::statements_over_limit,
                &database::StatusAnswer::slots_in_use, &database::StatusAnswer::slots);
}

ConfigurationSpread configuration_spread(const Observations& observations) {
  ConfigurationSpread spread;
  spread.reverts = observations.control_reverts;
  std::map<std::string, std::vector<RevisionSample>> by_proxy;
  for (const RevisionSample& sample : observations.revisions) {
    std::vector<RevisionSample>& samples = by_proxy[sample.proxy];
    if (!samples.empty() && sample.revision < samples.back().revision) {
      ++spread.reverts;
    }
    samples.push_back(sample);
  }
  for (const AcceptedChange& change : observations.changes) {
    for (const auto& [proxy, samples] : by_proxy) {
      const auto shown = std::find_if(
          samples.begin(), samples.end(),
          [&change](const RevisionSample& sample) { return sample.revision >= change.revision; });
      if (shown == samples.end()) {
        ++spread.never_seen;
        continue;
      }
      const workload::UnixMicros delay = shown->at_us - expected_from(observations, proxy, change.at_us);
      spread.max_delay_ms = std::max(spread.max_delay_ms, static_cast<double>(delay) / kMicrosPerMilli);
    }
  }
  return spread;
}

std::vector<LagPoint> replica_lag(const Observations& observations) {
  std::vector<LagPoint> points;
  std::map<core::GroupName, std::uint64_t> committed;
  for (const DatabaseSample& sample : observations.databases) {
    std::uint64_t& newest = committed[sample.status.group];
    newest = std::max(newest, sample.status.committed.index);
    if (sample.status.role != database::Role::kPrimary) {
      const std::uint64_t applied = std::min(newest, sample.status.applied.index);
      points.push_back({sample.at_us, sample.status.database, newest - applied});
    }
  }
  return points;
}

}  // namespace pipitpond::oracle
