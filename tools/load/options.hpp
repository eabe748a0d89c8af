// Settings of pipitpond-load.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "oracle/fault_record.hpp"
#include "workload/deployment.hpp"

namespace pipitpond::load {

/// Variant in which control does not replace primaries.
inline constexpr const char* kNoFailover = "no-failover";

/// What to run.
struct Options {
  std::string fleet = "fleet.json";
  std::uint64_t seed = 1;
  std::uint64_t seconds = 60;
  std::string out = "out";
  std::vector<std::string> workloads = {"archive", "kigali"};
  std::vector<oracle::FaultKind> faults;
  workload::Variant variant = workload::Variant::kSession;
  std::string variant_name = "session";
  std::string baseline;  ///< report.json of an earlier run; empty: none.
  std::string commit = "unknown";
  bool keep_history = false;
};

/// Reads the settings file and the flags. Returns an exit code when the program must end at once, see
/// runtime::load_settings.
std::optional<int> read_options(int count, char** values, Options& options);

}  // namespace pipitpond::load
