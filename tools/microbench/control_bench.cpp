// What configuration, ownership, leases and failover cost as the fleet grows. Arguments: daemons, databases.
#include <benchmark/benchmark.h>

#include "failover/coordinator.hpp"
#include "failover/daemon_leases.hpp"
#include "ownership/budget_tracker.hpp"
#include "ownership/ownership.hpp"
#include "protocol/control_messages.hpp"
#include "target_fleet.hpp"
#include "wire/codec.hpp"

namespace pipitpond::microbench {
namespace {

/// Sizes from a quarter of today's to the target.
void fleet_sizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Args({60, 90})->Args({235, 375})->Args({470, 750})->Args({940, 1500});
}

protocol::Configuration sized(const benchmark::State& state) {
  return make_configuration(static_cast<std::uint32_t>(state.range(0)),
                            static_cast<std::uint32_t>(state.range(1)));
}

void pack_configuration(benchmark::State& state) {
  const protocol::Configuration configuration = sized(state);
  std::size_t bytes = 0;
  for (auto _ : state) {
    bytes = wire::pack(configuration).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(pack_configuration)->Apply(fleet_sizes);

void unpack_configuration(benchmark::State& state) {
  const std::string packed = wire::pack(sized(state));
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::unpack<protocol::Configuration>(packed));
  }
}
BENCHMARK(unpack_configuration)->Apply(fleet_sizes);

void find_owners(benchmark::State& state) {
  const protocol::Configuration configuration = sized(state);
  const core::DatabaseId database("database-0001");
  for (auto _ : state) {
    benchmark::DoNotOptimize(ownership::owners(configuration, database));
  }
}
BENCHMARK(find_owners)->Apply(fleet_sizes);

/// A daemon leaves and comes back: two changes of ownership, as each daemon sees them.
void track_budgets_over_a_restart(benchmark::State& state) {
  protocol::Configuration with = sized(state);
  protocol::Configuration without = with;
  without.daemons.erase(make_daemon(1).id);
  ownership::BudgetTracker tracker(make_daemon(0).id, 1);
  protocol::Revision revision = 1;
  for (auto _ : state) {
    without.revision = ++revision;
    tracker.on_configuration(without);
    with.revision = ++revision;
    tracker.on_configuration(with);
    tracker.on_settled_everywhere(revision);
  }
}
BENCHMARK(track_budgets_over_a_restart)->Apply(fleet_sizes)->Unit(benchmark::kMillisecond);

/// The same, as a daemon that follows change by change sees it.
void follow_a_restart(benchmark::State& state) {
  protocol::Configuration configuration = sized(state);
  const protocol::Daemon daemon = make_daemon(1);
  ownership::BudgetTracker tracker(make_daemon(0).id, 1);
  tracker.on_configuration(configuration);
  protocol::Change removed;
  removed.removed_daemons.push_back(daemon.id);
  protocol::Change admitted;
  admitted.daemons.push_back(daemon);
  for (auto _ : state) {
    for (protocol::Change* change : {&removed, &admitted}) {
      change->revision = configuration.revision + 1;
      protocol::apply(configuration, *change);
      tracker.on_change(configuration, *change);
    }
    tracker.on_settled_everywhere(configuration.revision);
  }
}
BENCHMARK(follow_a_restart)->Apply(fleet_sizes)->Unit(benchmark::kMillisecond);

void answer_heartbeat(benchmark::State& state) {
  const protocol::Configuration configuration = sized(state);
  failover::DaemonLeases leases;
  core::Instant now{};
  leases.on_leadership(now, true);
  leases.on_configuration(now, configuration);
  protocol::Heartbeat heartbeat;
  heartbeat.daemon = make_daemon(0).id;
  heartbeat.incarnation = 1;
  heartbeat.zone = make_daemon(0).zone;
  heartbeat.internal = make_daemon(0).internal;
  heartbeat.callers = make_daemon(0).callers;
  std::size_t bytes = 0;
  for (auto _ : state) {
    now += core::Duration(500);
    ++heartbeat.sequence;
    const std::string packed = wire::pack(heartbeat);
    const auto received = wire::unpack<protocol::Heartbeat>(packed);
    const std::string reply = wire::pack(leases.on_heartbeat(now, received.value(), true));
    bytes = packed.size() + reply.size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(answer_heartbeat)->Apply(fleet_sizes);

void coordinator_takes_a_configuration(benchmark::State& state) {
  const protocol::Configuration configuration = sized(state);
  failover::Coordinator coordinator;
  core::Instant now{};
  coordinator.on_leadership(now, true);
  for (auto _ : state) {
    coordinator.on_configuration(now, configuration);
    benchmark::DoNotOptimize(coordinator.take_effects());
  }
}
BENCHMARK(coordinator_takes_a_configuration)->Apply(fleet_sizes)->Unit(benchmark::kMillisecond);

void coordinator_ticks(benchmark::State& state) {
  failover::Coordinator coordinator;
  core::Instant now{};
  coordinator.on_leadership(now, true);
  coordinator.on_configuration(now, sized(state));
  for (auto _ : state) {
    now += failover::kTickInterval;
    coordinator.tick(now);
    benchmark::DoNotOptimize(coordinator.take_effects());
  }
}
BENCHMARK(coordinator_ticks)->Apply(fleet_sizes)->Unit(benchmark::kMicrosecond);

/// What a heartbeat without suspicions costs the coordinator: 2 a second from each daemon.
void coordinator_hears_a_daemon(benchmark::State& state) {
  failover::Coordinator coordinator;
  core::Instant now{};
  coordinator.on_leadership(now, true);
  coordinator.on_configuration(now, sized(state));
  const core::DaemonId daemon = make_daemon(0).id;
  for (auto _ : state) {
    now += core::Duration(500);
    coordinator.on_suspicions(now, daemon, {});
    benchmark::DoNotOptimize(coordinator.take_effects());
  }
}
BENCHMARK(coordinator_hears_a_daemon)->Apply(fleet_sizes)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace pipitpond::microbench
