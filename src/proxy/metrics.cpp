#include "proxy/metrics.hpp"

#include "metrics/metrics.hpp"

namespace pipitpond::proxy {
namespace {

constexpr double kMicrosPerSecond = 1e6;

template <typename Number>
double number(Number value) {
  return static_cast<double>(value);
}

void add_requests(metrics::Registry& registry, const RequestMetrics& requests) {
  const auto outcome = [&registry](const std::string& name, std::uint64_t count) {
    registry.counter("pipitpond_proxy_requests_total", "Requests of callers by outcome.", {{"outcome", name}})
        .increment(number(count));
  };
  outcome("done", requests.done);
  outcome("not_run", requests.not_run);
  outcome("unknown", requests.unknown);
  const auto counter = [&registry](const std::string& name, const std::string& help, double value) {
    registry.counter("pipitpond_proxy_" + name, help).increment(value);
  };
  counter("refused_total", "Requests refused before they were read as a request.",
          number(requests.malformed));
  counter("overloaded_total", "Requests answered 429.", number(requests.overloaded));
  counter("attempts_total", "Attempts at databases.", number(requests.attempts));
  counter("retries_total", "Attempts beyond a request's first.", number(requests.retries));
  counter("replayed_total", "Writes whose key had run before.", number(requests.replayed));
  counter("position_lost_total", "Sessions told that a position was lost.", number(requests.position_lost));
  counter("forwarded_total", "Attempts passed on to other daemons.", number(requests.forwarded));
  counter("served_for_peers_total", "Attempts made for other daemons.", number(requests.served_for_peers));
  counter("refused_late_total",
          "Attempts of other daemons refused because they had lain unread for too long.",
          number(requests.refused_late));
  counter("peers_fell_silent_total", "Times that another daemon was taken as silent.",
          number(requests.peers_fell_silent));
  counter("given_up_total", "Attempts given up because the daemon that held them fell silent.",
          number(requests.given_up));
  counter("request_seconds_total", "Time of all requests.", number(requests.latency_us) / kMicrosPerSecond);
  const auto reads = [&registry](const std::string& role, std::uint64_t count) {
    registry.counter("pipitpond_proxy_reads_total", "Done reads outside transactions.", {{"served_by", role}})
        .increment(number(count));
  };
  reads("replica", requests.reads_by_replica);
  reads("primary", requests.reads_by_primary);
}

void add_databases(metrics::Registry& registry, const agent::Agent& agent, const OwnedDatabases& databases) {
  for (const auto& [id, database] : databases.all()) {
    const metrics::Labels labels{{"group", database->group().value()}, {"database", id.value()}};
    const ownership::Budget budget = agent.allowed(id);
    const auto gauge = [&](const std::string& name, const std::string& help, double value) {
      registry.gauge("pipitpond_proxy_database_" + name, help, labels).set(value);
    };
    gauge("connections", "Connections open or being opened.", number(database->pool().live()));
    gauge("connections_closing", "Connections given up that the database may still hold.",
          number(database->pool().held() - database->pool().live()));
    gauge("idle_connections", "Connections that nobody uses.", number(database->pool().idle()));
    gauge("connections_allowed", "Connections that this daemon may hold.", number(budget.connections));
    gauge("slots", "Statements that this daemon may run at once.", number(budget.slots));
    gauge("running", "Statements running.", number(database->gate().queue().running()));
    gauge("queued", "Statements waiting for a slot.", number(database->gate().queue().queued()));
  }
}

}  // namespace

std::string render_metrics(const RequestMetrics& requests, const DaemonState& state,
                           const agent::Agent& agent, const OwnedDatabases& databases) {
  // The numbers live in the parts; a registry of the moment gives them their text.
  metrics::Registry registry;
  const auto gauge = [&registry](const std::string& name, const std::string& help, double value) {
    registry.gauge("pipitpond_proxy_" + name, help).set(value);
  };
  gauge("revision", "Configuration revision in force.", number(agent.configuration().revision));
  gauge("control_revision", "Newest revision that control has told of.", number(agent.current_revision()));
  gauge("lease_valid", "1 while control's lease is valid.",
        agent.lease_valid(core::BootClock::now()) ? 1 : 0);
  gauge("draining", "1 during a planned stop.", state.draining ? 1 : 0);
  gauge("requests_in_progress", "Requests of callers in progress.", number(state.requests_in_progress));
  gauge("open_transactions", "Transactions open here.", number(state.open_transactions));
  gauge("silent_peers", "Daemons that get no requests until they answer again.", number(state.silent_peers));
  gauge("caller_connections", "Connections of callers.", number(state.caller_connections));
  registry.counter("pipitpond_proxy_control_bytes_total", "Bytes exchanged with control.")
      .increment(number(agent.control_bytes()));
  for (const auto& [policy, failures] : state.policy_failures) {
    registry
        .counter("pipitpond_policy_failures_total",
                 "Evaluations that failed and fell back to the safe choice.", {{"policy", policy.value()}})
        .increment(number(failures));
  }
  add_requests(registry, requests);
  add_databases(registry, agent, databases);
  return registry.text();
}

}  // namespace pipitpond::proxy
