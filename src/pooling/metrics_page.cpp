#include "pooling/metrics_page.hpp"

#include "logging/logging.hpp"
#include "metrics/metrics.hpp"

namespace pipitpond::pooling {
namespace {

template <typename Number>
double as_double(Number value) {
  return static_cast<double>(value);
}

void add_statements(metrics::Registry& registry, const PoolingCounters& counters) {
  const auto counter = [&registry](const std::string& name, const std::string& help, std::uint64_t value) {
    registry.counter("pipitpond_pooling_" + name, help).increment(as_double(value));
  };
  counter("statements_total", "Statements of callers.", counters.statements);
  counter("succeeded_total", "Statements answered with success.", counters.succeeded);
  counter("retried_total", "Attempts beyond a statement's first.", counters.retried);
  counter("writes_unconfirmed_total",
          "Writes that a failover may have dropped after a database had run them.",
          counters.writes_unconfirmed);
  counter("given_up_total", "Statements given up for want of a database.", counters.given_up);
  counter("transactions_ended_idle_total", "Transactions ended because their callers rested too long.",
          counters.transactions_ended_idle);
  const auto reads = [&registry](const std::string& role, std::uint64_t count) {
    registry
        .counter("pipitpond_pooling_reads_total", "Single reads by who served them.", {{"served_by", role}})
        .increment(as_double(count));
  };
  reads("replica", counters.reads_at_replicas);
  reads("primary", counters.reads_at_primaries);
  for (std::size_t code = 0; code < counters.failures.size(); ++code) {
    registry
        .counter("pipitpond_pooling_failures_total", "Statements answered with a failure, by its code.",
                 {{"code", to_string(static_cast<FailureCode>(code))}})
        .increment(as_double(counters.failures.at(code)));
  }
}

void add_pool(metrics::Registry& registry, const BackendPool& pool) {
  const metrics::Labels labels{{"group", pool.address().group.value()},
                               {"database", pool.address().database.value()}};
  const auto gauge = [&](const std::string& name, const std::string& help, double value) {
    registry.gauge("pipitpond_pooling_backend_" + name, help, labels).set(value);
  };
  gauge("connections", "Connections held.", as_double(pool.held()));
  gauge("connections_in_use", "Connections that run a statement or belong to a transaction.",
        as_double(pool.in_use()));
  gauge("budget", "Connections that may be held.", as_double(pool.share().most));
  gauge("concurrency_limit", "Statements outside transactions that may run at once.",
        as_double(pool.concurrency().limit()));
  gauge("kept", "Connections that may stay open while idle.", as_double(pool.share().kept));
  gauge("waiting", "Statements that wait for a connection.", as_double(pool.waiting()));
  gauge("usable", "1 while the database is taken to be reachable.", pool.health().usable() ? 1 : 0);
  const auto counter = [&](const std::string& name, const std::string& help, std::uint64_t value) {
    registry.counter("pipitpond_pooling_backend_" + name, help, labels).increment(as_double(value));
  };
  counter("opened_total", "Connections opened.", pool.counters().opened);
  counter("opened_for_want_total", "Openings begun for statements that waited.",
          pool.counters().opened_for_want);
  counter("waited_instead_total",
          "Statements that waited for their tenant's connections in use although more could be opened.",
          pool.counters().waited_instead);
  counter("made_room_total", "Idle connections closed for another tenant's.", pool.counters().made_room);
  counter("open_failed_total", "Connections that could not be opened.", pool.counters().open_failed);
  counter("broke_total", "Batches that got no answer.", pool.counters().broke);
  counter("displaced_total", "Statements that left a full line to more urgent ones.",
          pool.counters().displaced);
  counter("line_full_total", "Statements that found a full line of those that go before them.",
          pool.counters().line_full);
  counter("late_in_line_total", "Statements that got a connection too late for their goal.",
          pool.counters().late_in_line);
  counter("probes_total", "Probes sent in doubt.", pool.counters().probes);
}

void add_forwards(metrics::Registry& registry, const ForwardCounters& counters) {
  const auto counter = [&registry](const std::string& outcome, std::uint64_t count) {
    registry
        .counter("pipitpond_pooling_forwards_total",
                 "Statements passed on to owners of connections, and of these, those that came to nothing.",
                 {{"outcome", outcome}})
        .increment(as_double(count));
  };
  counter("sent", counters.sent);
  counter("not_run", counters.not_run);
  counter("lost", counters.lost);
  registry
      .counter("pipitpond_pooling_positions_asked_total",
               "Times that an owner was asked for a primary's position, for reads at replicas.")
      .increment(as_double(counters.positions_asked));
  registry.counter("pipitpond_pooling_positions_told_total", "Those of them that brought one.")
      .increment(as_double(counters.positions_received));
}

void add_rounds(metrics::Registry& registry, const RoundCounters& counters) {
  registry
      .counter("pipitpond_pooling_primary_rounds_total",
               "Rounds in which databases were asked who the primary is, for want of control's lease.")
      .increment(as_double(counters.begun));
  registry
      .counter("pipitpond_pooling_primary_rounds_shown_total", "Those of them that have shown the primary.")
      .increment(as_double(counters.shown));
}

void add_fetches(metrics::Registry& registry, const agent::FetchCounters& fetches) {
  const auto counter = [&registry](const std::string& name, const std::string& help, std::uint64_t value) {
    registry.counter("pipitpond_pooling_configuration_" + name, help).increment(as_double(value));
  };
  counter("fetches_total", "Calls to control for the configuration.", fetches.begun);
  counter("fetches_failed_total", "Of those, the ones that brought nothing in time.", fetches.failed);
  counter("fetches_completed_total", "Answers that came whole.", fetches.completed);
  counter("fetched_bytes_total", "Bytes of the answers that came whole.", fetches.bytes);
}

void add_access(metrics::Registry& registry, const CallerAccess& access) {
  const auto refused = [&registry](const std::string& reason, std::uint64_t count) {
    registry
        .counter("pipitpond_access_refused_total", "Statements and sessions that were not let in, by reason.",
                 {{"reason", reason}})
        .increment(as_double(count));
  };
  const AccessCounters& counters = access.counters();
  refused("unknown_key", counters.unknown_key);
  refused("keys_not_certain", counters.keys_not_certain);
  refused("over_quota", counters.over_quota);
  refused("quota_not_told", counters.quota_not_told);
  registry.counter("pipitpond_access_quota_asked_total", "Questions to other daemons for an operation.")
      .increment(as_double(access.quota_counters().asked));
  registry.counter("pipitpond_access_quota_unanswered_total", "Those of them that got no answer in time.")
      .increment(as_double(access.quota_counters().unanswered));
  registry
      .counter("pipitpond_access_quota_given_back_total",
               "Operations that surely did not run and that this daemon told to other daemons.")
      .increment(as_double(access.quota_counters().given_back));
  registry
      .counter("pipitpond_access_home_given_back_total",
               "Operations that came back in time to this daemon as a tenant's home.")
      .increment(as_double(access.home().given_back()));
  registry
      .gauge("pipitpond_access_proof_age_seconds",
             "Since the moment up to which the configuration is known to be complete.")
      .set(std::chrono::duration<double>(access.proof_age(core::BootClock::now())).count());
  for (const auto& [tenant, bucket] : access.home().buckets()) {
    registry
        .gauge("pipitpond_access_home_tokens",
               "Operations that this daemon, as a tenant's home, could grant.", {{"tenant", tenant.value()}})
        .set(bucket.tokens());
  }
}

}  // namespace

std::string metrics_page(const PoolingCounters& counters, const Backends& backends,
                         const CallerAccess& access, const agent::Agent& agent, std::size_t sessions,
                         bool ready) {
  metrics::Registry registry;
  add_statements(registry, counters);
  add_access(registry, access);
  for (const auto& pool : backends.pools()) {
    add_pool(registry, *pool);
  }
  add_forwards(registry, backends.forwards());
  add_rounds(registry, backends.rounds());
  const auto gauge = [&registry](const std::string& name, const std::string& help, double value) {
    registry.gauge("pipitpond_pooling_" + name, help).set(value);
  };
  registry.counter("pipitpond_pooling_log_lines_left_out_total", "Lines of the log that were not written.")
      .increment(as_double(logging::lines_left_out()));
  add_fetches(registry, agent.fetch_counters());
  gauge("sessions", "Callers' sessions that are open.", as_double(sessions));
  gauge("ready", "1 while the daemon calls itself ready.", ready ? 1 : 0);
  gauge("lease_valid", "1 while control's lease is valid.",
        agent.lease_valid(core::BootClock::now()) ? 1 : 0);
  gauge("configuration_proven", "1 once control's leader has proven the configuration complete in this life.",
        agent.complete_until() != core::Instant{} ? 1 : 0);
  gauge("revision", "Revision of the configuration in force.", as_double(agent.configuration().revision));
  gauge("routes_version", "Version of the route table in force.",
        as_double(agent.configuration().routes.version));
  return registry.text();
}

}  // namespace pipitpond::pooling
