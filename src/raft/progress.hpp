// Replication progress of one other member, as tracked by the leader.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "core/clock.hpp"
#include "raft/message.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

enum class ReplicationState : std::uint8_t {
  kProbe,      ///< The matching index is unknown: one append at a time.
  kReplicate,  ///< Appends are pipelined, without waiting for replies.
  kSnapshot,   ///< A snapshot was sent and is not confirmed yet.
};

/// An append with entries whose reply has not arrived.
struct UnansweredAppend {
  Index last = 0;         ///< Index of its last entry.
  std::size_t bytes = 0;  ///< Size of its entries.
};

struct Progress {
  ReplicationState state = ReplicationState::kProbe;
  Index match = 0;          ///< Last index known to be synced on the member and to match the leader's log.
  Index next = 1;           ///< Index of the next entry to send.
  bool probe_sent = false;  ///< kProbe: heartbeats carry no entries until the reply arrives.
  std::deque<UnansweredAppend> unanswered;  ///< kReplicate: in the order of sending.
  std::size_t unanswered_bytes = 0;         ///< Sum of the sizes in `unanswered`.
  Index snapshot_index = 0;                 ///< kSnapshot: index of the snapshot that was sent.
  core::Instant snapshot_sent{};
  int snapshots_unanswered = 0;  ///< Snapshots sent since the member's last reply.
  Round acknowledged_round = 0;  ///< Greatest heartbeat round that the member has answered.
  /// When `acknowledged_round` was sent; empty: no round answered since this leader was elected.
  std::optional<core::Instant> acknowledged_sent;
  std::optional<core::Instant> last_contact;  ///< When the last reply arrived.
  core::Instant tracked_since{};  ///< When tracking began: at the election or when the member was added.
  /// Learner: its log has reached the length that the leader's log had at that time.
  bool caught_up = false;

  /// Records an append that was sent without waiting for earlier replies. `bytes`: size of its entries.
  void record_sent(Index last, std::size_t bytes) {
    unanswered.push_back({last, bytes});
    unanswered_bytes += bytes;
  }
  /// Records that the member holds all entries up to `index`.
  void record_acknowledged(Index index) {
    while (!unanswered.empty() && unanswered.front().last <= index) {
      unanswered_bytes -= unanswered.front().bytes;
      unanswered.pop_front();
    }
  }
  /// Returns to probing at `first`, because appends sent earlier may be lost.
  void probe_from(Index first) {
    state = ReplicationState::kProbe;
    next = first;
    probe_sent = false;
    clear_unanswered();
  }
  void clear_unanswered() {
    unanswered.clear();
    unanswered_bytes = 0;
  }
};

}  // namespace pipitpond::raft
