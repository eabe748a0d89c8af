#include "configuration/database_notice_plan.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "configuration/plan_steps.hpp"
#include "configuration/self_registered_groups.hpp"
#include "configuration/validation.hpp"

namespace pipitpond::configuration {
namespace {

using protocol::Change;
using protocol::Configuration;
using protocol::Database;
using protocol::Group;
using protocol::TermStart;

/// The group as the change leaves it; part of the change from now on.
Group& changed_group(const Configuration& configuration, Change& change, const core::GroupName& name) {
  const auto found = std::find_if(change.groups.begin(), change.groups.end(),
                                  [&](const Group& group) { return group.name == name; });
  if (found != change.groups.end()) {
    return *found;
  }
  const Group* current = find(configuration.groups, name);
  Group group = current == nullptr ? Group{} : *current;
  group.name = name;
  group.self_registered = true;
  change.groups.push_back(std::move(group));
  return change.groups.back();
}

auto find_in(std::vector<Database>& databases, const core::DatabaseId& id) {
  return std::find_if(databases.begin(), databases.end(),
                      [&id](const Database& database) { return database.id == id; });
}

bool is_other_at_endpoint(const Database& other, const Database& database) {
  return other.id != database.id && other.endpoint == database.endpoint;
}

/// Self-registered members of all groups that are known at the endpoint of this database.
std::vector<const Database*> others_at_endpoint(const Configuration& configuration,
                                                const Database& database) {
  std::vector<const Database*> others;
  for (const auto& [name, group] : configuration.groups) {
    for (const Database& other : group.databases) {
      if (group.self_registered && is_other_at_endpoint(other, database)) {
        others.push_back(&other);
      }
    }
  }
  return others;
}

/// The rule of versions that did not ask: an endpoint is used by one database at a time, the last one to say
/// so.
void drop_others_at_endpoint(const Configuration& configuration, Change& change, const Database& database) {
  for (const Database* other : others_at_endpoint(configuration, database)) {
    const Group* holder = protocol::group_of(configuration, other->id);
    std::erase_if(changed_group(configuration, change, holder->name).databases,
                  [&](const Database& one) { return is_other_at_endpoint(one, database); });
  }
}

/// Members that have ended if the database is at its endpoint. One of another group is known to have once it
/// has departed.
std::vector<const Database*> displaced_members(const Configuration& configuration,
                                               const core::GroupName& own_group, const Database& database) {
  std::vector<const Database*> displaced = others_at_endpoint(configuration, database);
  std::erase_if(displaced, [&](const Database* other) {
    return other->departed && protocol::group_of(configuration, other->id)->name != own_group;
  });
  return displaced;
}

/// The log of a member of the same group has passed to the database that took its place. A member of another
/// group takes its log along, so it counts until that is no longer needed.
void displace(const Configuration& configuration, Change& change, const core::GroupName& own_group,
              const std::vector<const Database*>& displaced) {
  for (const Database* member : displaced) {
    const Group* holder = protocol::group_of(configuration, member->id);
    std::vector<Database>& members = changed_group(configuration, change, holder->name).databases;
    const auto ended = find_in(members, member->id);
    if (holder->name == own_group) {
      members.erase(ended);
    } else {
      ended->departed = true;
      ended->draining = true;
    }
  }
}

/// Whether a message of the life `told` came after a later life was known. 0: a birth that is not known.
bool is_of_earlier_life(std::uint64_t told, std::uint64_t known) {
  return told > 0 && told < known;
}

/// Whether `told` began after the life that is known.
bool is_later_life(std::uint64_t told, std::uint64_t known) {
  return known > 0 && told > known;
}

/// Whether the message comes from a database that was removed, and of no later life.
bool is_removed(const PlanContext& context, const Database& told) {
  if (context.removed_databases == nullptr || !context.removed_databases->contains(told.id)) {
    return false;
  }
  const std::uint64_t* birth =
      context.removed_births == nullptr ? nullptr : find(*context.removed_births, told.id);
  return birth == nullptr || !is_later_life(told.born, *birth);
}

/// Whether the message is late: what it says of a life has been overtaken.
bool is_late(const PlanContext& context, const RegisterDatabase& registration, const Database* known) {
  const Database& told = registration.database;
  if (known != nullptr) {
    return is_of_earlier_life(told.born, known->born);
  }
  if (registration.endpoint_answer == EndpointAnswer::kThisDatabase) {
    return false;
  }
  const std::vector<const Database*> others = others_at_endpoint(context.configuration, told);
  const bool was_followed = registration.endpoint_answer != EndpointAnswer::kNotAsked &&
                            std::any_of(others.begin(), others.end(), [&](const Database* other) {
                              return is_of_earlier_life(told.born, other->born);
                            });
  return was_followed || is_removed(context, told);
}

/// A member after its message: what is remembered of it holds on within one life.
Database updated_member(const Database& known, const Database& told, EndpointAnswer answer) {
  Database next = told;
  if (is_later_life(told.born, known.born)) {
    next.departed = false;
    next.log_unproven = true;
    return next;
  }
  const bool may_move = answer == EndpointAnswer::kThisDatabase || answer == EndpointAnswer::kNotAsked;
  if (!may_move) {
    next.endpoint = known.endpoint;
  }
  next.draining = told.draining || known.draining;
  next.departed = known.departed;
  next.born = std::max(told.born, known.born);
  next.log_unproven = known.log_unproven;
  return next;
}

Database new_member(const PlanContext& context, const Database& told) {
  Database next = told;
  next.log_unproven = false;  // So far no write counts as acknowledged because of its log.
  // A removed life that still answers had announced its end, and was out of control's sight since.
  next.departed = is_removed(context, told);
  next.draining = told.draining || next.departed;
  return next;
}

bool says_the_same(const Database& left, const Database& right) {
  return left.endpoint == right.endpoint && left.zone == right.zone && left.slots == right.slots &&
         left.draining == right.draining && left.connection_limit == right.connection_limit &&
         left.born == right.born;
}

std::optional<core::Error> check(const RegisterDatabase& registration) {
  const Database& told = registration.database;
  if (auto error = check_name("database", told.id.value())) {
    return error;
  }
  if (auto error = check_name("group", registration.group.value())) {
    return error;
  }
  if (told.endpoint.port == 0) {
    return core::Error{core::ErrorKind::kInvalidArgument, "Database " + told.id.value() + " has no endpoint.",
                       "Give its endpoint as address:port.", 0};
  }
  return std::nullopt;
}

/// Why the claim of a notice can't be true; nothing when it can. Versions that did not ask endpoints believed
/// all.
std::optional<Plan> refused_claim(const PlanContext& context, const RegisterDatabase& registration) {
  const Database& told = registration.database;
  if (registration.endpoint_answer == EndpointAnswer::kNotAsked) {
    return std::nullopt;
  }
  const bool has_routes = context.configuration.routes.version > 0;
  if (has_routes && find(context.configuration.groups, registration.group) == nullptr) {
    return refused(core::ErrorKind::kNotFound,
                   "The table of routes names no group " + registration.group.value() + ".",
                   "Name the group in the table; the database's next heartbeat registers it.");
  }
  const Group* holder = protocol::group_of(context.configuration, told.id);
  if (holder != nullptr && holder->name != registration.group) {
    return refused(core::ErrorKind::kConflict,
                   "Database " + told.id.value() + " is a member of group " + holder->name.value() + ".",
                   "Use another id in another group.");
  }
  const Database* known = holder == nullptr ? nullptr : protocol::find_database(*holder, told.id);
  if (known != nullptr && known->born > 0 && told.born == 0) {
    return refused(core::ErrorKind::kInvalidArgument,
                   "Database " + told.id.value() + " does not say when it was born, as it did before.",
                   "Send the birth with each heartbeat.");
  }
  if (registration.endpoint_answer == EndpointAnswer::kAnotherDatabase) {
    return refused(
        core::ErrorKind::kConflict,
        "Another database answers at " + core::to_string(told.endpoint) + " than " + told.id.value() + ".",
        "Send the endpoint at which the database itself answers.");
  }
  return std::nullopt;
}

}  // namespace

bool needs_endpoint_answer(const Configuration& configuration, const RegisterDatabase& registration) {
  const Database& told = registration.database;
  const Group* group = find(configuration.groups, registration.group);
  const Database* known = group == nullptr ? nullptr : protocol::find_database(*group, told.id);
  return known == nullptr || known->endpoint != told.endpoint ||
         !displaced_members(configuration, registration.group, told).empty();
}

Plan plan_one(const PlanContext& context, const RegisterDatabase& registration) {
  if (auto error = check(registration)) {
    return Plan{error, 0, std::nullopt};
  }
  const Database& told = registration.database;
  const EndpointAnswer answer = registration.endpoint_answer;
  const Group* current = find(context.configuration.groups, registration.group);
  const Database* known = current == nullptr ? nullptr : protocol::find_database(*current, told.id);
  if (is_late(context, registration, known)) {
    return unchanged(context.configuration.revision);
  }
  if (auto refusal = declared_by_operators(context.configuration, registration.group)) {
    return *refusal;
  }
  if (auto refusal = refused_claim(context, registration)) {
    return *refusal;
  }
  Change change = next_change(context.configuration);
  Group& group = changed_group(context.configuration, change, registration.group);
  Database next = known == nullptr ? new_member(context, told) : updated_member(*known, told, answer);
  set_connection_limit(next, group.connection_limit);
  std::vector<const Database*> displaced;
  if (answer == EndpointAnswer::kThisDatabase) {
    displaced = displaced_members(context.configuration, registration.group, next);
  }
  if (known != nullptr && says_the_same(next, *known) && displaced.empty()) {
    return unchanged(context.configuration.revision);
  }
  if (known == nullptr) {
    group.databases.push_back(next);
  } else {
    *find_in(group.databases, told.id) = next;
  }
  displace(context.configuration, change, registration.group, displaced);
  if (answer == EndpointAnswer::kNotAsked) {
    drop_others_at_endpoint(context.configuration, change, next);
  }
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const DepartDatabase& departure) {
  const Group* current = protocol::group_of(context.configuration, departure.database);
  if (current == nullptr || !current->self_registered) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  Group& group = changed_group(context.configuration, change, current->name);
  Database& database = *find_in(group.databases, departure.database);
  const bool later_life = is_later_life(departure.born, database.born);
  if (is_of_earlier_life(departure.born, database.born) || (database.departed && !later_life)) {
    return unchanged(context.configuration.revision);
  }
  if (later_life) {
    database.born = departure.born;
    database.log_unproven = true;
  }
  database.departed = true;
  database.draining = true;
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const RemoveDatabase& removal) {
  const Group* current = protocol::group_of(context.configuration, removal.database);
  if (current == nullptr || !current->self_registered) {
    return unchanged(context.configuration.revision);
  }
  const Database& known = *protocol::find_database(*current, removal.database);
  const bool of_another_life = removal.born > 0 && removal.born != known.born;
  if (!known.departed || of_another_life) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  Group& group = changed_group(context.configuration, change, current->name);
  group.databases.erase(find_in(group.databases, removal.database));
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const AdoptPrimary& adoption) {
  const Group* current = find(context.configuration.groups, adoption.group);
  const Group* holder = protocol::group_of(context.configuration, adoption.primary);
  if (current == nullptr || holder != current || !current->self_registered || adoption.term == 0) {
    return refused(core::ErrorKind::kInvalidArgument,
                   "Database " + adoption.primary.value() + " can't be adopted as a primary.",
                   "Adopt a registered database of the group, with its term.");
  }
  if (!current->terms.empty()) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  Group& group = changed_group(context.configuration, change, current->name);
  group.terms.push_back(TermStart{adoption.term, adoption.primary, {}});
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

Plan plan_one(const PlanContext& context, const ProveDatabaseLog& proof) {
  const Database* known = protocol::find_database(context.configuration, proof.database);
  if (known == nullptr || !known->log_unproven || known->born != proof.born) {
    return unchanged(context.configuration.revision);
  }
  Change change = next_change(context.configuration);
  const Group* current = protocol::group_of(context.configuration, proof.database);
  Group& group = changed_group(context.configuration, change, current->name);
  find_in(group.databases, proof.database)->log_unproven = false;
  return Plan{std::nullopt, context.configuration.revision, std::move(change)};
}

}  // namespace pipitpond::configuration
