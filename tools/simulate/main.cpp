// Seeded simulator of the fleet's decision logic.
#include <fmt/format.h>

#include <cstdio>
#include <string>
#include <vector>

#include "options.hpp"
#include "runner.hpp"
#include "worlds.hpp"

namespace pipitpond::simulate {
namespace {

constexpr int kSomeFailed = 1;
constexpr int kWrongUsage = 2;

void print(const simulation::World& world, const Options& options, const Results& results) {
  for (const auto& failed : results.failed) {
    fmt::print("{} seed {}: {}\n", world.name(), failed.seed, failed.violation);
  }
  if (!results.failed.empty()) {
    const auto seed = results.failed.front().seed;
    const auto path = write_trace(world, options, seed);
    fmt::print("first failing seed: {} (world {}), trace: {}\n", seed, world.name(),
               path.empty() ? "could not be written" : path);
  }
  if (!options.counts) return;
  for (const auto& [name, count] : results.counts) fmt::print("{} {}: {}\n", world.name(), name, count);
}

int run(const Options& options) {
  const auto worlds = worlds_named(options.world);
  if (worlds.empty()) {
    fmt::print(stderr, "There is no world {}.\n{}", options.world, kUsage);
    return kWrongUsage;
  }
  std::uint64_t passed = 0;
  std::uint64_t failed = 0;
  for (const auto* world : worlds) {
    const auto results = run_seeds(*world, options);
    print(*world, options, results);
    passed += results.passed;
    failed += results.failed.size();
  }
  fmt::print("{} passed, {} failed\n", passed, failed);
  return failed == 0 ? 0 : kSomeFailed;
}

}  // namespace
}  // namespace pipitpond::simulate

int main(int count, char** arguments) {
  using namespace pipitpond::simulate;
  const auto options = parse_options({arguments + 1, arguments + count});
  if (!options) {
    fmt::print(stderr, "{}\n{}", pipitpond::core::describe(options.error()), kUsage);
    return kWrongUsage;
  }
  if (options.value().help) {
    fmt::print("{}", kUsage);
    return 0;
  }
  if (options.value().version) {
    fmt::print("pipitpond-simulate {}\n", PIPITPOND_VERSION);
    return 0;
  }
  return run(options.value());
}
