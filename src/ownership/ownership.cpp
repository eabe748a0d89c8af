#include "ownership/ownership.hpp"

#include <algorithm>

#include "ownership/owner_choice.hpp"

namespace pipitpond::ownership {

namespace {

std::vector<core::DaemonId> owners_of(const protocol::Configuration& configuration,
                                      const protocol::Database& database) {
  std::vector<Candidate> candidates;
  for (const auto& [id, daemon] : configuration.daemons) {
    if (daemon.state == protocol::DaemonState::kLive) {
      candidates.push_back(Candidate{&id, &daemon.zone, 0});
    }
  }
  weigh(candidates, database.id);
  const std::size_t wanted = owner_count(database.slots, database.connection_limit, database.max_owners);
  return choose(candidates, database.zone, wanted);
}

Budget budget_of(const protocol::Configuration& configuration, const protocol::Database& database,
                 const core::DaemonId& self) {
  const std::vector<core::DaemonId> owners = owners_of(configuration, database);
  return Budget{share(database.connection_limit, owners, self), share(database.slots, owners, self)};
}

}  // namespace

std::vector<core::DaemonId> owners(const protocol::Configuration& configuration,
                                   const core::DatabaseId& database) {
  const protocol::Database* declared = find_database(configuration, database);
  return declared == nullptr ? std::vector<core::DaemonId>() : owners_of(configuration, *declared);
}

std::uint32_t share(std::uint32_t limit, const std::vector<core::DaemonId>& owners,
                    const core::DaemonId& self) {
  const auto found = std::find(owners.begin(), owners.end(), self);
  if (found == owners.end()) {
    return 0;
  }
  const auto count = static_cast<std::uint32_t>(owners.size());
  const auto rank = static_cast<std::uint32_t>(found - owners.begin());
  const std::uint32_t extra = rank < limit % count ? 1 : 0;
  return limit / count + extra;
}

Budget budget(const protocol::Configuration& configuration, const core::DatabaseId& database,
              const core::DaemonId& self) {
  const protocol::Database* declared = find_database(configuration, database);
  return declared == nullptr ? Budget{} : budget_of(configuration, *declared, self);
}

}  // namespace pipitpond::ownership
