#include "oracle/report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <sstream>
#include <string_view>

namespace pipitpond::oracle {
namespace {

constexpr double kMedian = 0.5;
// A configuration must be in force on every proxy "within seconds".
constexpr double kMaxConfigurationDelayMs = 5000;
constexpr std::array<std::string_view, 13> kTopLevelFigures = {"requests",
                                                               "reads",
                                                               "writes",
                                                               "replica_read_share",
                                                               "lost_writes",
                                                               "doubled_writes",
                                                               "stale_session_reads",
                                                               "mixed_answers",
                                                               "false_not_run",
                                                               "acknowledged_by_replaced_primary",
                                                               "requests_cut_by_drain",
                                                               "unknown_outcomes",
                                                               "connections_over_limit"};

double rounded(double value, double steps) {
  return std::round(value * steps) / steps;
}

nlohmann::json latency_json(const Latency& latency) {
  constexpr double kHundredths = 100;
  return {{"p50", rounded(latency.p50, kHundredths)}, {"p99", rounded(latency.p99, kHundredths)}};
}

nlohmann::json gaps_json(const std::vector<WriteGap>& gaps) {
  std::vector<double> lengths;
  lengths.reserve(gaps.size());
  for (const WriteGap& gap : gaps) {
    lengths.push_back(gap.gap_ms);
  }
  const double longest = lengths.empty() ? 0 : *std::max_element(lengths.begin(), lengths.end());
  return {{"p50", std::round(quantile(lengths, kMedian))},
          {"max", std::round(longest)},
          {"count", lengths.size()}};
}

bool contains(const std::vector<FaultRecord>& faults, const FaultRecord& wanted) {
  return std::any_of(faults.begin(), faults.end(), [&wanted](const FaultRecord& fault) {
    return fault.kind == wanted.kind && fault.target == wanted.target && fault.began_us == wanted.began_us;
  });
}

nlohmann::json faults_json(const std::vector<FaultRecord>& faults) {
  nlohmann::json counts = nlohmann::json::object();
  for (const FaultRecord& fault : faults) {
    const auto kind = nlohmann::json(fault.kind).get<std::string>();
    counts[kind] = counts.value(kind, 0) + 1;
  }
  return counts;
}

nlohmann::json workload_json(const WorkloadReport& report) {
  constexpr double kTenThousandths = 10'000;
  const Verdict& verdict = report.verdict;
  return {{"requests", report.measures.requests},
          {"reads", report.measures.reads},
          {"writes", report.measures.writes},
          {"replica_read_share", rounded(report.measures.replica_read_share, kTenThousandths)},
          {"failover_gap_ms", gaps_json(report.measures.gaps)},
          {"write_latency_ms", latency_json(report.measures.write_latency)},
          {"read_latency_ms", latency_json(report.measures.read_latency)},
          {"lost_writes", verdict.lost_writes},
          {"doubled_writes", verdict.doubled_writes},
          {"stale_session_reads", verdict.stale_session_reads},
          {"mixed_answers", verdict.mixed_answers},
          {"false_not_run", verdict.false_not_run},
          {"acknowledged_by_replaced_primary", verdict.acknowledged_by_replaced_primary},
          {"requests_cut_by_drain", verdict.requests_cut_by_drain},
          {"unknown_outcomes", verdict.unknown_outcomes},
          {"connections_over_limit", report.connections_over_limit},
          {"config_max_delay_ms", std::round(report.spread.max_delay_ms)},
          {"config_reverts", report.spread.reverts},
          {"faults", faults_json(report.faults)}};
}

nlohmann::json details_of(const WorkloadReport& report) {
  nlohmann::json gaps = nlohmann::json::array();
  for (const WriteGap& gap : report.measures.gaps) {
    gaps.push_back({{"fault", gap.fault}, {"gap_ms", gap.gap_ms}, {"ended", gap.ended}});
  }
  return {{"findings", report.verdict.findings},
          {"unsettled_keys", report.verdict.unsettled_keys},
          {"served_while_leaving", report.verdict.served_while_leaving},
          {"statements_over_limit", report.statements_over_limit},
          {"config_never_seen", report.spread.never_seen},
          {"unfair_operator_races", report.unfair_operator_races},
          {"reads_done", report.measures.reads_done},
          {"writes_done", report.measures.writes_done},
          {"gaps", gaps},
          {"faults", report.faults}};
}

std::string cell_of(const nlohmann::json& value) {
  return value.is_null() ? "-" : value.dump();
}

void write_row(std::ostringstream& out, const std::string& name, const nlohmann::json& now,
               const nlohmann::json& before, bool compare) {
  out << "| " << name << " | " << cell_of(now) << " |";
  if (compare) {
    out << " " << cell_of(before) << " |";
  }
  out << "\n";
}

nlohmann::json at_path(const nlohmann::json& object, const std::string& outer, const std::string& inner) {
  if (!object.is_object() || !object.contains(outer)) {
    return nullptr;
  }
  const nlohmann::json& value = object.at(outer);
  return inner.empty() ? value : value.value(inner, nlohmann::json());
}

void write_workload(std::ostringstream& out, const WorkloadReport& report, const nlohmann::json& baseline) {
  const nlohmann::json now = workload_json(report);
  const nlohmann::json before =
      baseline.is_object() ? baseline.value(report.workload, nlohmann::json()) : nlohmann::json();
  const bool compare = before.is_object();
  out << "\n## " << report.workload << "\n\n| figure | value |" << (compare ? " earlier |" : "")
      << "\n|---|---|" << (compare ? "---|" : "") << "\n";
  for (const std::string_view name : kTopLevelFigures) {
    const std::string figure(name);
    write_row(out, figure, at_path(now, figure, ""), at_path(before, figure, ""), compare);
  }
  const auto nested = [&](const std::string& outer, const std::string& inner) {
    write_row(out, outer + " " + inner, at_path(now, outer, inner), at_path(before, outer, inner), compare);
  };
  for (const char* inner : {"p50", "max", "count"}) {
    nested("failover_gap_ms", inner);
  }
  for (const char* inner : {"p50", "p99"}) {
    nested("write_latency_ms", inner);
    nested("read_latency_ms", inner);
  }
  for (const char* outer : {"config_max_delay_ms", "config_reverts", "faults"}) {
    write_row(out, outer, at_path(now, outer, ""), at_path(before, outer, ""), compare);
  }
  out << "\nChanges that some proxy never showed: " << report.spread.never_seen
      << "; unfair races of operators: " << report.unfair_operator_races
      << "; keys still in doubt at the end: " << report.verdict.unsettled_keys
      << "; statements beyond slots: " << report.statements_over_limit
      << "; requests served by a database that was leaving: " << report.verdict.served_while_leaving << ".\n"
      << "\nWrite gaps around lost primaries:\n\n| fault | group | target | gap ms | ended "
         "|\n|---|---|---|---|---|\n";
  for (const WriteGap& gap : report.measures.gaps) {
    out << "| " << nlohmann::json(gap.fault.kind).get<std::string>() << " | " << gap.fault.group << " | "
        << gap.fault.target << " | " << std::round(gap.gap_ms) << " | " << (gap.ended ? "yes" : "no")
        << " |\n";
  }
  if (!report.verdict.findings.empty()) {
    out << "\nBroken promises:\n\n";
    for (const std::string& finding : report.verdict.findings) {
      out << "- " << finding << "\n";
    }
  }
}

}  // namespace

nlohmann::json to_report_json(const Report& report) {
  nlohmann::json json = {{"seed", report.seed}, {"seconds", report.seconds}, {"commit", report.commit}};
  std::vector<FaultRecord> faults;
  for (const WorkloadReport& workload : report.workloads) {
    json[workload.workload] = workload_json(workload);
    // What hits all deployments at once, such as the loss of a control replica, stands in each of them.
    std::copy_if(workload.faults.begin(), workload.faults.end(), std::back_inserter(faults),
                 [&faults](const FaultRecord& fault) { return !contains(faults, fault); });
  }
  json["faults"] = faults_json(faults);
  return json;
}

nlohmann::json to_details_json(const Report& report) {
  nlohmann::json json = {{"variant", report.variant}, {"harness_failures", report.harness_failures}};
  for (const WorkloadReport& workload : report.workloads) {
    json[workload.workload] = details_of(workload);
  }
  return json;
}

std::string to_markdown(const Report& report, const nlohmann::json& baseline) {
  std::ostringstream out;
  out << "# Measures\n\nSeed " << report.seed << ", " << report.seconds << " s, commit " << report.commit
      << ", variant " << report.variant << ".\n"
      << (all_promises_held(report) ? "Every promise held.\n" : "**Promises were broken, see below.**\n");
  if (baseline.is_object()) {
    out << "\"earlier\" is the report of seed " << baseline.value("seed", 0) << " at commit "
        << baseline.value("commit", "unknown") << ".\n";
  }
  for (const std::string& failure : report.harness_failures) {
    out << "\nThe experiment itself failed at: " << failure << "\n";
  }
  for (const WorkloadReport& workload : report.workloads) {
    write_workload(out, workload, baseline);
  }
  return out.str();
}

bool all_promises_held(const Report& report) {
  return std::all_of(report.workloads.begin(), report.workloads.end(), [](const WorkloadReport& workload) {
    return violations(workload.verdict) == 0 && workload.connections_over_limit == 0 &&
           workload.statements_over_limit == 0 && workload.spread.reverts == 0 &&
           workload.unfair_operator_races == 0 && workload.spread.never_seen == 0 &&
           workload.spread.max_delay_ms <= kMaxConfigurationDelayMs;
  });
}

}  // namespace pipitpond::oracle
