#include "failover/departed_database_removal.hpp"

#include <algorithm>

namespace pipitpond::failover {

bool DepartureWatch::needed(const protocol::Group& group) {
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [](const protocol::Database& one) { return one.departed; });
}

void DepartureWatch::tick(core::Instant now, const protocol::Group& group, const core::DatabaseId& primary,
                          const MemberWatch& watch, std::vector<Effect>& effects) {
  const database::StatusAnswer* status = watch.status(primary);
  if (status == nullptr || !watch.reachable(now, primary)) {
    return;
  }
  for (const protocol::Database& departed : group.databases) {
    if (!departed.departed || departed.id == primary || !watch.silent(departed.id)) {
      held_by_primary_.erase(departed.id);
      continue;
    }
    const core::LogPosition held = held_by_primary_.try_emplace(departed.id, status->received).first->second;
    const bool caught_up =
        std::any_of(group.databases.begin(), group.databases.end(), [&](const protocol::Database& other) {
          const database::StatusAnswer* seen = watch.status(other.id);
          return other.id != primary && !other.departed && watch.reachable(now, other.id) &&
                 seen != nullptr && seen->received >= held;
        });
    if (caught_up) {
      effects.emplace_back(ProposeRemoveDatabase{departed.id});
    }
  }
}

}  // namespace pipitpond::failover
