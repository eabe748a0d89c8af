#include "options.hpp"

#include <nlohmann/json.hpp>
#include <optional>

#include "experiment/schedule.hpp"
#include "runtime/program.hpp"
#include "settings/section.hpp"

namespace pipitpond::load {
namespace {

std::optional<settings::Problem> assign_faults(const std::vector<std::string>& names,
                                               std::vector<oracle::FaultKind>& kinds) {
  kinds.clear();
  if (names == std::vector<std::string>{"all"}) {
    kinds = experiment::all_fault_kinds();
    return std::nullopt;
  }
  if (names == std::vector<std::string>{"none"}) {
    return std::nullopt;
  }
  for (const std::string& name : names) {
    const auto kind = nlohmann::json(name).get<oracle::FaultKind>();
    if (nlohmann::json(kind) != name) {
      return settings::Problem{"", "faults", name + " is not known",
                               "Use all, none, or kinds such as kill_primary; see --help."};
    }
    kinds.push_back(kind);
  }
  return std::nullopt;
}

constexpr const char* kPrimaryOnly = "primary-only";
constexpr const char* kFixedPinning = "fixed-pinning";

workload::Variant variant_of(const std::string& name) {
  if (name == kPrimaryOnly) {
    return workload::Variant::kPrimaryOnly;
  }
  return name == kFixedPinning ? workload::Variant::kFixedPinning : workload::Variant::kSession;
}

std::optional<settings::Problem> check_workloads(const std::vector<std::string>& workloads) {
  for (const std::string& workload : workloads) {
    if (workload != "archive" && workload != "kigali") {
      return settings::Problem{"", "workloads", workload + " is not known", "Use archive, kigali or both."};
    }
  }
  if (workloads.empty()) {
    return settings::Problem{"", "workloads", "names none", "Use archive, kigali or both."};
  }
  return std::nullopt;
}

void declare(settings::Section& section, Options& options, std::vector<std::string>& fault_names) {
  constexpr std::int64_t kLongestSeconds = 7L * 24 * 3600;
  section.text("fleet", options.fleet, "fleet.json of pipitpond-fleet");
  section.integer("seed", options.seed, {}, "of callers and faults");
  section.integer("seconds", options.seconds, {1, kLongestSeconds}, "length of the run");
  section.text("out", options.out, "folder for report.json, report.md, details.json and plots");
  section.texts("workloads", options.workloads, "archive, kigali or both");
  section.texts("faults", fault_names,
                "all, none, or some of kill_primary, freeze_primary, cut_primary, cut_primary_one_way, "
                "raise_lag, restart_replica, kill_proxy, freeze_proxy, restart_proxy, drain_proxy, "
                "drain_database, race_operators, kill_control_leader, freeze_control");
  section.choice("variant", options.variant_name, {"session", kPrimaryOnly, kFixedPinning, kNoFailover},
                 "session is the product, the others are baselines");
  section.text("baseline", options.baseline, "report.json of an earlier run to compare with");
  section.text("commit", options.commit, "commit that was built, for the report");
  section.boolean("keep-history", options.keep_history,
                  "also write each request to OUT/history-WORKLOAD.jsonl");
  section.check([&options, &fault_names]() -> std::optional<settings::Problem> {
    if (auto problem = assign_faults(fault_names, options.faults)) {
      return problem;
    }
    return check_workloads(options.workloads);
  });
}

}  // namespace

std::optional<int> read_options(int count, char** values, Options& options) {
  std::vector<std::string> fault_names = {"all"};
  settings::Section section;
  declare(section, options, fault_names);
  if (const auto exit_code = runtime::load_settings(
          count, values,
          {"pipitpond-load", "Runs the workloads on a fleet, injects faults, judges the result."}, section)) {
    return exit_code;
  }
  options.variant = variant_of(options.variant_name);
  return std::nullopt;
}

}  // namespace pipitpond::load
