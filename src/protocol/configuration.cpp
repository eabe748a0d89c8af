#include "protocol/configuration.hpp"

#include <limits>

namespace pipitpond::protocol {

bool apply(Configuration& configuration, const Change& change) {
  if (change.revision != configuration.revision + 1) {
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

std::optional<TermStart> current_primary(const Group& group) {
  if (group.terms.empty() || group.terms.back().primary.empty()) {
    return std::nullopt;
  }
  return group.terms.back();
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
