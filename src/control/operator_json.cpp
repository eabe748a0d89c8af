#include "control/operator_json.hpp"

#include <limits>
#include <utility>

#include "control/json_fields.hpp"

namespace pipitpond::control {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxConnections = 1'000'000;
constexpr std::uint64_t kMaxSlots = 1'000'000;

protocol::Database read_database(const json& value, const std::string& where) {
  JsonFields fields(value, where);
  protocol::Database database;
  database.id = core::DatabaseId(fields.text("id"));
  database.endpoint = fields.endpoint("endpoint");
  database.zone = core::ZoneName(fields.text("zone"));
  database.connection_limit = static_cast<std::uint32_t>(fields.number("connection_limit", kMaxConnections));
  database.slots = static_cast<std::uint32_t>(fields.number("slots", kMaxSlots));
  fields.boolean_or("draining", false);  // Accepted because GET shows it; only POST /v1/drain changes it.
  fields.reject_unknown_fields();
  return database;
}

configuration::PutGroup read_group_spec(const core::GroupName& name, const json& spec) {
  JsonFields fields(spec, "spec");
  configuration::PutGroup put;
  put.name = name;
  put.policy = core::PolicyName(fields.text_or("policy", ""));
  std::size_t index = 0;
  for (const json& database : fields.array("databases")) {
    put.databases.push_back(read_database(database, "spec.databases[" + std::to_string(index) + "]"));
    ++index;
  }
  fields.reject_unknown_fields();
  return put;
}

configuration::PutZone read_zone_spec(const core::ZoneName& name, const json& spec) {
  JsonFields fields(spec, "spec");
  configuration::PutZone put{name, core::RegionName(fields.text("region"))};
  fields.reject_unknown_fields();
  return put;
}

configuration::PutPolicy read_policy_spec(const core::PolicyName& name, const json& spec) {
  JsonFields fields(spec, "spec");
  configuration::PutPolicy put{name, fields.text("source")};
  fields.reject_unknown_fields();
  return put;
}

core::RequestKey read_key(JsonFields& fields) {
  const std::string key = fields.text("key");
  if (key.empty()) {
    throw BadField{"body.key must not be empty: it identifies the change when it is sent again."};
  }
  return core::RequestKey(key);
}

/// Parses a body {"revision", "key", "spec"}.
template <typename ReadSpec>
core::Result<configuration::Command> parse_put(const std::string& body, ReadSpec read_spec) {
  return parse_fields(body, [&read_spec](const json& value) {
    JsonFields fields(value, "body");
    configuration::Command command;
    command.key = read_key(fields);
    command.expected_revision = fields.number("revision", kMaxRevision);
    command.operation = read_spec(fields.object("spec"));
    fields.reject_unknown_fields();
    return command;
  });
}

configuration::Operation drain_operation(const std::string& kind, const std::string& name, bool leaving) {
  if (kind == "database") {
    return configuration::SetDatabaseDraining{core::DatabaseId(name), leaving};
  }
  if (kind == "daemon") {
    const auto state = leaving ? protocol::DaemonState::kLeaving : protocol::DaemonState::kLive;
    return configuration::SetDaemonState{core::DaemonId(name), 0, state};
  }
  if (kind == "control") {
    return configuration::SetControlLeaving{core::ControlId(name), leaving};
  }
  throw BadField{"body.kind must be database, daemon or control."};
}

json term_json(const protocol::TermStart& term) {
  return {{"term", term.term}, {"primary", term.primary}, {"start", term.start}};
}

json database_json(const protocol::Database& database) {
  return {{"id", database.id},       {"endpoint", database.endpoint},
          {"zone", database.zone},   {"connection_limit", database.connection_limit},
          {"slots", database.slots}, {"draining", database.draining}};
}

}  // namespace

core::Result<configuration::Command> parse_put_group(const core::GroupName& name, const std::string& body) {
  return parse_put(body, [&name](const json& spec) { return read_group_spec(name, spec); });
}

core::Result<configuration::Command> parse_put_zone(const core::ZoneName& name, const std::string& body) {
  return parse_put(body, [&name](const json& spec) { return read_zone_spec(name, spec); });
}

core::Result<configuration::Command> parse_put_policy(const core::PolicyName& name, const std::string& body) {
  return parse_put(body, [&name](const json& spec) { return read_policy_spec(name, spec); });
}

core::Result<configuration::Command> parse_drain(const std::string& body) {
  return parse_fields(body, [](const json& value) {
    JsonFields fields(value, "body");
    configuration::Command command;
    command.key = read_key(fields);
    const std::string kind = fields.text("kind");
    const std::string name = fields.text("name");
    command.operation = drain_operation(kind, name, fields.boolean_or("leaving", true));
    fields.reject_unknown_fields();
    return command;
  });
}

core::Result<std::string> parse_policy_check(const std::string& body) {
  return parse_fields(body, [](const json& value) {
    JsonFields fields(value, "body");
    std::string source = fields.text("source");
    fields.reject_unknown_fields();
    return source;
  });
}

core::Result<MemberRequest> parse_member(const std::string& body) {
  return parse_fields(body, [](const json& value) {
    JsonFields fields(value, "body");
    MemberRequest request;
    request.key = read_key(fields);
    const std::string action = fields.text("action");
    request.member.id = core::ControlId(fields.text("id"));
    request.member.role = raft::MemberRole::kLearner;
    if (action != "add" && action != "remove") {
      throw BadField{"body.action must be add or remove."};
    }
    request.add = action == "add";
    if (request.add) {
      request.member.internal = fields.endpoint("endpoint");
      if (fields.has("operators")) {
        request.member.operators = fields.endpoint("operators");
      }
      request.member.replaces = core::ControlId(fields.text_or("replaces", ""));
    }
    fields.reject_unknown_fields();
    return request;
  });
}

json to_json(const protocol::Group& group) {
  json databases = json::array();
  for (const protocol::Database& database : group.databases) {
    databases.push_back(database_json(database));
  }
  json terms = json::array();
  for (const protocol::TermStart& term : group.terms) {
    terms.push_back(term_json(term));
  }
  return {{"name", group.name},
          {"revision", group.revision},
          {"spec", {{"databases", std::move(databases)}, {"policy", group.policy}}},
          {"terms", std::move(terms)}};
}

json to_json(const protocol::Zone& zone) {
  return {{"name", zone.name}, {"revision", zone.revision}, {"spec", {{"region", zone.region}}}};
}

json to_json(const protocol::Policy& policy) {
  return {{"name", policy.name}, {"revision", policy.revision}, {"spec", {{"source", policy.source}}}};
}

json to_json(const protocol::Daemon& daemon) {
  return {{"id", daemon.id},
          {"incarnation", daemon.incarnation},
          {"zone", daemon.zone},
          {"internal", daemon.internal},
          {"callers", daemon.callers},
          {"state", daemon.state == protocol::DaemonState::kLive ? "live" : "leaving"}};
}

json to_json(const protocol::Control& control) {
  return {{"id", control.id},
          {"internal", control.internal},
          {"operators", control.operators},
          {"leaving", control.leaving}};
}

json to_json(const protocol::Configuration& configuration) {
  return {{"revision", configuration.revision},          {"groups", list_json(configuration.groups)},
          {"zones", list_json(configuration.zones)},     {"policies", list_json(configuration.policies)},
          {"daemons", list_json(configuration.daemons)}, {"controls", list_json(configuration.controls)}};
}

json to_json(const core::Error& error) {
  return {{"kind", core::to_string(error.kind)},
          {"message", error.message},
          {"remedy", error.remedy},
          {"retry_after_ms", error.retry_after_ms}};
}

}  // namespace pipitpond::control
