#include "failover/daemon_leases.hpp"

#include <algorithm>

#include "protocol/tunables.hpp"

namespace pipitpond::failover {

namespace {

/// From the last grant until every connection of a daemon that went silent is surely closed.
constexpr core::Duration kRemovalDelayAfterLease =
    protocol::kLeaseClockMargin + protocol::kDatabaseIdleTimeout;

}  // namespace

void DaemonLeases::on_leadership(core::Instant now, bool leading) {
  leading_ = leading;
  entries_.clear();
  settled_.clear();
  if (!leading_) {
    return;
  }
  for (const auto& [id, daemon] : admitted_) {
    Entry entry;
    entry.incarnation = daemon.incarnation;
    entry.last_grant = now;  // The former leader may have granted a lease a moment ago.
    put(id, entry);
  }
}

void DaemonLeases::on_configuration(core::Instant now, const protocol::Configuration& configuration) {
  admitted_ = configuration.daemons;
  revision_ = configuration.revision;
  note_primaries(configuration);
  if (!leading_) {
    return;
  }
  std::vector<core::DaemonId> gone;
  for (const auto& [id, entry] : entries_) {
    if (!admitted_.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const core::DaemonId& id : gone) {
    remove(id);
  }
  for (const auto& [id, daemon] : admitted_) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.incarnation != daemon.incarnation) {
      Entry entry;
      entry.incarnation = daemon.incarnation;
      entry.last_grant = now;
      put(id, entry);
    }
  }
}

protocol::HeartbeatReply DaemonLeases::on_heartbeat(core::Instant now, const protocol::Heartbeat& heartbeat,
                                                    bool has_quorum) {
  protocol::HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  reply.current = revision_;
  reply.from_leader = leading_;
  const auto found = entries_.find(heartbeat.daemon);
  const bool admitted = found != entries_.end() && found->second.incarnation == heartbeat.incarnation;
  if (!leading_ || !has_quorum) {
    // A leader that lost its quorum may not know the newest revision, nor who else grants leases.
    reply.current = 0;
    return reply;
  }
  // Once a daemon may be removed its removal may be under way: a lease granted now would outlast it, while
  // others use its budgets. It is admitted anew afterwards.
  const bool stays = admitted && !is_removable(now, found->second);
  if (stays) {
    Entry entry = found->second;
    entry.heard = true;
    entry.last_grant = now;
    entry.settled = std::max(entry.settled, heartbeat.settled);
    entry.applied = std::max(entry.applied, heartbeat.applied);
    put(found->first, entry);
  }
  // A daemon that was removed and is back would, by the configuration that it still has, use budgets that
  // others have taken over meanwhile.
  const bool knows_its_admission = stays && heartbeat.applied >= admitted_.at(heartbeat.daemon).revision;
  // One that was out of touch during a change of primary would, with a new lease, trust the replaced one.
  const bool knows_primaries = heartbeat.applied >= primaries_revision_;
  if (knows_its_admission && knows_primaries) {
    reply.lease_ms = static_cast<std::uint32_t>(core::to_millis(lease_));
  }
  reply.settled_everywhere = settled_everywhere();
  return reply;
}

void DaemonLeases::note_primaries(const protocol::Configuration& configuration) {
  std::map<core::GroupName, Primary> primaries;
  for (const auto& [name, group] : configuration.groups) {
    if (group.sync_replicas > 0 && !group.terms.empty()) {
      primaries[name] = Primary{group.terms.back().term, group.terms.back().primary};
    }
  }
  if (primaries != primaries_) {
    primaries_ = std::move(primaries);
    primaries_revision_ = configuration.revision;
  }
}

bool DaemonLeases::needs_admission(const protocol::Heartbeat& heartbeat) const {
  const auto found = admitted_.find(heartbeat.daemon);
  const protocol::Daemon described = daemon_from_heartbeat(heartbeat);
  if (found == admitted_.end()) {
    return true;
  }
  const protocol::Daemon& known = found->second;
  if (described.incarnation < known.incarnation) {
    return false;  // A late message of an earlier life.
  }
  return described.incarnation != known.incarnation || described.zone != known.zone ||
         described.internal != known.internal || described.callers != known.callers ||
         (described.state == protocol::DaemonState::kLeaving && known.state == protocol::DaemonState::kLive);
}

protocol::Daemon DaemonLeases::daemon_from_heartbeat(const protocol::Heartbeat& heartbeat) {
  protocol::Daemon daemon;
  daemon.id = heartbeat.daemon;
  daemon.incarnation = heartbeat.incarnation;
  daemon.zone = heartbeat.zone;
  daemon.internal = heartbeat.internal;
  daemon.callers = heartbeat.callers;
  daemon.state = heartbeat.leaving ? protocol::DaemonState::kLeaving : protocol::DaemonState::kLive;
  return daemon;
}

void DaemonLeases::on_departure(core::Instant, const protocol::Departure& departure) {
  const auto found = entries_.find(departure.daemon);
  if (found != entries_.end() && found->second.incarnation == departure.incarnation) {
    found->second.departed = true;
  }
}

bool DaemonLeases::is_removable(core::Instant now, const Entry& entry) const {
  return entry.departed || now - entry.last_grant >= lease_ + kRemovalDelayAfterLease;
}

std::vector<RemovableDaemon> DaemonLeases::removable(core::Instant now) const {
  std::vector<RemovableDaemon> daemons;
  for (const auto& [id, entry] : entries_) {
    if (is_removable(now, entry)) {
      daemons.push_back(RemovableDaemon{id, entry.incarnation});
    }
  }
  return daemons;
}

bool DaemonLeases::applied_or_lease_expired(core::Instant now, protocol::Revision revision) const {
  const core::Duration surely_ended = lease_ + protocol::kLeaseClockMargin;
  return std::all_of(entries_.begin(), entries_.end(), [&](const auto& one) {
    const Entry& entry = one.second;
    return entry.departed || entry.applied >= revision || now - entry.last_grant >= surely_ended;
  });
}

protocol::Revision DaemonLeases::settled_everywhere() const {
  return settled_.empty() ? revision_ : std::min(revision_, settled_.begin()->first);
}

void DaemonLeases::put(const core::DaemonId& daemon, const Entry& entry) {
  const auto [found, is_new] = entries_.try_emplace(daemon);
  if (!is_new) {
    count_out(found->second);
  }
  found->second = entry;
  ++settled_[entry.heard ? entry.settled : 0];
}

void DaemonLeases::remove(const core::DaemonId& daemon) {
  const auto found = entries_.find(daemon);
  if (found != entries_.end()) {
    count_out(found->second);
    entries_.erase(found);
  }
}

void DaemonLeases::count_out(const Entry& entry) {
  const auto counted = settled_.find(entry.heard ? entry.settled : 0);
  --counted->second;
  if (counted->second == 0) {
    settled_.erase(counted);
  }
}

}  // namespace pipitpond::failover
