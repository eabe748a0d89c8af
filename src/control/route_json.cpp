#include "control/route_json.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "control/json_fields.hpp"
#include "tenancy/key_digest.hpp"

namespace pipitpond::control {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxMillis = std::uint64_t{24} * 3600 * 1000;
constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr std::uint64_t kMaxUnixMillis = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kMaxTenantKeyBytes = 512;

std::uint32_t millis(JsonFields& fields, const std::string& name) {
  return static_cast<std::uint32_t>(fields.number(name, kMaxMillis));
}

std::uint32_t millis_or_zero(JsonFields& fields, const std::string& name) {
  return fields.has(name) ? millis(fields, name) : 0;
}

std::uint32_t count_or_zero(JsonFields& fields, const std::string& name) {
  return fields.has(name) ? static_cast<std::uint32_t>(fields.number(name, kMaxCount)) : 0;
}

protocol::RouteKind read_kind(const std::string& text, const std::string& where) {
  if (text == "primary") {
    return protocol::RouteKind::kPrimary;
  }
  if (text == "bounded") {
    return protocol::RouteKind::kBounded;
  }
  if (text == "session") {
    return protocol::RouteKind::kSession;
  }
  throw BadField{where + ".kind must be primary, bounded or session."};
}

protocol::Route read_route(const json& value, const std::string& where) {
  JsonFields fields(value, where);
  protocol::Route route;
  route.name = fields.text_or("name", "");
  route.database = fields.text("database");
  route.path_prefix = fields.text_or("path_prefix", "");
  route.kind = read_kind(fields.text("kind"), where);
  route.group = core::GroupName(fields.text("group"));
  route.timeout_ms = millis(fields, "timeout_ms");
  route.goal_ms = millis_or_zero(fields, "goal_ms");
  route.priority = count_or_zero(fields, "priority");
  route.max_attempts = count_or_zero(fields, "max_attempts");
  route.max_staleness_ms = millis_or_zero(fields, "max_staleness_ms");
  route.is_public = fields.boolean_or("public", false);
  fields.reject_unknown_fields();
  return route;
}

protocol::RoutedGroup read_group(const json& value, const std::string& where) {
  JsonFields fields(value, where);
  protocol::RoutedGroup group;
  group.name = core::GroupName(fields.text("name"));
  group.connection_limit = static_cast<std::uint32_t>(fields.number("connection_limit", kMaxCount));
  group.sync_replicas = count_or_zero(fields, "sync_replicas");
  fields.reject_unknown_fields();
  return group;
}

template <typename Item, typename Read>
std::vector<Item> read_list(const json& list, const std::string& name, Read read) {
  std::vector<Item> items;
  for (const json& item : list) {
    items.push_back(read(item, "body." + name + "[" + std::to_string(items.size()) + "]"));
  }
  return items;
}

/// Errors give the index of a key, never the key itself: it is a secret.
std::vector<protocol::KeyDigest> read_keys(const json& list, const std::string& where) {
  std::vector<protocol::KeyDigest> digests;
  for (const json& key : list) {
    const std::string* text = key.get_ptr<const std::string*>();
    if (text == nullptr || text->empty() || text->size() > kMaxTenantKeyBytes) {
      throw BadField{where + ".keys[" + std::to_string(digests.size()) + "] must be a string of 1 to " +
                     std::to_string(kMaxTenantKeyBytes) + " bytes."};
    }
    digests.push_back(tenancy::digest_of(*text));
  }
  return digests;
}

protocol::Tenant read_tenant(const json& value, const std::string& where) {
  JsonFields fields(value, where);
  protocol::Tenant tenant;
  tenant.name = core::TenantName(fields.text("name"));
  tenant.keys = read_keys(fields.array("keys"), where);
  tenant.priority = count_or_zero(fields, "priority");
  if (fields.has("rate_per_s")) {
    tenant.quota.emplace();
    tenant.quota->rate_per_s = static_cast<std::uint32_t>(fields.number("rate_per_s", kMaxCount));
    tenant.quota->burst = count_or_zero(fields, "burst");
  }
  fields.reject_unknown_fields();
  return tenant;
}

/// Sorted by name, so that the order in the body does not matter.
protocol::Tenants read_tenants(const json& list) {
  auto tenants = read_list<protocol::Tenant>(list, "tenants", read_tenant);
  std::sort(tenants.begin(), tenants.end(),
            [](const auto& left, const auto& right) { return left.name < right.name; });
  return tenants;
}

/// Milliseconds of Unix time; 0: not told.
std::uint64_t born_or_zero(JsonFields& fields) {
  return fields.has("born") ? fields.number("born", kMaxUnixMillis) : 0;
}

configuration::Operation read_heartbeat(const core::DatabaseId& id, const json& value) {
  JsonFields fields(value, "body");
  configuration::RegisterDatabase registration;
  registration.endpoint_answer = configuration::EndpointAnswer::kNoAnswer;
  registration.group = core::GroupName(fields.text("group"));
  registration.database.id = id;
  registration.database.endpoint = fields.endpoint("endpoint");
  registration.database.zone = core::ZoneName(fields.text_or("zone", ""));
  registration.database.slots = count_or_zero(fields, "slots");
  registration.database.draining = fields.boolean_or("draining", false);
  registration.database.born = born_or_zero(fields);
  fields.reject_unknown_fields();
  return registration;
}

configuration::Operation read_leave(const core::DatabaseId& id, const json& value) {
  JsonFields fields(value, "body");
  configuration::DepartDatabase departure;
  departure.database = id;
  departure.born = born_or_zero(fields);
  fields.reject_unknown_fields();
  return departure;
}

}  // namespace

core::Result<configuration::PutRouteTable> parse_put_routes(const std::string& body) {
  return parse_fields(body, [](const json& value) {
    JsonFields fields(value, "body");
    configuration::PutRouteTable put;
    put.table.version = fields.number("version", kMaxVersion);
    put.table.transaction_idle_ms = millis_or_zero(fields, "transaction_idle_ms");
    put.table.routes = read_list<protocol::Route>(fields.array("routes"), "routes", read_route);
    put.table.groups = read_list<protocol::RoutedGroup>(fields.array("groups"), "groups", read_group);
    if (fields.has("tenants")) {
      put.table.tenants = read_tenants(fields.array("tenants"));
    }
    put.document = fields.text("document");
    fields.reject_unknown_fields();
    return put;
  });
}

core::Result<configuration::Command> parse_database_notice(const std::string& id_and_notice,
                                                           const std::string& body) {
  const auto slash = id_and_notice.find('/');
  const core::DatabaseId id(id_and_notice.substr(0, slash));
  const std::string notice = slash == std::string::npos ? "" : id_and_notice.substr(slash + 1);
  configuration::Command command;
  if (notice == "leave" && body.empty()) {
    command.operation = configuration::DepartDatabase{id, 0};
    return command;
  }
  if (notice != "heartbeat" && notice != "leave") {
    return core::fail(core::ErrorKind::kNotFound, "There is no database notice of this kind.",
                      "Send POST /v1/databases/ID/heartbeat or POST /v1/databases/ID/leave.");
  }
  return parse_fields(body, [&](const json& value) {
    command.operation = notice == "leave" ? read_leave(id, value) : read_heartbeat(id, value);
    return command;
  });
}

}  // namespace pipitpond::control
