// Output of raft::Node: the work that the driver has to do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "raft/message.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

/// Identifies a read; chosen by the driver.
using ReadToken = std::uint64_t;

/// Outcome of a read_index or read_without_leader call.
struct ReadResult {
  ReadToken token = 0;
  /// True: whatever was committed before the read was requested ends at `index`. Serve the read once that is
  /// applied. False: leadership was lost, or a leader or another term has come; retry at the leader.
  bool confirmed = false;
  Index index = 0;
};

/// Why a leader changed the membership.
enum class MembershipReason : std::uint8_t {
  kOperator,  ///< An operator requested it.
  kJoins,     ///< A new replica is added as a learner.
  kCaughtUp,  ///< A learner is promoted to voter.
  kReplaced,  ///< The member is removed: its replacement is a voter.
  kSilent,    ///< The member is removed: silent for too long, and the quorum does not need it.
};

/// A membership change that the leader has appended to its log.
struct MembershipDecision {
  MembershipReason reason = MembershipReason::kOperator;
  Member member;                 ///< State after the change; for a removal, before it.
  core::Duration silent_for{0};  ///< Of the member it replaces, if any, else of the member.
  std::size_t voters = 0;        ///< Number of voters after the change.
  std::size_t voters_in_contact = 0;
  /// Voters that have not answered this leader yet. In its first moments they count as in contact.
  std::size_t voters_unheard = 0;
};

/// Work for the driver, to be done in the order of the fields.
struct Ready {
  /// 1. Persist these, with one sync for all of them, before anything below happens.
  std::optional<HardState> hard_state;
  /// Replaces the durable snapshot. Once it is synced, entries up to its index may be dropped.
  std::optional<Snapshot> snapshot;
  /// The new log does not continue the durable one: drop all durable entries; `snapshot` replaces them.
  bool reset_log = false;
  /// Append these. Durable entries at or above the first one's index are replaced.
  std::vector<Entry> entries;
  /// 2. Send. A message may acknowledge what step 1 persisted.
  std::vector<Message> messages;
  /// 3. If set, replace the whole state of the state machine by `snapshot`.
  bool restore = false;
  /// 4. Apply in order.
  std::vector<Entry> committed;
  /// 5. Complete these reads.
  std::vector<ReadResult> reads;
  /// Membership changes since the last Ready, for log lines only. They are not committed yet and may be lost.
  std::vector<MembershipDecision> decisions;

  /// Whether step 1 must sync. A new commit index alone needs no sync.
  bool must_sync = false;

  [[nodiscard]] bool empty() const {
    return !hard_state && !snapshot && entries.empty() && messages.empty() && committed.empty() &&
           reads.empty();
  }
};

}  // namespace pipitpond::raft
