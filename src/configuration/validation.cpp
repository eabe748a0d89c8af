#include "configuration/validation.hpp"

#include <algorithm>
#include <cctype>
#include <set>

namespace pipitpond::configuration {
namespace {

using protocol::Configuration;
using protocol::Database;
using protocol::Group;

core::Error invalid(std::string message, std::string remedy) {
  return core::Error{core::ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), 0};
}

constexpr std::size_t kMaxIdentityDigits = 16;

bool is_name_character(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return std::isalnum(byte) != 0 || character == '.' || character == '_' || character == '-';
}

bool is_hexadecimal_digit(char character) {
  return std::isxdigit(static_cast<unsigned char>(character)) != 0;
}

std::optional<core::Error> check_database(const Configuration& configuration, const Database& database) {
  if (auto error = check_name("database", database.id.value())) {
    return error;
  }
  const std::string named = "Database " + database.id.value();
  if (database.connection_limit == 0) {
    return invalid(named + " has no connection_limit.",
                   "Give the limit that the database enforces, at least 1.");
  }
  if (database.slots == 0) {
    return invalid(named + " has no slots.",
                   "Give the number of statements that it runs at once, at least 1.");
  }
  if (database.endpoint.port == 0) {
    return invalid(named + " has no endpoint.", "Give its endpoint as address:port.");
  }
  if (!configuration.zones.contains(database.zone)) {
    return invalid(named + " names the unknown zone " + database.zone.value() + ".",
                   "Create the zone first, or name one of those that GET /v1/zones lists.");
  }
  return std::nullopt;
}

std::optional<core::Error> check_distinct(const std::vector<Database>& databases) {
  std::set<core::DatabaseId> ids;
  std::set<core::Endpoint> endpoints;
  for (const Database& database : databases) {
    if (!ids.insert(database.id).second) {
      return invalid("Database " + database.id.value() + " is named twice.",
                     "Give each database its own id.");
    }
    if (!endpoints.insert(database.endpoint).second) {
      return invalid("Endpoint " + core::to_string(database.endpoint) + " is named twice.",
                     "Give each database its own endpoint.");
    }
  }
  return std::nullopt;
}

std::optional<core::Error> check_not_used(const Group& other, const Database& database) {
  for (const Database& used : other.databases) {
    if (used.id == database.id) {
      return invalid("Database " + database.id.value() + " belongs to group " + other.name.value() + ".",
                     "Choose another id, or remove it from that group first.");
    }
    if (used.endpoint == database.endpoint) {
      return invalid("Endpoint " + core::to_string(database.endpoint) + " belongs to database " +
                         used.id.value() + " of group " + other.name.value() + ".",
                     "Correct the endpoint, or remove that database first.");
    }
  }
  return std::nullopt;
}

const Database* find_database(const std::vector<Database>& databases, const core::DatabaseId& id) {
  const auto found = std::find_if(databases.begin(), databases.end(),
                                  [&id](const Database& database) { return database.id == id; });
  return found == databases.end() ? nullptr : &*found;
}

std::optional<core::Error> check_endpoints_kept(const Group& current, const PutGroup& put) {
  for (const Database& database : put.databases) {
    const Database* before = find_database(current.databases, database.id);
    if (before != nullptr && before->endpoint != database.endpoint) {
      return invalid("Database " + database.id.value() +
                         " can't move to another endpoint: its peers replicate to " +
                         core::to_string(before->endpoint) + ".",
                     "Add the new machine under a new id, then remove the old database.");
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<core::Error> check_name(const std::string& what, const std::string& name) {
  const bool good = !name.empty() && name.size() <= kMaxNameBytes &&
                    std::all_of(name.begin(), name.end(), is_name_character);
  if (good) {
    return std::nullopt;
  }
  return invalid("The " + what + " has no valid name.",
                 "Use 1 to " + std::to_string(kMaxNameBytes) + " letters, digits, '.', '_' and '-'.");
}

std::optional<core::Error> check_control_id(const core::ControlId& id) {
  const std::string& text = id.value();
  const auto mark = text.find('#');
  if (auto error = check_name("control replica", text.substr(0, mark))) {
    return error;
  }
  const std::string number = mark == std::string::npos ? "0" : text.substr(mark + 1);
  const bool good = !number.empty() && number.size() <= kMaxIdentityDigits &&
                    std::all_of(number.begin(), number.end(), is_hexadecimal_digit);
  if (good) {
    return std::nullopt;
  }
  return invalid("The control replica " + text + " has no valid identity.",
                 "Use the machine's name, or the identity that GET /v1/status lists.");
}

std::optional<core::Error> check_group(const Configuration& configuration, const PutGroup& put) {
  if (put.databases.empty() || put.databases.size() > kMaxDatabasesPerGroup) {
    return invalid(
        "Group " + put.name.value() + " has " + std::to_string(put.databases.size()) + " databases.",
        "Name 1 to " + std::to_string(kMaxDatabasesPerGroup) + " databases; 3 survive the loss of one.");
  }
  for (const Database& database : put.databases) {
    if (auto error = check_database(configuration, database)) {
      return error;
    }
  }
  if (auto error = check_distinct(put.databases)) {
    return error;
  }
  for (const auto& [name, other] : configuration.groups) {
    if (name == put.name) {
      continue;
    }
    for (const Database& database : put.databases) {
      if (auto error = check_not_used(other, database)) {
        return error;
      }
    }
  }
  if (!put.policy.empty() && !configuration.policies.contains(put.policy)) {
    return invalid("Group " + put.name.value() + " names the unknown policy " + put.policy.value() + ".",
                   "Create the policy first, or leave it out for the default one.");
  }
  return std::nullopt;
}

std::optional<core::Error> check_membership(const Group& current, const PutGroup& put,
                                            const Members& promoted_members) {
  if (current.terms.empty()) {
    return std::nullopt;
  }
  if (auto error = check_endpoints_kept(current, put)) {
    return error;
  }
  Members wanted;
  for (const Database& database : put.databases) {
    wanted.insert(database.id);
  }
  Members declared;
  for (const Database& database : current.databases) {
    declared.insert(database.id);
  }
  if (wanted == declared) {
    return std::nullopt;
  }
  const auto primary = protocol::current_primary(current);
  if (!primary) {
    return core::Error{core::ErrorKind::kUnavailable,
                       "Group " + put.name.value() + " is changing its primary.",
                       "Send the change again with a new key once GET /v1/status shows a primary.", 1000};
  }
  if (!wanted.contains(primary->primary)) {
    return invalid("Database " + primary->primary.value() + " is the primary and can't be removed.",
                   "Drain it with POST /v1/drain, wait until another is primary, then remove it.");
  }
  // Majorities of two sets that differ by one member meet; by two they need not, and a write acknowledged by
  // the old set could be missed by a fence of the new one.
  Members difference;
  std::set_symmetric_difference(wanted.begin(), wanted.end(), promoted_members.begin(),
                                promoted_members.end(), std::inserter(difference, difference.end()));
  if (difference.size() > 1) {
    return invalid("Group " + put.name.value() +
                       " would change by more than one database since its last change "
                       "of primary.",
                   "Add or remove one database, drain the primary so that another takes over, then go on.");
  }
  return std::nullopt;
}

}  // namespace pipitpond::configuration
