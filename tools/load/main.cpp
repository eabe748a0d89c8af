// Load and experiment tool; see docs/MEASUREMENTS.md. Exit codes: 0 every promise held, 1 a promise was
// broken or the experiment itself failed, 2 wrong use, 3 no usable fleet.
#include <iostream>

#include "experiment/fleet_file.hpp"
#include "options.hpp"
#include "run.hpp"

namespace {

constexpr int kBroken = 1;
constexpr int kNoFleet = 3;

int fail(const pipitpond::core::Error& error, int code) {
  std::cerr << "pipitpond-load: " << error.message << "\n  remedy: " << error.remedy << "\n";
  return code;
}

}  // namespace

int main(int count, char** values) {
  using namespace pipitpond;
  load::Options options;
  if (const auto exit_code = load::read_options(count, values, options)) {
    return *exit_code;
  }
  const auto fleet = experiment::read_fleet(options.fleet);
  if (!fleet) {
    return fail(fleet.error(), kNoFleet);
  }
  const auto report = load::run(options, fleet.value());
  if (!report) {
    return fail(report.error(), kNoFleet);
  }
  std::cout << to_markdown(report.value(), nullptr);
  const bool held = all_promises_held(report.value()) && report.value().harness_failures.empty();
  return held ? 0 : kBroken;
}
