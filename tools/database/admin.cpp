#include "admin.hpp"

#include <fmt/format.h>

#include <iterator>
#include <nlohmann/json.hpp>

#include "requests.hpp"

namespace pipitpond::database_program {
namespace {

using nlohmann::json;

double to_ms(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

void read_duration(const json& change, const char* field, core::Duration& duration) {
  constexpr double kGreatestMs = 3'600'000;
  if (!change.contains(field)) {
    return;
  }
  const auto milliseconds = change.at(field).get<double>();
  if (!(milliseconds >= 0 && milliseconds <= kGreatestMs)) {
    throw json::other_error::create(0, std::string(field) + " is out of range", nullptr);
  }
  duration = core::Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

void change_options(standin::EngineOptions& options, const json& change) {
  auto changed = options;
  read_duration(change, "apply_lag_ms", changed.apply_lag);
  read_duration(change, "apply_lag_jitter_ms", changed.apply_lag_jitter);
  read_duration(change, "work_ms", changed.work);
  read_duration(change, "connection_cost_ms", changed.connection_cost);
  read_duration(change, "idle_timeout_ms", changed.idle_timeout);
  changed.slots = change.value("slots", changed.slots);
  changed.connection_limit = change.value("connection_limit", changed.connection_limit);
  options = changed;
}

std::string describe_options(const standin::EngineOptions& options) {
  return json{{"apply_lag_ms", to_ms(options.apply_lag)},
              {"apply_lag_jitter_ms", to_ms(options.apply_lag_jitter)},
              {"work_ms", to_ms(options.work)},
              {"connection_cost_ms", to_ms(options.connection_cost)},
              {"idle_timeout_ms", to_ms(options.idle_timeout)},
              {"slots", options.slots},
              {"connection_limit", options.connection_limit}}
      .dump();
}

void add_metric(std::string& text, const char* name, const char* type, std::uint64_t value) {
  fmt::format_to(std::back_inserter(text), "# TYPE pipitpond_database_{0} {1}\npipitpond_database_{0} {2}\n",
                 name, type, value);
}

}  // namespace

http::Response handle_admin(standin::Engine& engine, const http::Request& request) {
  if (request.method == "POST") {
    try {
      change_options(engine.options(), json::parse(request.body));
    } catch (const json::exception& error) {
      return to_response(core::Error{core::ErrorKind::kInvalidArgument, error.what(),
                                     "Send the fields that admin.hpp lists."});
    }
  }
  http::Response response;
  response.body = describe_options(engine.options());
  return response;
}

std::string metrics_text(const standin::Engine& engine, core::Instant now) {
  const auto status = engine.status(now);
  const auto& counters = engine.counters();
  std::string text;
  add_metric(text, "term", "gauge", status.term);
  add_metric(text, "primary", "gauge", status.role == database::Role::kPrimary ? 1 : 0);
  add_metric(text, "received_index", "gauge", status.received.index);
  add_metric(text, "committed_index", "gauge", status.committed.index);
  add_metric(text, "applied_index", "gauge", status.applied.index);
  add_metric(text, "connections", "gauge", status.connections);
  add_metric(text, "slots_in_use", "gauge", status.slots_in_use);
  add_metric(text, "replication_stalled_milliseconds", "gauge", status.replication_stalled_ms);
  add_metric(text, "greatest_connections", "gauge", counters.greatest_connections);
  add_metric(text, "greatest_slots_in_use", "gauge", counters.greatest_slots_in_use);
  add_metric(text, "statements_total", "counter", counters.statements);
  add_metric(text, "connections_opened_total", "counter", counters.connections_opened);
  add_metric(text, "reads_total", "counter", counters.reads);
  add_metric(text, "writes_total", "counter", counters.writes);
  add_metric(text, "replays_total", "counter", counters.replays);
  add_metric(text, "stale_refusals_total", "counter", counters.stale_refusals);
  add_metric(text, "fenced_refusals_total", "counter", counters.fenced_refusals);
  add_metric(text, "connections_over_limit_total", "counter", counters.connections_over_limit);
  add_metric(text, "statements_over_limit_total", "counter", counters.statements_over_limit);
  add_metric(text, "statements_while_leaving_total", "counter", counters.statements_while_leaving);
  return text;
}

}  // namespace pipitpond::database_program
