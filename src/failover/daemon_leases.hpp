// The control leader's table of daemon leases. No input or output.
//
// A daemon's lease runs from the moment it sent a heartbeat, so it ends on the daemon's clock before it ends
// here, where it is counted from the heartbeat's arrival.
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

/// A daemon that control may remove from the configuration.
struct RemovableDaemon {
  core::DaemonId daemon;
  std::uint64_t incarnation = 0;
};

/// Grants leases while this replica leads.
class DaemonLeases {
 public:
  /// `lease`: how long each lease runs. All replicas of control must use the same.
  explicit DaemonLeases(core::Duration lease = protocol::kDaemonLease) : lease_(lease) {}

  /// Leadership was gained or lost. A new leader does not know which leases earlier leaders granted, so it
  /// removes nobody before the longest of them has surely ended.
  void on_leadership(core::Instant now, bool leading);
  /// The committed configuration, after each change.
  void on_configuration(core::Instant now, const protocol::Configuration& configuration);

  /// Answers a heartbeat. `has_quorum`: a majority of the control replicas has confirmed this leader within
  /// an election timeout. Without it, or for a daemon that is not admitted, the reply grants no lease.
  protocol::HeartbeatReply on_heartbeat(core::Instant now, const protocol::Heartbeat& heartbeat,
                                        bool has_quorum);
  /// True when the heartbeat tells something that the configuration does not say yet: a daemon that is new,
  /// restarted, moved or leaving. The driver then proposes the daemon as `daemon_from_heartbeat` gives it.
  [[nodiscard]] bool needs_admission(const protocol::Heartbeat& heartbeat) const;
  /// The daemon as the heartbeat describes it.
  static protocol::Daemon daemon_from_heartbeat(const protocol::Heartbeat& heartbeat);

  /// The daemon has drained: it holds no connection and can be removed at once.
  void on_departure(core::Instant now, const protocol::Departure& departure);

  /// Daemons whose lease, kLeaseClockMargin and kDatabaseIdleTimeout have passed, and departed ones. Listed
  /// until a configuration without them arrives.
  [[nodiscard]] std::vector<RemovableDaemon> removable(core::Instant now) const;

  /// True when no admitted daemon acts on a configuration older than `revision` under a lease: each has
  /// applied it, has departed, or its lease has surely ended.
  [[nodiscard]] bool applied_or_lease_expired(core::Instant now, protocol::Revision revision) const;
  /// Smallest settled revision of all admitted daemons; 0 while one of them has not been heard.
  [[nodiscard]] protocol::Revision settled_everywhere() const;

 private:
  struct Entry {
    std::uint64_t incarnation = 0;
    core::Instant last_grant;  ///< When the last lease began at the latest, on the leader's clock.
    bool heard = false;        ///< During this leadership, in this incarnation.
    bool departed = false;
    protocol::Revision settled = 0;
    protocol::Revision applied = 0;
  };

  /// The last term of a group and its primary.
  struct Primary {
    core::Term term = 0;
    core::DatabaseId database;

    bool operator==(const Primary&) const = default;
  };

  void note_primaries(const protocol::Configuration& configuration);
  [[nodiscard]] bool is_removable(core::Instant now, const Entry& entry) const;
  /// Writes an entry and keeps the counts right.
  void put(const core::DaemonId& daemon, const Entry& entry);
  void remove(const core::DaemonId& daemon);
  void count_out(const Entry& entry);

  core::Duration lease_;
  bool leading_ = false;
  protocol::Revision revision_ = 0;
  /// Of groups that acknowledge by receipt: whoever has applied this revision knows all their primaries. A
  /// lease says that its holder does.
  protocol::Revision primaries_revision_ = 0;
  std::map<core::GroupName, Primary> primaries_;
  std::map<core::DaemonId, protocol::Daemon> admitted_;
  std::map<core::DaemonId, Entry> entries_;
  /// How many entries have settled each revision, so that the smallest is known without a look at all.
  std::map<protocol::Revision, std::size_t> settled_;
};

}  // namespace pipitpond::failover
