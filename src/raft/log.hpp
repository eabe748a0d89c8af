// The replicated log of one replica in memory, with the snapshot that takes the place of its beginning.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/log_position.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

/// Bytes that entries take, in memory and, nearly, in a message.
std::size_t size_of(const std::vector<Entry>& entries);

/// What is kept of the entries before a snapshot.
struct TrailingLimits {
  std::size_t entries = 0;
  std::size_t bytes = 0;
};

class Log {
 public:
  /// Starts from durable state; entries that do not continue the snapshot are dropped.
  Log(Snapshot snapshot, std::vector<Entry> entries);

  [[nodiscard]] Index first_index() const { return base_.index + 1; }
  [[nodiscard]] Index last_index() const { return base_.index + entries_.size(); }
  [[nodiscard]] Term last_term() const;
  [[nodiscard]] core::LogPosition last() const { return {last_term(), last_index()}; }
  /// Term of an entry; empty when it is compacted away or does not exist.
  [[nodiscard]] std::optional<Term> term_at(Index index) const;
  /// True when the log holds this very entry.
  [[nodiscard]] bool contains(const core::LogPosition& position) const;
  /// The entry at an index between first_index() and last_index().
  [[nodiscard]] const Entry& at(Index index) const { return entries_[index - first_index()]; }
  /// Entries from `from` on, within the limits; at least one if there is one.
  [[nodiscard]] std::vector<Entry> slice(Index from, std::size_t max_entries, std::size_t max_bytes) const;
  /// Entries of [from, to].
  [[nodiscard]] std::vector<Entry> range(Index from, Index to) const;
  /// Last index at or below `index` whose term is at most `term`: where two logs may agree.
  [[nodiscard]] Index last_index_up_to_term(Index index, Term term) const;

  /// Appends an entry of the next index.
  void append(Entry entry);
  /// Adds what is missing of entries that follow one this log contains; a conflicting tail is dropped.
  /// Returns the index of the first entry that is new; empty when all were there.
  std::optional<Index> merge(const std::vector<Entry>& entries);

  [[nodiscard]] const Snapshot& snapshot() const { return snapshot_; }
  /// Replaces the snapshot by one of a committed entry; keeps the last entries before it, within the limits.
  void compact(Index index, std::string state, const TrailingLimits& trailing);
  /// Replaces everything by a snapshot.
  void restore(Snapshot snapshot);

  /// The last membership in the log and the index of its entry.
  [[nodiscard]] const Membership& membership() const { return memberships_.back().membership; }
  [[nodiscard]] Index membership_index() const { return memberships_.back().index; }
  [[nodiscard]] const Membership& membership_at(Index index) const;

 private:
  struct MembershipAt {
    Index index = 0;
    Membership membership;
  };

  /// First of the entries up to `index` that are kept.
  [[nodiscard]] Index first_within(Index index, const TrailingLimits& trailing) const;
  void truncate_from(Index index);
  void note_membership(const Entry& entry);

  Snapshot snapshot_;
  core::LogPosition base_;  ///< The entry before the first one held.
  std::deque<Entry> entries_;
  std::vector<MembershipAt> memberships_;  ///< The snapshot's, then those of later entries.
};

}  // namespace pipitpond::raft
