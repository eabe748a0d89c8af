// What one replica asks its driver to do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "raft/message.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

/// Chosen by the driver to recognise a read.
using ReadToken = std::uint64_t;

/// What became of a read_index call.
struct ReadResult {
  ReadToken token = 0;
  /// True: the replica led after the read was asked for. Serve the read once `index` is applied.
  /// False: leadership was lost; ask the new leader.
  bool confirmed = false;
  Index index = 0;
};

/// Why a leader changes the members.
enum class MembershipReason : std::uint8_t {
  kOperator,  ///< Somebody asked for it.
  kJoins,     ///< A newcomer is let in as a learner.
  kCaughtUp,  ///< A learner becomes a voter.
  kReplaced,  ///< A newcomer that votes stands in this member's place.
  kSilent,    ///< It was not heard for long, and the others can spare it.
};

/// A change of the members that a leader has put into its log.
struct MembershipDecision {
  MembershipReason reason = MembershipReason::kOperator;
  Member member;                 ///< As it is from now on, or as it was when it is removed.
  core::Duration silent_for{0};  ///< Of the member in whose place it stands, else of the member itself.
  std::size_t voters = 0;        ///< From now on.
  std::size_t voters_in_contact = 0;
};

/// Work for the driver, to be done in the order of the members.
struct Ready {
  /// 1. Persist these, with one sync for all of them, before anything below happens.
  std::optional<HardState> hard_state;
  /// Replaces the durable snapshot. Entries at or below its index may be dropped after it is synced.
  std::optional<Snapshot> snapshot;
  /// The log is not a continuation of the durable one: drop all durable entries (with the snapshot that
  /// takes their place).
  bool reset_log = false;
  /// Append; durable entries from the first one's index on are replaced.
  std::vector<Entry> entries;
  /// 2. Send. A message may promise what was persisted in step 1.
  std::vector<Message> messages;
  /// 3. Load `snapshot` into the state machine, in place of all that it holds.
  bool restore = false;
  /// 4. Apply, in order.
  std::vector<Entry> committed;
  /// 5. Answer reads.
  std::vector<ReadResult> reads;
  /// What was decided since the last Ready, for the log; it may still be lost with this leader.
  std::vector<MembershipDecision> decisions;

  /// Whether step 1 must sync; a mere new commit hint needs none.
  bool must_sync = false;

  [[nodiscard]] bool empty() const {
    return !hard_state && !snapshot && entries.empty() && messages.empty() && committed.empty() &&
           reads.empty();
  }
};

}  // namespace pipitpond::raft
