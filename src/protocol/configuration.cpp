#include "protocol/configuration.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace pipitpond::protocol {

RouteTableEdit edit_between(const RouteTable& before, const RouteTable& after) {
  RouteTableEdit edit;
  edit.base_version = before.version;
  edit.version = after.version;
  edit.transaction_idle_ms = after.transaction_idle_ms;
  if (before.groups != after.groups) {
    edit.groups = after.groups;
  }
  const auto first =
      std::mismatch(before.routes.begin(), before.routes.end(), after.routes.begin(), after.routes.end());
  const auto last = std::mismatch(before.routes.rbegin(), std::make_reverse_iterator(first.first),
                                  after.routes.rbegin(), std::make_reverse_iterator(first.second));
  edit.kept_first = static_cast<std::uint64_t>(first.first - before.routes.begin());
  edit.replaced = static_cast<std::uint64_t>(last.first.base() - first.first);
  edit.inserted.assign(first.second, last.second.base());
  if (after.tenants) {
    edit.tenants = edit_between(before.tenants.value_or(Tenants{}), *after.tenants);
  }
  return edit;
}

bool apply(RouteTable& table, const RouteTableEdit& edit) {
  const std::uint64_t size = table.routes.size();
  const bool fits = edit.base_version == table.version && edit.kept_first <= size &&
                    edit.replaced <= size - edit.kept_first;
  if (!fits) {
    return false;
  }
  const auto first = table.routes.begin() + static_cast<std::ptrdiff_t>(edit.kept_first);
  const auto gap = table.routes.erase(first, first + static_cast<std::ptrdiff_t>(edit.replaced));
  table.routes.insert(gap, edit.inserted.begin(), edit.inserted.end());
  if (edit.groups) {
    table.groups = *edit.groups;
  }
  table.version = edit.version;
  table.transaction_idle_ms = edit.transaction_idle_ms;
  if (!edit.tenants) {
    table.tenants.reset();
    return true;
  }
  if (!table.tenants) {
    table.tenants.emplace();
  }
  apply(*table.tenants, *edit.tenants);
  return true;
}

bool apply(Configuration& configuration, const Change& change) {
  if (change.revision != configuration.revision + 1) {
    return false;
  }
  if (change.route_edit && !apply(configuration.routes, *change.route_edit)) {
    return false;
  }
  for (const Zone& zone : change.zones) {
    configuration.zones[zone.name] = zone;
  }
  for (const Policy& policy : change.policies) {
    configuration.policies[policy.name] = policy;
  }
  for (const Group& group : change.groups) {
    configuration.groups[group.name] = group;
  }
  for (const Daemon& daemon : change.daemons) {
    configuration.daemons[daemon.id] = daemon;
  }
  for (const core::DaemonId& id : change.removed_daemons) {
    configuration.daemons.erase(id);
  }
  for (const Control& control : change.controls) {
    configuration.controls[control.id] = control;
  }
  for (const core::ControlId& id : change.removed_controls) {
    configuration.controls.erase(id);
  }
  if (change.routes) {
    configuration.routes = *change.routes;
  }
  configuration.revision = change.revision;
  return true;
}

const Database* find_database(const Group& group, const core::DatabaseId& database) {
  const auto found = std::find_if(group.databases.begin(), group.databases.end(),
                                  [&](const Database& one) { return one.id == database; });
  return found == group.databases.end() ? nullptr : &*found;
}

const Group* group_of(const Configuration& configuration, const core::DatabaseId& database) {
  for (const auto& [name, group] : configuration.groups) {
    if (find_database(group, database) != nullptr) {
      return &group;
    }
  }
  return nullptr;
}

const Database* find_database(const Configuration& configuration, const core::DatabaseId& database) {
  const Group* group = group_of(configuration, database);
  return group == nullptr ? nullptr : find_database(*group, database);
}

std::optional<TermStart> current_primary(const Group& group) {
  if (group.terms.empty() || group.terms.back().primary.empty()) {
    return std::nullopt;
  }
  return group.terms.back();
}

const TermStart* next_term_with_primary(const Group& group, core::Term term) {
  const auto found = std::find_if(group.terms.begin(), group.terms.end(), [term](const TermStart& start) {
    return start.term > term && !start.primary.empty();
  });
  return found == group.terms.end() ? nullptr : &*found;
}

bool certainly_began_with(const TermStart& start, const core::LogPosition& position) {
  return position.term == start.start.term && position.index <= start.start.index;
}

bool survived(const Group& group, const core::LogPosition& position) {
  if (position.term == 0) {
    return true;
  }
  if (group.terms.empty() || position.term < group.terms.front().term) {
    return false;
  }
  // From the last term back along the terms that its log grew from. A term whose log was left behind says
  // nothing: an entry that was missing from it may have survived past it, in another database's log.
  core::Term followed = std::numeric_limits<core::Term>::max();
  for (auto start = group.terms.rbegin(); start != group.terms.rend(); ++start) {
    const bool left_behind = start->term > followed;
    if (start->term <= position.term || left_behind) {
      continue;
    }
    if (start->primary.empty()) {
      continue;  // Never had a primary that control knows of. Which log it grew from is not known.
    }
    // An entry of a term that is later than the start's can't be below the start, whatever its index.
    if (position.index > start->start.index || position.term > start->start.term) {
      return false;
    }
    followed = start->start.term;
  }
  return true;
}

}  // namespace pipitpond::protocol
