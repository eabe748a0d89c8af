#include "configuration/self_registered_groups.hpp"

#include <algorithm>

#include "configuration/plan_steps.hpp"
#include "configuration/registry_plan.hpp"

namespace pipitpond::configuration {
namespace {

/// Connections that proxies may share, of those that the database takes.
std::uint32_t proxies_share(std::uint32_t limit) {
  return limit > 2 * kConnectionsForControl ? limit - kConnectionsForControl : limit;
}

}  // namespace

void set_connection_limit(protocol::Database& database, std::uint32_t group_limit) {
  database.connection_limit = proxies_share(group_limit);
  const std::uint32_t fewest = std::min(database.connection_limit, kFewestOwners);
  const std::uint32_t served = database.connection_limit / kConnectionsPerOwner;
  database.max_owners = std::clamp(served, fewest, std::max(fewest, kMostOwners));
}

std::optional<Plan> declared_by_operators(const protocol::Configuration& configuration,
                                          const core::GroupName& name) {
  const protocol::Group* group = find(configuration.groups, name);
  if (group == nullptr || group->self_registered || group->databases.empty()) {
    return std::nullopt;
  }
  return refused(core::ErrorKind::kConflict, "Operators declare the databases of group " + name.value() + ".",
                 "Use another name for the group whose databases register by themselves.", group->revision);
}

}  // namespace pipitpond::configuration
