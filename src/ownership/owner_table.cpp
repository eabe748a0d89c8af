#include "ownership/owner_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "ownership/owner_choice.hpp"

namespace pipitpond::ownership {
namespace {

bool contains(const std::vector<core::DaemonId>& daemons, const core::DaemonId& daemon) {
  return std::find(daemons.begin(), daemons.end(), daemon) != daemons.end();
}

}  // namespace

void OwnerTable::update(const protocol::Configuration& configuration) {
  LiveDaemons next = live_daemons(configuration);
  const DaemonChanges changes = changes_to(next);
  live_ = std::move(next);
  for (auto& [database, entry] : entries_) {
    entry.declared = false;
  }
  declared_by_.clear();
  for (const auto& [name, group] : configuration.groups) {
    std::vector<core::DatabaseId>& declared = declared_by_[name];
    for (const protocol::Database& database : group.databases) {
      update_entry(name, database, changes);
      declared.push_back(database.id);
    }
  }
  std::erase_if(entries_, [](const auto& entry) { return !entry.second.declared; });
}

void OwnerTable::apply(const protocol::Change& change) {
  const DaemonChanges changes = take_daemons(change);
  for (const protocol::Group& group : change.groups) {
    take_group(group);
  }
  if (changes.joined.empty() && changes.departed.empty()) {
    return;
  }
  for (auto& [database, entry] : entries_) {
    choose_owners(database, entry, changes, false);
  }
}

OwnerTable::DaemonChanges OwnerTable::take_daemons(const protocol::Change& change) {
  DaemonChanges changes;
  for (const protocol::Daemon& daemon : change.daemons) {
    const auto known = live_.find(daemon.id);
    const bool was_live = known != live_.end();
    const bool is_live = daemon.state == protocol::DaemonState::kLive;
    const bool moved = was_live && is_live && known->second != daemon.zone;
    if (was_live && (moved || !is_live)) {
      changes.departed.push_back(daemon.id);
      live_.erase(known);
    }
    if (is_live && (moved || !was_live)) {
      changes.joined.push_back(daemon.id);
      live_[daemon.id] = daemon.zone;
    }
  }
  for (const core::DaemonId& daemon : change.removed_daemons) {
    if (live_.erase(daemon) > 0) {
      changes.departed.push_back(daemon);
    }
  }
  return changes;
}

void OwnerTable::take_group(const protocol::Group& group) {
  std::vector<core::DatabaseId>& declared = declared_by_[group.name];
  for (const core::DatabaseId& database : declared) {
    const auto entry = entries_.find(database);
    if (entry != entries_.end() && entry->second.group == group.name) {
      entry->second.declared = false;
    }
  }
  const std::vector<core::DatabaseId> before = std::exchange(declared, {});
  for (const protocol::Database& database : group.databases) {
    update_entry(group.name, database, {});
    declared.push_back(database.id);
  }
  for (const core::DatabaseId& database : before) {
    const auto entry = entries_.find(database);
    if (entry != entries_.end() && !entry->second.declared) {
      entries_.erase(entry);
    }
  }
}

const std::vector<core::DaemonId>& OwnerTable::owners(const core::DatabaseId& database) const {
  static const std::vector<core::DaemonId> kNone;
  const auto found = entries_.find(database);
  return found == entries_.end() ? kNone : found->second.owners;
}

std::map<core::DatabaseId, Budget> OwnerTable::budgets(const core::DaemonId& self) const {
  std::map<core::DatabaseId, Budget> budgets;
  for (const auto& [database, entry] : entries_) {
    const Budget own{share(entry.connection_limit, entry.owners, self),
                     share(entry.slots, entry.owners, self)};
    if (own.connections > 0) {
      budgets[database] = own;
    }
  }
  return budgets;
}

OwnerTable::LiveDaemons OwnerTable::live_daemons(const protocol::Configuration& configuration) {
  LiveDaemons live;
  for (const auto& [id, daemon] : configuration.daemons) {
    if (daemon.state == protocol::DaemonState::kLive) {
      live.emplace_hint(live.end(), id, daemon.zone);
    }
  }
  return live;
}

OwnerTable::DaemonChanges OwnerTable::changes_to(const LiveDaemons& next) const {
  DaemonChanges changes;
  for (const auto& [daemon, zone] : live_) {
    const auto found = next.find(daemon);
    if (found == next.end() || found->second != zone) {
      changes.departed.push_back(daemon);
    }
  }
  for (const auto& [daemon, zone] : next) {
    const auto found = live_.find(daemon);
    if (found == live_.end() || found->second != zone) {
      changes.joined.push_back(daemon);
    }
  }
  return changes;
}

/// When the owners are as many as wanted, half of them near and the rest each from a zone of its own, every
/// step of choose() has taken the heaviest that it accepts, so that a lighter newcomer is taken by none.
std::optional<std::uint64_t> OwnerTable::least_weight(const core::DatabaseId& database, const Entry& entry,
                                                      std::size_t wanted) const {
  std::vector<const core::ZoneName*> zones;
  std::size_t near = 0;
  std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
  for (const core::DaemonId& owner : entry.owners) {
    const core::ZoneName& zone = live_.at(owner);
    const bool seen =
        std::any_of(zones.begin(), zones.end(), [&](const core::ZoneName* other) { return *other == zone; });
    if (zone == entry.zone) {
      ++near;
    } else if (seen) {
      return std::nullopt;
    }
    zones.push_back(&zone);
    least = std::min(least, weight_of(owner, database));
  }
  const bool regular = entry.owners.size() == wanted && near == near_owner_count(wanted);
  return regular ? std::optional(least) : std::nullopt;
}

void OwnerTable::update_entry(const core::GroupName& group, const protocol::Database& database,
                              const DaemonChanges& changes) {
  const auto [found, is_new] = entries_.try_emplace(database.id);
  Entry& entry = found->second;
  const bool redeclared = entry.zone != database.zone || entry.slots != database.slots ||
                          entry.connection_limit != database.connection_limit ||
                          entry.max_owners != database.max_owners;
  entry.zone = database.zone;
  entry.slots = database.slots;
  entry.connection_limit = database.connection_limit;
  entry.max_owners = database.max_owners;
  entry.group = group;
  entry.declared = true;
  choose_owners(database.id, entry, changes, is_new || redeclared);
}

void OwnerTable::choose_owners(const core::DatabaseId& database, Entry& entry, const DaemonChanges& changes,
                               bool anew) {
  const bool lost_an_owner =
      std::any_of(entry.owners.begin(), entry.owners.end(),
                  [&](const core::DaemonId& owner) { return contains(changes.departed, owner); });
  const bool from_all = anew || lost_an_owner;
  const bool none_joins =
      std::all_of(changes.joined.begin(), changes.joined.end(), [&](const core::DaemonId& daemon) {
        return entry.least_weight && weight_of(daemon, database) < *entry.least_weight;
      });
  if (!from_all && none_joins) {
    return;
  }
  std::vector<Candidate> candidates;
  const auto add = [&](const auto& daemon) { candidates.push_back({&daemon->first, &daemon->second, 0}); };
  if (from_all) {
    for (auto daemon = live_.begin(); daemon != live_.end(); ++daemon) {
      add(daemon);
    }
  } else {
    for (const core::DaemonId& owner : entry.owners) {
      add(live_.find(owner));
    }
    for (const core::DaemonId& daemon : changes.joined) {
      if (!contains(entry.owners, daemon)) {
        add(live_.find(daemon));
      }
    }
  }
  weigh(candidates, database);
  const std::size_t wanted = owner_count(entry.slots, entry.connection_limit, entry.max_owners);
  entry.owners = choose(candidates, entry.zone, wanted);
  entry.least_weight = least_weight(database, entry, wanted);
}

}  // namespace pipitpond::ownership
