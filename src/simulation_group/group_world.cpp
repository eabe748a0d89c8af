#include "simulation_group/group_world.hpp"

#include <algorithm>

namespace pipitpond::simulation::group {
namespace {

/// First primaries are chosen and connections opened before callers start.
constexpr core::Duration kWarmUp = std::chrono::seconds(2);
constexpr core::Duration kStep = std::chrono::milliseconds(250);
/// What is in progress when callers stop has its last answer after this.
constexpr core::Duration kDrain = std::chrono::seconds(6);
constexpr std::uint64_t kMixture = 0x9e3779b97f4a7c15U;

std::map<std::string, std::uint64_t> count(Fleet& fleet, const Evidence& evidence) {
  std::map<std::string, std::uint64_t> counts;
  for (const WriteRecord& write : evidence.history->writes) {
    const bool done = write.outcome == core::Outcome::kDone;
    const bool not_run = write.outcome == core::Outcome::kNotRun;
    ++counts[done ? "writes done" : not_run ? "writes not run" : "writes unknown"];
  }
  for (const ReadRecord& read : evidence.history->reads) {
    ++counts[read.ended == core::Instant() ? "reads failed"
             : read.by_replica             ? "reads at replicas"
                                           : "reads at primaries"];
  }
  for (const GroupEvidence& group : evidence.groups) {
    counts["changes of primary"] += group.primaries.size() - 1;
  }
  for (DaemonNode& daemon : fleet.daemons()) {
    counts["terms confirmed"] += daemon.counters().confirmations;
    counts["keys settled"] += daemon.counters().settlements;
  }
  counts["positions lost"] += evidence.history->positions_lost;
  counts["answers lost"] += evidence.history->lost_answers;
  return counts;
}

}  // namespace

SeedReport run_scenario(const RunOptions& options, const Scenario& scenario) {
  Fabric fabric(options.seed * kMixture + 1, options.switches, options.trace);
  Fleet fleet(fabric, scenario.fleet);
  fleet.start();
  fabric.scheduler.run_for(kWarmUp);
  fleet.start_callers();
  schedule(fabric, fleet, scenario.faults);
  fabric.scheduler.run_for(scenario.faults_last);
  fleet.heal();
  const core::Instant healed = fabric.scheduler.now();
  while (fabric.scheduler.now() < healed + kRecoveryLimit && !fleet.writes_landed_since(healed)) {
    fabric.scheduler.run_for(kStep);
  }
  fleet.stop_callers();
  fabric.scheduler.run_for(kDrain);
  const Evidence evidence = fleet.evidence(healed);
  SeedReport report;
  report.violations = judge(evidence);
  report.counts = count(fleet, evidence);
  report.counts["events"] = fabric.scheduler.events_run();
  return report;
}

SeedReport GroupWorld::run(const RunOptions& options) const {
  Random random(options.seed * kMixture + 2);
  Scenario scenario;
  scenario.fleet.groups = random.chance(200) ? 2 : 1;
  scenario.fleet.daemons = 2 + static_cast<std::uint32_t>(random.below(4));
  scenario.fleet.callers_per_group = 2 + static_cast<std::uint32_t>(random.below(5));
  scenario.fleet.connection_limit = 12 + static_cast<std::uint32_t>(random.below(24));
  scenario.fleet.connection_cost = std::chrono::milliseconds(10 + random.below(20));
  scenario.fleet.apply_lag = random.between(std::chrono::milliseconds(0), std::chrono::milliseconds(60));
  constexpr core::Duration kFirst = std::chrono::milliseconds(200);
  constexpr core::Duration kLast = std::chrono::seconds(6);
  scenario.faults = draw_faults(random, kFirst, kLast);
  return run_scenario(options, scenario);
}

}  // namespace pipitpond::simulation::group
