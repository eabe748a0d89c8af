// Settings of one Raft replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::raft {

/// Mechanisms that the simulator can switch off to show what they are for. Nothing else sets them.
struct Mechanisms {
  bool pre_vote = true;
  bool check_quorum = true;
  bool sync_before_send = true;  ///< Off: messages overtake the disk (done by the simulated driver).
  bool own_term_commit = true;   ///< Off: counts replicas for entries of earlier terms too.
  bool read_quorum = true;       ///< Off: a leader answers reads without a heartbeat round.
  bool one_membership_change = true;
};

struct Config {
  core::ControlId id;
  std::string cluster;  ///< Identity of the cluster; from the identity file.
  core::Duration heartbeat_interval = protocol::kRaftHeartbeatInterval;
  core::Duration election_timeout_min = protocol::kRaftElectionTimeoutMin;
  core::Duration election_timeout_max = protocol::kRaftElectionTimeoutMax;
  /// A snapshot without an answer is sent again after this; the pause grows while the member is silent.
  core::Duration snapshot_retry = std::chrono::milliseconds(2000);
  /// Entries kept behind a snapshot for followers that are a little behind.
  std::size_t trailing_entries = 256;
  /// The same in bytes: 256 changes of 1,340 routes were 77 MB, in memory and on a disk of 128 MB.
  std::size_t trailing_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t max_entries_per_append = 256;
  /// Also how many bytes of entries may be sent to one member ahead of its answers, but for the last append.
  std::size_t max_bytes_per_append = std::size_t{1024} * 1024;
  /// Proposals beyond this many uncommitted entries are refused with kOverloaded.
  std::size_t max_uncommitted_entries = 4096;
  /// Replicas at places that are no member's may join by themselves. Otherwise operators add them.
  bool open_membership = false;
  /// With open membership: a voter that was not heard for this long is removed, so that machines that are
  /// gone for good do not add up to a majority. It joins again if it returns.
  core::Duration remove_silent_after = std::chrono::seconds(6);
  /// With open membership: silent voters are removed down to this many, which must bear the loss of as many
  /// disks at once as the fleet is to bear.
  std::size_t min_voters = 3;
  Mechanisms mechanisms;
};

}  // namespace pipitpond::raft
