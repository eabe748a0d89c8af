#include "configuration/registry_plan.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "configuration/plan_steps.hpp"
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
using protocol::TermStart;

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

/// Connections that proxies may share, of those that the database takes.
std::uint32_t proxies_share(std::uint32_t limit) {
  return limit > 2 * kConnectionsForControl ? limit - kConnectionsForControl : limit;
}

void set_connection_limit(Database& database, std::uint32_t group_limit) {
  database.connection_limit = proxies_share(group_limit);
  const std::uint32_t fewest = std::min(database.connection_limit, kFewestOwners);
  const std::uint32_t served = database.connection_limit / kConnectionsPerOwner;
  database.max_owners = std::clamp(served, fewest, std::max(fewest, kMostOwners));
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

/// A group that operators declare takes no databases or limits from elsewhere.
std::optional<Plan> declared_by_operators(const Configuration& configuration, const core::GroupName& name) {
  const Group* group = find(configuration.groups, name);
  if (group == nullptr || group->self_registered || group->databases.empty()) {
    return std::nullopt;
  }
  return refused(core::ErrorKind::kConflict, "Operators declare the databases of group " + name.value() + ".",
                 "Use another name for the group whose databases register by themselves.", group->revision);
}

Group* changed_group(const Configuration& configuration, Change& change, const core::GroupName& name) {
  const auto found = std::find_if(change.groups.begin(), change.groups.end(),
                                  [&](const Group& group) { return group.name == name; });
  if (found != change.groups.end()) {
    return &*found;
  }
  const Group* current = find(configuration.groups, name);
  Group group = current == nullptr ? Group{} : *current;
  group.name = name;
  group.self_registered = true;
  change.groups.push_back(std::move(group));
  return &change.groups.back();
}

auto find_in(std::vector<Database>& databases, const core::DatabaseId& id) {
  return std::find_if(databases.begin(), databases.end(),
                      [&id](const Database& database) { return database.id == id; });
}

/// The databases that had this one's endpoint: gone, for an address is used by one at a time.
void drop_predecessors(const Configuration& configuration, Change& change, const Database& database) {
  for (const auto& [name, group] : configuration.groups) {
    const bool clashes =
        std::any_of(group.databases.begin(), group.databases.end(), [&](const Database& other) {
          return other.id != database.id && other.endpoint == database.endpoint;
        });
    if (clashes && group.self_registered) {
      std::erase_if(changed_group(configuration, change, name)->databases, [&](const Database& other) {
        return other.id != database.id && other.endpoint == database.endpoint;
      });
    }
  }
}

/// The group that has the database, or null.
const Group* group_of(const Configuration& configuration, const core::DatabaseId& id) {
  for (const auto& [name, group] : configuration.groups) {
    for (const Database& database : group.databases) {
      if (database.id == id) {
        return &group;
      }
    }
  }
  return nullptr;
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

Plan plan_one(const PlanContext& context, const RegisterDatabase& registration) {
  const Database& told = registration.database;
  if (auto error = check_name("database", told.id.value())) {
    return Plan{error, 0, std::nullopt};
  }
  if (auto error = check_name("group", registration.group.value())) {
    return Plan{error, 0, std::nullopt};
  }
  if (told.endpoint.port == 0) {
    return refused(core::ErrorKind::kInvalidArgument, "Database " + told.id.value() + " has no endpoint.",
                   "Give its endpoint as address:port.");
  }
  if (context.removed_databases != nullptr && context.removed_databases->contains(told.id)) {
    return unchanged(context.configuration.revision);  // A late message of a database that has ended.
  }
  if (auto refusal = declared_by_operators(context.configuration, registration.group)) {
    return *refusal;
  }
  Change change = next_change(context.configuration);
  Group& group = *changed_group(context.configuration, change, registration.group);
  const auto known = find_in(group.databases, told.id);
  Database next = told;
  next.departed = false;
  set_connection_limit(next, group.connection_limit);
  if (known != group.databases.end()) {
    next.draining = told.draining || known->draining;
    next.departed = known->departed;
    const bool same = next.endpoint == known->endpoint && next.zone == known->zone &&
                      next.slots == known->slots && next.draining == known->draining &&
                      next.connection_limit == known->connection_limit;
    if (same) {
      return unchanged(context.configuration.revision);
    }
    *known = next;
  } else {
    group.databases.push_back(next);
  }
  drop_predecessors(context.configuration, change, next);
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const DepartDatabase& departure) {
  const Group* current = group_of(context.configuration, departure.database);
  if (current == nullptr || !current->self_registered) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  Group& group = *changed_group(context.configuration, change, current->name);
  Database& database = *find_in(group.databases, departure.database);
  if (database.departed) {
    return unchanged(context.configuration.revision);
  }
  database.departed = true;
  database.draining = true;
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const RemoveDatabase& removal) {
  const Group* current = group_of(context.configuration, removal.database);
  if (current == nullptr || !current->self_registered) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  Group& group = *changed_group(context.configuration, change, current->name);
  group.databases.erase(find_in(group.databases, removal.database));
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const AdoptPrimary& adoption) {
  const Group* current = find(context.configuration.groups, adoption.group);
  const Group* holder = group_of(context.configuration, adoption.primary);
  if (current == nullptr || holder != current || !current->self_registered || adoption.term == 0) {
    return refused(core::ErrorKind::kInvalidArgument,
                   "Database " + adoption.primary.value() + " can't be adopted as a primary.",
                   "Adopt a registered database of the group, with its term.");
  }
  if (!current->terms.empty()) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  Group& group = *changed_group(context.configuration, change, current->name);
  group.terms.push_back(TermStart{adoption.term, adoption.primary, {}});
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

}  // namespace pipitpond::configuration
