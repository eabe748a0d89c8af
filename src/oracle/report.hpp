// The report of a run, in the format that the project's reports share.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "oracle/judge.hpp"
#include "oracle/measures.hpp"
#include "oracle/observations.hpp"

namespace pipitpond::oracle {

/// All that is known of one workload's run.
struct WorkloadReport {
  std::string workload;  ///< "archive" or "kigali".
  Measures measures;
  Verdict verdict;
  std::uint64_t connections_over_limit = 0;
  std::uint64_t statements_over_limit = 0;
  ConfigurationSpread spread;
  std::uint64_t unfair_operator_races = 0;  ///< Races of equal numbers with other than one winner.
  std::vector<FaultRecord> faults;
};

/// A run.
struct Report {
  std::uint64_t seed = 0;
  std::uint64_t seconds = 0;
  std::string commit;
  std::string variant;
  std::vector<WorkloadReport> workloads;
  std::vector<std::string> harness_failures;  ///< Faults that could not be injected, logs not read.
};

/// report.json.
nlohmann::json to_report_json(const Report& report);
/// What report.json has no room for: findings, each gap, each fault, counts of endings.
nlohmann::json to_details_json(const Report& report);
/// report.md. `baseline` is the report.json of an earlier run, or null.
std::string to_markdown(const Report& report, const nlohmann::json& baseline);

/// True when no promise was broken.
bool all_promises_held(const Report& report);

}  // namespace pipitpond::oracle
