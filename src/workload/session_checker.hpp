// Checks, from the caller's side, that a session never reads backwards and always sees its own writes.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/ids.hpp"

namespace pipitpond::workload {

/// One value of one table. The workloads use cells whose number only grows: counters that are only added to,
/// and records whose sole writer raises their version with each put.
struct Cell {
  core::GroupName group;
  std::string table;
  std::string id;

  auto operator<=>(const Cell&) const = default;
};

/// What one session is entitled to see.
class SessionChecker {
 public:
  /// The session's own write of `number` to the cell was acknowledged.
  void wrote(const Cell& cell, std::int64_t number);
  /// The session read `number` (0 for an absent cell). Returns false when that is older than what it had seen
  /// or written before.
  bool read(const Cell& cell, std::int64_t number);
  /// Least number that a read of the cell may return.
  [[nodiscard]] std::int64_t floor(const Cell& cell) const;
  /// A new session begins: nothing is promised about what the former one saw.
  void reset();

 private:
  std::map<Cell, std::int64_t> floors_;
};

}  // namespace pipitpond::workload
