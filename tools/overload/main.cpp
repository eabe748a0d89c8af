// pipitpond-overload: drives a whole fleet on loopback beyond its capacity and prints what came of it as
// JSON. Exit codes: 0 the experiment ran, 1 it did not, 2 wrong settings. It judges nothing: see
// docs/operators/overload.md.
#include <stdlib.h>

#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "runtime/program.hpp"
#include "scenarios.hpp"

namespace pipitpond::overload {
namespace {

struct Options {
  std::string scenario = "capacity";
  std::string folder;
  std::string binaries;
  std::string commit;
  Settings settings;
};

void declare(settings::Section& section, Options& options) {
  section.choice("scenario", options.scenario, {"capacity", "tenants", "group-killed", "group-frozen"},
                 "what to run");
  section.text("folder", options.folder, "folder for the fleet's settings, data and logs").required();
  section.text("binaries", options.binaries, "folder of the programs; empty: beside this one");
  section.text("commit", options.commit, "named in the report");
  section.integer("proxies", options.settings.proxies, {3, 24}, "proxies, a multiple of 3");
  section.integer("slots", options.settings.slots, {1, 100}, "slots of each database");
  section.duration("work_ms", options.settings.work, {1, 1000}, "time of a statement in its slot");
  section.duration("phase_ms", options.settings.phase, {2000, 60'000}, "length of each phase");
  section.integer("deadline_ms", options.settings.deadline_ms, {50, 60'000}, "deadline of each request");
  section.integer("rounds", options.settings.rounds, {1, 20}, "rounds of alternating phases (tenants)");
  section.integer("tenant_percent", options.settings.tenant_percent, {1, 100},
                  "load of the tenant that is within its share, of that share (tenants)");
  section.integer("seed", options.settings.seed, {1, 1'000'000'000}, "of the arrivals");
}

core::Result<nlohmann::json> run(const Options& options) {
  Settings settings = options.settings;
  settings.folder = std::filesystem::absolute(options.folder);
  settings.binaries = options.binaries.empty() ? std::filesystem::read_symlink("/proc/self/exe").parent_path()
                                               : std::filesystem::path(options.binaries);
  if (options.scenario == "capacity") {
    return run_capacity(settings);
  }
  if (options.scenario == "tenants") {
    return run_tenants(settings);
  }
  return run_group_down(settings, options.scenario == "group-killed" ? Loss::kKilled : Loss::kFrozen);
}

std::string command_of(int argc, char** argv) {
  std::string command = "pipitpond-overload";
  for (int place = 1; place < argc; ++place) {
    command += std::string(" ") + argv[place];
  }
  return command;
}

/// Runnable processes of the machine, on average of the last minute.
double machine_load() {
  double load = 0;
  return ::getloadavg(&load, 1) == 1 ? load : -1;
}

}  // namespace
}  // namespace pipitpond::overload

int main(int argc, char** argv) {
  namespace program = pipitpond::overload;
  program::Options options;
  pipitpond::settings::Section section;
  program::declare(section, options);
  if (const auto exit_code = pipitpond::runtime::load_settings(
          argc, argv, {"pipitpond-overload", "Drives a fleet beyond its capacity."}, section)) {
    return *exit_code;
  }
  const double load_before = program::machine_load();
  auto report = program::run(options);
  if (!report) {
    std::cerr << "pipitpond-overload: " << pipitpond::core::describe(report.error()) << "\n";
    return 1;
  }
  nlohmann::json text = std::move(report).value();
  text["scenario"] = options.scenario;
  text["command"] = program::command_of(argc, argv);
  text["commit"] = options.commit;
  text["machine_load"] = {{"before", load_before}, {"after", program::machine_load()}};
  std::cout << text.dump(2) << "\n";
  return 0;
}
