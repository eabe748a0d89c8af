// Measures in the simulator the gap that a lost primary leaves, for two mechanisms on the same seeds, and
// counts changes of primary that nobody needed. Prints CSV. The command is written in its first line.
//
//   pipitpond-failover-gap [SEEDS]
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "simulation_group/group_world.hpp"

namespace {

using namespace pipitpond;                     // NOLINT(google-build-using-namespace)
using namespace pipitpond::simulation;         // NOLINT(google-build-using-namespace)
using namespace pipitpond::simulation::group;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

struct Size {
  std::string name;
  std::uint32_t slots;
  std::uint32_t callers;
  std::uint32_t reads_per_mille;
  milliseconds connection_cost;
  milliseconds lag;
};

/// What one seed gave.
struct Sample {
  double gap_ms = 0;
  double write_p50_ms = 0;
  double write_p99_ms = 0;
  std::size_t lost = 0;
  std::size_t changes = 0;
};

enum class Trouble { kPrimaryKilled, kPrimaryFrozen, kLag, kLoad, kLossyLink };

const std::vector<std::string> kTroubles = {"primary killed", "primary frozen", "mere lag", "load",
                                            "one lossy link"};

FleetOptions fleet_of(const Size& size, std::uint32_t daemons) {
  FleetOptions options;
  options.daemons = daemons;
  options.admitted = true;
  options.callers_per_group = size.callers;
  options.slots = size.slots;
  options.connection_cost = size.connection_cost;
  options.apply_lag = size.lag;
  options.caller.reads_per_mille = size.reads_per_mille;
  options.caller.lost_answers_per_mille = 0;
  options.caller.without_key_per_mille = 0;
  options.caller.impatient_per_mille = 0;
  return options;
}

double percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  return values[place];
}

double millis(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

void make_trouble(Fabric& fabric, Fleet& fleet, Trouble trouble) {
  DatabaseNode* primary = fleet.primary(0);
  LinkQuality slow;
  slow.delay_min = milliseconds(20);
  slow.delay_max = milliseconds(120);
  LinkQuality lossy;
  lossy.lost_per_mille = 300;
  switch (trouble) {
    case Trouble::kPrimaryKilled:
      primary->crash();
      break;
    case Trouble::kPrimaryFrozen:
      primary->host().freeze();
      break;
    case Trouble::kLag:
      for (DatabaseNode* replica : fleet.replicas(0)) {
        fabric.network.set_link(primary->host(), replica->host(), slow);
        replica->set_apply_lag(std::chrono::seconds(2));
      }
      break;
    case Trouble::kLoad:
      break;
    case Trouble::kLossyLink:
      fabric.network.set_link(fleet.daemons().front().host(), primary->host(), lossy);
      fabric.network.set_link(primary->host(), fleet.daemons().front().host(), lossy);
      break;
  }
}

Sample run(std::uint64_t seed, FleetOptions options, Trouble trouble, bool release) {
  Switches switches;
  if (release) {
    switches.turn_off(Mechanism::kMajorityAcknowledgement);
    options.release_by_owners = true;
  }
  if (trouble == Trouble::kLoad) {
    options.callers_per_group *= 8;
  }
  Fabric fabric(seed * 1000 + 7, switches, nullptr);
  Fleet fleet(fabric, options);
  fleet.start();
  fabric.scheduler.run_for(std::chrono::seconds(3));
  fleet.start_callers();
  fabric.scheduler.run_for(std::chrono::seconds(2));
  const core::Instant begun = fabric.scheduler.now();
  make_trouble(fabric, fleet, trouble);
  fabric.scheduler.run_for(std::chrono::seconds(8));
  fleet.heal();
  const core::Instant healed = fabric.scheduler.now();
  fabric.scheduler.run_for(std::chrono::seconds(1));
  fleet.stop_callers();
  fabric.scheduler.run_for(std::chrono::seconds(4));
  const Evidence evidence = fleet.evidence(healed);
  Sample sample;
  sample.changes = evidence.groups.front().primaries.size() - 1;
  std::vector<double> latencies;
  core::Instant first_failed = core::Instant::max();
  core::Instant first_landed = core::Instant::max();
  for (const WriteRecord& write : fleet.history().writes) {
    if (write.outcome != core::Outcome::kDone) {
      continue;
    }
    if (write.decided < begun) {
      latencies.push_back(millis(write.ended - write.sent));
    } else if (write.by_term > 1) {
      first_landed = std::min(first_landed, write.decided);
      first_failed = std::min(first_failed, std::max(write.sent, begun));
    }
  }
  sample.gap_ms = first_landed == core::Instant::max() ? -1 : millis(first_landed - first_failed);
  sample.write_p50_ms = percentile(latencies, 0.5);
  sample.write_p99_ms = percentile(latencies, 0.99);
  const std::vector<std::string> findings = judge(evidence);
  sample.lost = static_cast<std::size_t>(std::count_if(
      findings.begin(), findings.end(), [](const std::string& one) { return one.starts_with("Lost"); }));
  return sample;
}

void measure(const Size& size, std::uint32_t daemons, Trouble trouble, bool release, std::uint64_t seeds) {
  std::vector<double> gaps;
  std::vector<double> p50;
  std::vector<double> p99;
  std::size_t lost = 0;
  std::size_t changes = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Sample sample = run(seed, fleet_of(size, daemons), trouble, release);
    gaps.push_back(sample.gap_ms);
    p50.push_back(sample.write_p50_ms);
    p99.push_back(sample.write_p99_ms);
    lost += sample.lost;
    changes += sample.changes;
  }
  std::printf("%s,%u,%s,%s,%lu,%.0f,%.0f,%.1f,%.1f,%zu,%zu\n", size.name.c_str(), daemons,
              kTroubles[static_cast<std::size_t>(trouble)].c_str(),
              release ? "release by owners" : "majority acknowledgement", static_cast<unsigned long>(seeds),
              percentile(gaps, 0.5), percentile(gaps, 1.0), percentile(p50, 0.5), percentile(p99, 0.5), lost,
              changes);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::stoull(argv[1]) : 20;
  const std::vector<Size> sizes = {{"archive", 5, 16, 800, milliseconds(10), milliseconds(5)},
                                   {"kigali", 4, 16, 950, milliseconds(30), milliseconds(25)}};
  std::printf("# pipitpond-failover-gap %lu\n", static_cast<unsigned long>(seeds));
  std::printf(
      "size,daemons,trouble,mechanism,seeds,gap_p50_ms,gap_max_ms,write_p50_ms,write_p99_ms,lost_writes,"
      "changes_of_primary\n");
  for (const Size& size : sizes) {
    for (const std::uint32_t daemons : {3U, 12U, 60U, 940U}) {
      const std::uint64_t used = daemons > 100 ? std::max<std::uint64_t>(seeds / 10, 2) : seeds;
      for (const Trouble trouble : {Trouble::kPrimaryKilled, Trouble::kPrimaryFrozen}) {
        measure(size, daemons, trouble, false, used);
        measure(size, daemons, trouble, true, used);
      }
      for (const Trouble trouble : {Trouble::kLag, Trouble::kLoad, Trouble::kLossyLink}) {
        if (daemons <= 100) {
          measure(size, daemons, trouble, false, used);
        }
      }
    }
  }
  return 0;
}
