// Linearizable reads while no leader is known, as when all replicas have just been restarted.
//
// If a majority of the voters, this one included, are in one term and their logs end with one entry of that
// very term, the entry is committed and nothing behind it was: a leader of this or an earlier term can't have
// committed a later entry, for one of this majority would hold it; and whoever is elected in a later term
// needs the vote of one of them, given after its answer, so that its log holds the entry too.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "core/clock.hpp"
#include "raft/message.hpp"
#include "raft/ready.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

/// Between two questions to a voter that has not agreed.
inline constexpr core::Duration kLogEndQuestionInterval = std::chrono::milliseconds(10);
/// A round that has not ended after this long makes way for one of newer reads: a trip between regions and
/// back.
inline constexpr core::Duration kLeaderlessRoundLimit = std::chrono::milliseconds(200);

/// The reads of one replica that wait for such a majority, and the round of questions under way.
class LeaderlessReads {
 public:
  /// Rounds are numbered from a place that `seed` gives. Answers may be late: one to an earlier life of this
  /// replica must not pass for one to a round of this life, so no other life may have the same seed.
  explicit LeaderlessReads(std::uint64_t seed) : round_(std::mt19937_64(seed)()) {}

  /// Adds a read. Only a round that begins after this call can confirm it. Returns the oldest read when there
  /// are too many.
  std::vector<ReadResult> add(ReadToken token);
  /// True if reads wait for a round and none that began a moment ago is under way.
  [[nodiscard]] bool needs_round(core::Instant now) const;
  /// Begins a round for all reads; one that is under way ends. `end` is the last entry of this replica's log.
  void begin_round(core::Instant now, const core::LogPosition& end);
  [[nodiscard]] Round round() const { return round_; }
  /// When voters that have not agreed are to be asked again: answers may be lost, and replicas may still be
  /// starting.
  [[nodiscard]] core::Instant next_question() const {
    return end_.has_value() ? next_question_ : core::Instant::max();
  }
  /// They are asked now. Nobody is asked any more for a round that has lasted too long.
  void on_asked(core::Instant now);
  /// A replica answered that it is in `term` and its log ends with `end`.
  void on_answer(const core::ControlId& from, Round round, Term term, const core::LogPosition& end);
  /// Replicas that have agreed in the round under way, without this one.
  [[nodiscard]] const std::set<core::ControlId>& agreeing() const { return agreeing_; }
  /// Replicas whose logs end elsewhere, or that are in another term.
  [[nodiscard]] const std::set<core::ControlId>& disagreeing() const { return disagreeing_; }
  /// Where the logs end that are asked for; empty while no round is under way.
  [[nodiscard]] const std::optional<core::LogPosition>& end() const { return end_; }
  /// Removes and returns the reads of the round under way, as confirmed.
  std::vector<ReadResult> confirm();
  /// Removes all reads and returns them as not confirmed.
  std::vector<ReadResult> fail_all();

 private:
  std::deque<ReadToken> reads_;  ///< Oldest first.
  std::size_t in_round_ = 0;     ///< Of these, from the front.
  Round round_;
  core::Instant round_began_{};
  core::Instant next_question_{};
  std::optional<core::LogPosition> end_;
  std::set<core::ControlId> agreeing_;
  std::set<core::ControlId> disagreeing_;
};

/// Reads that wait at once; the drivers' time limits end them much earlier.
inline constexpr std::size_t kMaxLeaderlessReads = 1024;

}  // namespace pipitpond::raft
