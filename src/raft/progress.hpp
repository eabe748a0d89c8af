// What a leader knows about one other member.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "core/clock.hpp"
#include "raft/message.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

enum class ReplicationState : std::uint8_t {
  kProbe,      ///< Where the logs agree is not known: one append at a time.
  kReplicate,  ///< Appends are sent ahead of their answers.
  kSnapshot,   ///< A snapshot is on its way.
};

/// An append with entries that has not been answered.
struct UnansweredAppend {
  Index last = 0;         ///< Its last entry.
  std::size_t bytes = 0;  ///< Of its entries.
};

struct Progress {
  ReplicationState state = ReplicationState::kProbe;
  Index match = 0;          ///< Last entry known to be synced there and equal to the leader's.
  Index next = 1;           ///< Next entry to send.
  bool probe_sent = false;  ///< kProbe: until the answer, heartbeats go without entries.
  std::deque<UnansweredAppend> unanswered;  ///< kReplicate: in order.
  std::size_t unanswered_bytes = 0;         ///< Sum of `unanswered`.
  Index snapshot_index = 0;                 ///< kSnapshot: which.
  core::Instant snapshot_sent{};
  int snapshots_unanswered = 0;  ///< Sent in a row without a word from the member.
  Round acknowledged_round = 0;  ///< Greatest heartbeat round answered.
  /// When the greatest answered round was sent; empty: none in this reign.
  std::optional<core::Instant> acknowledged_sent;
  std::optional<core::Instant> last_contact;  ///< When the last answer arrived.
  core::Instant followed_since{};             ///< When it became a member, or its leader a leader.
  /// Learner: its log has been seen to be as long as the leader's was at that moment.
  bool caught_up = false;

  /// Entries were sent ahead of their answer.
  void note_sent(Index last, std::size_t bytes) {
    unanswered.push_back({last, bytes});
    unanswered_bytes += bytes;
  }
  /// Everything up to `index` has arrived.
  void note_arrived(Index index) {
    while (!unanswered.empty() && unanswered.front().last <= index) {
      unanswered_bytes -= unanswered.front().bytes;
      unanswered.pop_front();
    }
  }
  /// What was sent may be lost: the place where the logs agree is sought anew.
  void probe_from(Index first) {
    state = ReplicationState::kProbe;
    next = first;
    probe_sent = false;
    forget_unanswered();
  }
  void forget_unanswered() {
    unanswered.clear();
    unanswered_bytes = 0;
  }
};

}  // namespace pipitpond::raft
