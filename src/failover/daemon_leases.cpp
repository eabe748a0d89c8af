#include "failover/daemon_leases.hpp"

#include <algorithm>

#include "protocol/tunables.hpp"

namespace pipitpond::failover {

namespace {

/// Time after the end of a lease on the leader's clock until the databases must have closed every connection
/// of a daemon that stopped sending heartbeats.
constexpr core::Duration kRemovalDelayAfterLease =
    protocol::kLeaseClockMargin + protocol::kDatabaseIdleTimeout;

}  // namespace

void DaemonLeases::on_leadership(core::Instant now, bool leading) {
  leading_ = leading;
  entries_.clear();
  settled_counts_.clear();
  if (!leading_) {
    return;
  }
  for (const auto& [id, daemon] : admitted_) {
    Entry entry;
    entry.incarnation = daemon.incarnation;
    entry.last_grant = now;  // The former leader may have granted a lease just before losing leadership.
    set_entry(id, entry);
  }
}

void DaemonLeases::on_configuration(core::Instant now, const protocol::Configuration& configuration) {
  admitted_ = configuration.daemons;
  revision_ = configuration.revision;
  update_primaries(configuration);
  if (!leading_) {
    return;
  }
  std::vector<core::DaemonId> removed;
  for (const auto& [id, entry] : entries_) {
    if (!admitted_.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const core::DaemonId& id : removed) {
    erase_entry(id);
  }
  for (const auto& [id, daemon] : admitted_) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.incarnation != daemon.incarnation) {
      Entry entry;
      entry.incarnation = daemon.incarnation;
      entry.last_grant = now;
      set_entry(id, entry);
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
    // Without a quorum, another leader may have committed newer revisions and may be granting leases.
    reply.current = 0;
    return reply;
  }
  // The removal of a removable daemon may already be proposed. A lease granted now would still be valid after
  // the removal, when other daemons use its connection budgets. The daemon has to be admitted again instead.
  const bool remains_admitted = admitted && !is_removable(now, found->second);
  if (remains_admitted) {
    Entry entry = found->second;
    entry.heartbeat_received = true;
    entry.last_grant = now;
    entry.settled = std::max(entry.settled, heartbeat.settled);
    entry.applied = std::max(entry.applied, heartbeat.applied);
    set_entry(found->first, entry);
  }
  // A daemon that was removed and admitted again must have applied its new admission: the configuration from
  // before its removal grants it connection budgets that other daemons have taken over.
  const bool has_applied_admission =
      remains_admitted && heartbeat.applied >= admitted_.at(heartbeat.daemon).revision;
  // A daemon that was partitioned during a change of primary would use a new lease to read from the replaced
  // primary.
  const bool has_applied_primaries = heartbeat.applied >= primaries_revision_;
  if (has_applied_admission && has_applied_primaries) {
    reply.lease_ms = static_cast<std::uint32_t>(core::to_millis(lease_));
  }
  reply.settled_everywhere = settled_everywhere();
  return reply;
}

void DaemonLeases::update_primaries(const protocol::Configuration& configuration) {
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
    return false;  // Delayed heartbeat of an earlier incarnation.
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
  const core::Duration expiry_delay = lease_ + protocol::kLeaseClockMargin;
  return std::all_of(entries_.begin(), entries_.end(), [&](const auto& id_and_entry) {
    const Entry& entry = id_and_entry.second;
    return entry.departed || entry.applied >= revision || now - entry.last_grant >= expiry_delay;
  });
}

protocol::Revision DaemonLeases::settled_everywhere() const {
  return settled_counts_.empty() ? revision_ : std::min(revision_, settled_counts_.begin()->first);
}

void DaemonLeases::set_entry(const core::DaemonId& daemon, const Entry& entry) {
  const auto [found, is_new] = entries_.try_emplace(daemon);
  if (!is_new) {
    remove_settled_count(found->second);
  }
  found->second = entry;
  ++settled_counts_[entry.heartbeat_received ? entry.settled : 0];
}

void DaemonLeases::erase_entry(const core::DaemonId& daemon) {
  const auto found = entries_.find(daemon);
  if (found != entries_.end()) {
    remove_settled_count(found->second);
    entries_.erase(found);
  }
}

void DaemonLeases::remove_settled_count(const Entry& entry) {
  const auto counted = settled_counts_.find(entry.heartbeat_received ? entry.settled : 0);
  --counted->second;
  if (counted->second == 0) {
    settled_counts_.erase(counted);
  }
}

}  // namespace pipitpond::failover
