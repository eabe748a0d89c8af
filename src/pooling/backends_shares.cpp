// Sets how many connections this daemon may hold to each database.
#include <algorithm>

#include "pooling/backends.hpp"

namespace pipitpond::pooling {

namespace {

/// Connections that a daemon may open to a database that it does not own, when no owner can be reached.
constexpr std::uint32_t kConnectionsOfNonOwners = 1;

}  // namespace

/// Iterates over the configuration, which has each database's settings at hand: a lookup for each database
/// would take quadratic time.
void Backends::set_shares(const protocol::Configuration& configuration) {
  const auto self = configuration.daemons.find(self_);
  const bool is_live =
      self != configuration.daemons.end() && self->second.state == protocol::DaemonState::kLive && !closed_;
  for (const auto& [name, group] : configuration.groups) {
    GroupView& view = groups_.at(name);
    for (const protocol::Database& database : group.databases) {
      ConnectionShare share;
      const std::vector<core::DaemonId>& owners = agent_.owner_table().owners(database.id);
      if (is_live && owns(owners)) {
        share = own_share(configuration, database, owners, view.primary == database.id);
      } else if (is_live) {
        share.most = kConnectionsOfNonOwners;
      }
      view.members.at(database.id).pool->set_share(share);
    }
  }
}

ConnectionShare Backends::own_share(const protocol::Configuration& configuration,
                                    const protocol::Database& database,
                                    const std::vector<core::DaemonId>& owners, bool primary) const {
  const DatabaseCapacity capacity{database.connection_limit, database.slots};
  if (!configuration.routes.tenants) {
    return share_of(capacity, owners.size());
  }
  const auto is_near = [&](const core::DaemonId& owner) {
    const auto found = configuration.daemons.find(owner);
    return found != configuration.daemons.end() && found->second.zone == database.zone;
  };
  OwnerPlace place;
  place.owners = owners.size();
  place.near_owners = static_cast<std::size_t>(std::count_if(owners.begin(), owners.end(), is_near));
  place.is_near = zone_ == database.zone;
  place.primary = primary;
  return tenant_share_of(capacity, place);
}

bool Backends::owns(const std::vector<core::DaemonId>& owners) const {
  return std::find(owners.begin(), owners.end(), self_) != owners.end();
}

}  // namespace pipitpond::pooling
