#include "failover/returned_log_check.hpp"

#include <algorithm>

namespace pipitpond::failover {

bool ReturnedLogCheck::has_unproven_log(const protocol::Group& group) {
  return std::any_of(group.databases.begin(), group.databases.end(),
                     [](const protocol::Database& database) { return database.log_unproven; });
}

void ReturnedLogCheck::tick(core::Instant now, const protocol::Group& group, const core::DatabaseId& primary,
                            const MemberProbes& probes, std::vector<Effect>& effects) {
  std::erase_if(goals_, [&](const auto& goal) {
    const protocol::Database* member = protocol::find_database(group, goal.first);
    return member == nullptr || !member->log_unproven;
  });
  const protocol::Database* leading = protocol::find_database(group, primary);
  const database::StatusAnswer* status = probes.status(primary);
  const bool leads = leading != nullptr && status != nullptr && status->role == database::Role::kPrimary &&
                     probes.reachable(now, primary);
  if (!leads) {
    return;
  }
  if (leading->log_unproven) {
    if (primary_kept_its_log(now, group, primary, probes)) {
      effects.emplace_back(ProposeProveDatabaseLog{primary, leading->born});
    }
    return;  // What it holds proves nothing of its replicas yet.
  }
  for (const protocol::Database& database : group.databases) {
    const bool is_unproven_replica = database.log_unproven && database.id != primary;
    if (is_unproven_replica && replica_caught_up(now, database, primary, probes)) {
      effects.emplace_back(ProposeProveDatabaseLog{database.id, database.born});
    }
  }
}

bool ReturnedLogCheck::primary_kept_its_log(core::Instant now, const protocol::Group& group,
                                            const core::DatabaseId& primary, const MemberProbes& probes) {
  std::size_t compared = 0;
  for (const protocol::Database& replica : group.databases) {
    if (replica.id == primary || replica.log_unproven || !probes.reachable(now, replica.id)) {
      continue;
    }
    if (probes.status(replica.id)->received > probes.status(primary)->received) {
      return false;
    }
    ++compared;
  }
  return compared > 0;
}

bool ReturnedLogCheck::replica_caught_up(core::Instant now, const protocol::Database& replica,
                                         const core::DatabaseId& primary, const MemberProbes& probes) {
  Goal& goal = goals_[replica.id];
  if (goal.born != replica.born) {
    goal = Goal{replica.born, now, std::nullopt};
  }
  if (!goal.position && probes.answered_since(primary, goal.known_since)) {
    goal.position = probes.status(primary)->received;
  }
  return goal.position && probes.reachable(now, replica.id) &&
         probes.status(replica.id)->received >= *goal.position;
}

}  // namespace pipitpond::failover
