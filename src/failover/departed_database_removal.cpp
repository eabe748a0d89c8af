#include "failover/departed_database_removal.hpp"

#include <algorithm>

namespace pipitpond::failover {

bool DepartedDatabaseRemoval::has_departed_database(const protocol::Group& group) {
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [](const protocol::Database& database) { return database.departed; });
}

void DepartedDatabaseRemoval::tick(core::Instant now, const protocol::Group& group,
                                   const core::DatabaseId& primary, const MemberProbes& probes,
                                   std::vector<Effect>& effects) {
  const database::StatusAnswer* status = probes.status(primary);
  const protocol::Database* leading = protocol::find_database(group, primary);
  const bool log_known = leading != nullptr && !leading->log_unproven;
  if (status == nullptr || !log_known || !probes.reachable(now, primary)) {
    return;
  }
  for (const protocol::Database& departed : group.databases) {
    if (!departed.departed || departed.id == primary || !probes.suspected_unreachable(departed.id)) {
      silent_.erase(departed.id);
      continue;
    }
    Silent& silent = silent_.try_emplace(departed.id, Silent{now, std::nullopt}).first->second;
    if (!silent.primary_position && probes.answered_since(primary, silent.since)) {
      silent.primary_position = status->received;
    }
    if (!silent.primary_position) {
      continue;
    }
    const bool caught_up =
        std::any_of(group.databases.begin(), group.databases.end(), [&](const protocol::Database& other) {
          const database::StatusAnswer* other_status = probes.status(other.id);
          return other.id != primary && !other.departed && probes.reachable(now, other.id) &&
                 other_status != nullptr && other_status->received >= *silent.primary_position;
        });
    if (caught_up) {
      effects.emplace_back(ProposeRemoveDatabase{departed.id, departed.born});
    }
  }
}

}  // namespace pipitpond::failover
