#include "configuration/registry_plan.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "configuration/plan_steps.hpp"
#include "configuration/self_registered_groups.hpp"
#include "configuration/validation.hpp"

namespace pipitpond::configuration {
namespace {

using protocol::Change;
using protocol::Configuration;
using protocol::Database;
using protocol::Group;
using protocol::Route;
using protocol::RoutedGroup;
using protocol::RouteTable;

core::Error invalid(std::string message, std::string remedy) {
  return core::Error{core::ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), 0};
}

std::optional<core::Error> check_route(const Route& route, const std::set<core::GroupName>& groups) {
  if (route.database.empty()) {
    return invalid("Route " + route.name + " has no database name.",
                   "Name the database that callers ask for.");
  }
  if (!groups.contains(route.group)) {
    return invalid("Route " + route.name + " names the unknown group " + route.group.value() + ".",
                   "Name one of the table's groups.");
  }
  if (route.timeout_ms == 0) {
    return invalid("Route " + route.name + " has no time-out.", "Give a time-out of at least 1 ms.");
  }
  return std::nullopt;
}

/// A key belongs to one tenant. Errors name tenants, never keys.
std::optional<core::Error> check_tenants(const protocol::Tenants& tenants) {
  std::set<core::TenantName> names;
  std::map<protocol::KeyDigest, core::TenantName> holders;
  for (const protocol::Tenant& tenant : tenants) {
    if (auto error = check_name("tenant", tenant.name.value())) {
      return error;
    }
    if (!names.insert(tenant.name).second) {
      return invalid("Tenant " + tenant.name.value() + " is named twice.", "Name each tenant once.");
    }
    for (const protocol::KeyDigest& key : tenant.keys) {
      const auto [holder, is_new] = holders.emplace(key, tenant.name);
      if (!is_new && holder->second != tenant.name) {
        return invalid(
            "Tenants " + holder->second.value() + " and " + tenant.name.value() + " hold the same key.",
            "Give each key to one tenant.");
      }
    }
  }
  return std::nullopt;
}

std::optional<core::Error> check_table(const RouteTable& table) {
  if (table.version == 0) {
    return invalid("The table has no version.", "Give a version above that of the table in force.");
  }
  std::set<core::GroupName> groups;
  for (const RoutedGroup& group : table.groups) {
    if (auto error = check_name("group", group.name.value())) {
      return error;
    }
    if (!groups.insert(group.name).second) {
      return invalid("Group " + group.name.value() + " is named twice.", "Name each group once.");
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : table.routes) {
    if (auto error = check_route(route, groups)) {
      return error;
    }
    if (!places.emplace(route.database, route.path_prefix).second) {
      return invalid("Two routes serve " + route.database + " " + route.path_prefix + ".",
                     "Keep one route for each database name and prefix.");
    }
  }
  return table.tenants ? check_tenants(*table.tenants) : std::nullopt;
}

/// The group as the table describes it; nothing when it is so already.
std::optional<Group> revised_group(const Configuration& configuration, const RoutedGroup& routed) {
  const Group* current = find(configuration.groups, routed.name);
  const bool same = current != nullptr && current->self_registered &&
                    current->connection_limit == routed.connection_limit &&
                    current->sync_replicas == routed.sync_replicas;
  if (same) {
    return std::nullopt;
  }
  Group group = current == nullptr ? Group{} : *current;
  group.name = routed.name;
  group.self_registered = true;
  group.connection_limit = routed.connection_limit;
  group.sync_replicas = routed.sync_replicas;
  for (Database& database : group.databases) {
    set_connection_limit(database, group.connection_limit);
  }
  return group;
}

}  // namespace

Plan plan_one(const PlanContext& context, const PutRouteTable& put) {
  if (auto error = check_table(put.table)) {
    return Plan{error, 0, std::nullopt};
  }
  if (put.table.version <= context.configuration.routes.version) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  for (const RoutedGroup& routed : put.table.groups) {
    if (auto refusal = declared_by_operators(context.configuration, routed.name)) {
      return *refusal;
    }
    if (auto group = revised_group(context.configuration, routed)) {
      change.groups.push_back(std::move(*group));
    }
  }
  if (context.configuration.routes.version == 0) {
    change.routes = put.table;
  } else {
    change.route_edit = protocol::edit_between(context.configuration.routes, put.table);
  }
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

}  // namespace pipitpond::configuration
