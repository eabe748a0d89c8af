// Configuration of one Raft replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::raft {

/// Safety mechanisms that only the simulator switches off, to show which failures they prevent.
struct Mechanisms {
  bool pre_vote = true;
  bool check_quorum = true;
  bool sync_before_send = true;  ///< Off: the simulated driver sends messages before the sync.
  bool own_term_commit = true;   ///< Off: also commits entries of earlier terms by counting replicas.
  bool read_quorum = true;       ///< Off: a leader confirms reads without a heartbeat round.
  bool one_membership_change = true;
};

struct Config {
  core::ControlId id;
  std::string cluster;  ///< Cluster id, read from the identity file.
  core::Duration heartbeat_interval = protocol::kRaftHeartbeatInterval;
  core::Duration election_timeout_min = protocol::kRaftElectionTimeoutMin;
  core::Duration election_timeout_max = protocol::kRaftElectionTimeoutMax;
  /// An unanswered snapshot is sent again after this time; the interval grows while the member stays silent.
  core::Duration snapshot_retry_interval = std::chrono::milliseconds(2000);
  /// Entries kept in the log before a snapshot, so that a slightly lagging follower needs no snapshot.
  std::size_t trailing_entries = 256;
  /// Bound of the same entries in bytes: 256 changes of 1,340 routes take 77 MB of memory and of disk, too
  /// much for a disk of 128 MB.
  std::size_t trailing_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t max_entries_per_append = 256;
  /// Also bounds the bytes of unanswered entries per member; the append that crosses the bound is still sent.
  std::size_t max_bytes_per_append = std::size_t{1024} * 1024;
  /// With this many uncommitted entries, further proposals fail with kOverloaded.
  std::size_t max_uncommitted_entries = 4096;
  /// Replicas at new endpoints, which no member has, may join by themselves. If false, operators add them.
  bool open_membership = false;
  /// With open membership: a member that has been silent for this long is removed, so that permanently lost
  /// machines never add up to a majority of the voters. It joins again if it returns.
  core::Duration remove_silent_after = std::chrono::seconds(6);
  /// With open membership: silent voters are removed only while at least this many voters remain. Must be
  /// large enough to keep a majority when as many disks are lost at once as the fleet has to tolerate.
  std::size_t min_voters = 3;
  Mechanisms mechanisms;
};

}  // namespace pipitpond::raft
