#include "configuration/database_notice_plan.hpp"

#include <algorithm>
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

/// The databases that had this one's endpoint: gone, for an address is used by one at a time.
void drop_predecessors(const Configuration& configuration, Change& change, const Database& database) {
  const auto is_predecessor = [&](const Database& other) {
    return other.id != database.id && other.endpoint == database.endpoint;
  };
  for (const auto& [name, group] : configuration.groups) {
    const bool clashes = std::any_of(group.databases.begin(), group.databases.end(), is_predecessor);
    if (clashes && group.self_registered) {
      std::erase_if(changed_group(configuration, change, name).databases, is_predecessor);
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

/// A member after its message: what is remembered of it holds on within one life.
Database updated_member(const Database& known, const Database& told) {
  Database next = told;
  if (is_later_life(told.born, known.born)) {
    next.departed = false;
    next.log_unproven = true;
    return next;
  }
  next.draining = told.draining || known.draining;
  next.departed = known.departed;
  next.born = std::max(told.born, known.born);
  next.log_unproven = known.log_unproven;
  return next;
}

Database new_member(const Database& told) {
  Database next = told;
  next.departed = false;
  next.log_unproven = false;  // The group has one member more, whose log nothing has been acknowledged by.
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

}  // namespace

Plan plan_one(const PlanContext& context, const RegisterDatabase& registration) {
  if (auto error = check(registration)) {
    return Plan{error, 0, std::nullopt};
  }
  const Database& told = registration.database;
  if (is_removed(context, told)) {
    return unchanged(context.configuration.revision);
  }
  if (auto refusal = declared_by_operators(context.configuration, registration.group)) {
    return *refusal;
  }
  Change change = next_change(context.configuration);
  Group& group = changed_group(context.configuration, change, registration.group);
  const auto known = find_in(group.databases, told.id);
  Database next;
  if (known == group.databases.end()) {
    next = new_member(told);
    set_connection_limit(next, group.connection_limit);
    group.databases.push_back(next);
  } else {
    next = updated_member(*known, told);
    set_connection_limit(next, group.connection_limit);
    if (is_of_earlier_life(told.born, known->born) || says_the_same(next, *known)) {
      return unchanged(context.configuration.revision);
    }
    *known = next;
  }
  drop_predecessors(context.configuration, change, next);
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
