// The control leader's table of daemon leases. Performs no I/O.
//
// A daemon counts its lease from when it sent the heartbeat, the leader from when the heartbeat arrived, so
// that the lease expires at the daemon first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {

/// A daemon that the control leader may remove from the configuration.
struct RemovableDaemon {
  core::DaemonId daemon;
  std::uint64_t incarnation = 0;
};

/// Grants leases to daemons while this replica is the Raft leader.
class DaemonLeases {
 public:
  /// `lease`: duration of each lease. All control replicas must use the same value.
  explicit DaemonLeases(core::Duration lease = protocol::kDaemonLease) : lease_(lease) {}

  /// Raft leadership was gained or lost. A new leader does not know which leases earlier leaders granted, so
  /// it removes no daemon until the last of those leases must have expired.
  void on_leadership(core::Instant now, bool leading);
  /// Takes over the committed configuration. Call after each change.
  void on_configuration(core::Instant now, const protocol::Configuration& configuration);

  /// Answers a heartbeat. `has_quorum`: a majority of the control replicas has confirmed this leader within
  /// an election timeout. Without a quorum, or for a daemon that is not in the configuration, the reply
  /// grants no lease.
  protocol::HeartbeatReply on_heartbeat(core::Instant now, const protocol::Heartbeat& heartbeat,
                                        bool has_quorum);
  /// True when the heartbeat differs from the configuration: the daemon is new, restarted, has other
  /// addresses or another zone, or is leaving. The driver then proposes the daemon that
  /// `daemon_from_heartbeat` returns.
  [[nodiscard]] bool needs_admission(const protocol::Heartbeat& heartbeat) const;
  /// Builds the configuration entry of a daemon from its heartbeat.
  static protocol::Daemon daemon_from_heartbeat(const protocol::Heartbeat& heartbeat);

  /// The daemon has drained: it has no database connections left and can be removed at once.
  void on_departure(core::Instant now, const protocol::Departure& departure);

  /// Departed daemons, and those for which the lease plus kLeaseClockMargin plus kDatabaseIdleTimeout have
  /// passed. They are listed until a configuration without them arrives.
  [[nodiscard]] std::vector<RemovableDaemon> removable(core::Instant now) const;

  /// True when no daemon in the configuration can hold a lease while using a configuration older than
  /// `revision`: each daemon has applied `revision`, has departed, or its lease must have expired.
  [[nodiscard]] bool applied_or_lease_expired(core::Instant now, protocol::Revision revision) const;
  /// Lowest revision that every daemon in the configuration reports as settled; 0 until each of them has sent
  /// a heartbeat to this leader.
  [[nodiscard]] protocol::Revision settled_everywhere() const;

 private:
  struct Entry {
    std::uint64_t incarnation = 0;
    core::Instant last_grant;         ///< Latest possible start of the last lease, on the leader's clock.
    bool heartbeat_received = false;  ///< Sent a heartbeat in this incarnation during this leadership.
    bool departed = false;
    protocol::Revision settled = 0;
    protocol::Revision applied = 0;
  };

  /// Last term of a group and the primary of that term (empty until committed).
  struct Primary {
    core::Term term = 0;
    core::DatabaseId database;

    bool operator==(const Primary&) const = default;
  };

  void update_primaries(const protocol::Configuration& configuration);
  [[nodiscard]] bool is_removable(core::Instant now, const Entry& entry) const;
  /// Stores an entry and updates `settled_counts_`.
  void set_entry(const core::DaemonId& daemon, const Entry& entry);
  void erase_entry(const core::DaemonId& daemon);
  void remove_settled_count(const Entry& entry);

  core::Duration lease_;
  bool leading_ = false;
  protocol::Revision revision_ = 0;
  /// Revision of the last change of a primary or term in a semi-synchronous group. Only daemons that have
  /// applied it are granted a lease, so that a lease holder knows the primaries of all these groups.
  protocol::Revision primaries_revision_ = 0;
  std::map<core::GroupName, Primary> primaries_;
  std::map<core::DaemonId, protocol::Daemon> admitted_;
  std::map<core::DaemonId, Entry> entries_;
  /// Number of entries by settled revision, so that the lowest is found without iterating over all entries.
  std::map<protocol::Revision, std::size_t> settled_counts_;
};

}  // namespace pipitpond::failover
