// In-memory Raft log of one replica, with the snapshot that replaces its compacted prefix.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/log_position.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

/// Approximate size of entries in bytes, in memory and in a message.
std::size_t size_of(const std::vector<Entry>& entries);

/// Bounds of the entries that are kept before a snapshot.
struct TrailingLimits {
  std::size_t entries = 0;
  std::size_t bytes = 0;
};

class Log {
 public:
  /// Starts from durable state. Entries that are not contiguous with the snapshot are dropped.
  Log(Snapshot snapshot, std::vector<Entry> entries);

  [[nodiscard]] Index first_index() const { return base_.index + 1; }
  [[nodiscard]] Index last_index() const { return base_.index + entries_.size(); }
  [[nodiscard]] Term last_term() const;
  [[nodiscard]] core::LogPosition last() const { return {last_term(), last_index()}; }
  /// Term of the entry at `index`; empty if the entry is compacted or does not exist.
  [[nodiscard]] std::optional<Term> term_at(Index index) const;
  /// True if the log has an entry with this index and term.
  [[nodiscard]] bool contains(const core::LogPosition& position) const;
  /// The entry at `index`, which must be between first_index() and last_index().
  [[nodiscard]] const Entry& at(Index index) const { return entries_[index - first_index()]; }
  /// Entries starting at `from`, within the limits; at least one if there is any.
  [[nodiscard]] std::vector<Entry> slice(Index from, std::size_t max_entries, std::size_t max_bytes) const;
  /// Entries in the closed range [from, to].
  [[nodiscard]] std::vector<Entry> range(Index from, Index to) const;
  /// Greatest index up to `index` whose term is at most `term`: up to there two logs can agree.
  [[nodiscard]] Index last_index_up_to_term(Index index, Term term) const;

  /// Appends an entry, whose index must be last_index() + 1.
  void append(Entry entry);
  /// Appends the entries that are missing; a conflicting suffix is dropped first. The entry before the first
  /// one must be in the log. Returns the index of the first new entry; empty if all were present.
  std::optional<Index> merge(const std::vector<Entry>& entries);

  [[nodiscard]] const Snapshot& snapshot() const { return snapshot_; }
  /// Replaces the snapshot by one at `index`, which must be committed. Keeps trailing entries before it.
  void compact(Index index, std::string state, const TrailingLimits& trailing);
  /// Replaces the whole log by a snapshot.
  void restore(Snapshot snapshot);

  /// The latest membership in the log, committed or not; membership_index() is the index of its entry.
  [[nodiscard]] const Membership& membership() const { return memberships_.back().membership; }
  [[nodiscard]] Index membership_index() const { return memberships_.back().index; }
  [[nodiscard]] const Membership& membership_at(Index index) const;

 private:
  struct MembershipAt {
    Index index = 0;
    Membership membership;
  };

  /// Lowest index that is kept when entries up to `index` are compacted.
  [[nodiscard]] Index first_trailing_index(Index index, const TrailingLimits& trailing) const;
  void truncate_from(Index index);
  void record_membership(const Entry& entry);

  Snapshot snapshot_;
  core::LogPosition base_;  ///< Position of the entry before first_index().
  std::deque<Entry> entries_;
  std::vector<MembershipAt> memberships_;  ///< The snapshot's membership, then those of later entries.
};

}  // namespace pipitpond::raft
