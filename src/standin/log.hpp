// A database's replicated log in memory, with the index of the request keys in it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "database/protocol.hpp"

namespace pipitpond::standin {

/// The time in a request key "<unix milliseconds>-<text>"; empty when it has not that form.
std::optional<core::UnixMillis> key_time(const core::RequestKey& key);

/// Entries from index 1 on. The index of keys covers every entry, also those not committed yet.
class Log {
 public:
  Log() = default;
  explicit Log(std::vector<database::LogEntry> entries);

  /// Position of the last entry; (0, 0) when empty.
  [[nodiscard]] core::LogPosition last() const;
  /// Position of the entry at the index; (0, 0) for index 0. The index must not be past the end.
  [[nodiscard]] core::LogPosition position(std::uint64_t index) const;
  /// The entry at the index, which must exist.
  [[nodiscard]] const database::LogEntry& at(std::uint64_t index) const { return entries_[index - 1]; }
  /// True when the log holds exactly this position; true for (0, 0).
  [[nodiscard]] bool holds(const core::LogPosition& position) const;
  /// Last position before the first entry of the term (or of a later one).
  [[nodiscard]] core::LogPosition before_term(core::Term term) const;
  /// Copies at most `limit` entries of at most about `max_bytes` from the index on; at least one if any.
  [[nodiscard]] std::vector<database::LogEntry> copy(std::uint64_t from, std::size_t limit,
                                                     std::size_t max_bytes) const;
  /// Index of the entry with the key; empty when there is none.
  [[nodiscard]] std::optional<std::uint64_t> find_key(const core::RequestKey& key) const;

  /// Appends an entry whose index follows the last one.
  void append(database::LogEntry entry);
  /// Removes all entries from the index on.
  void truncate(std::uint64_t from_index);
  /// Forgets keys with a time before `time`.
  void forget_keys_before(core::UnixMillis time);

 private:
  void add_key(const database::LogEntry& entry);

  std::deque<database::LogEntry> entries_;
  std::unordered_map<core::RequestKey, std::uint64_t> keys_;
  std::multimap<core::UnixMillis, core::RequestKey> keys_by_time_;
};

}  // namespace pipitpond::standin
