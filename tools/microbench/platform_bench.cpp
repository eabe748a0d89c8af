// What the platform's list of machines costs the leader each time it is read. Arguments: daemons, databases.
#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>
#include <string>

#include "control/platform_watch.hpp"
#include "target_fleet.hpp"

namespace pipitpond::microbench {
namespace {

constexpr std::uint32_t kControlMachines = 6;

nlohmann::json machine(const std::string& kind, const std::string& name) {
  return {{"name", name}, {"kind", kind}, {"state", "live"}};
}

std::string list_of(const protocol::Configuration& configuration) {
  nlohmann::json machines = nlohmann::json::array();
  for (const auto& [id, daemon] : configuration.daemons) {
    machines.push_back(machine("proxy", id.value()));
  }
  for (const auto& [name, group] : configuration.groups) {
    for (const protocol::Database& database : group.databases) {
      machines.push_back(machine("database", database.id.value()));
    }
  }
  for (std::uint32_t number = 1; number <= kControlMachines; ++number) {
    machines.push_back(machine("control", "control-" + std::to_string(number)));
  }
  return nlohmann::json{{"machines", machines}}.dump();
}

/// One reading in which nothing changed.
void read_platform_list(benchmark::State& state) {
  const protocol::Configuration configuration = make_configuration(
      static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
  const std::string body = list_of(configuration);
  for (auto _ : state) {
    const auto machines = control::parse_machines(body);
    for (const control::Machine& one : machines.value()) {
      benchmark::DoNotOptimize(control::operation_for(configuration, one, false));
    }
  }
  state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(read_platform_list)->Args({60, 90})->Args({940, 1500})->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace pipitpond::microbench
