// How many statements one daemon lets a database run at once, found from how long they take. A database that
// is offered more than it can do answers everything late; what waits here instead can be put in order and be
// given up. No input or output.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// What one daemon has under way at one database.
struct StatementsUnderWay {
  std::size_t outside = 0;          ///< Statements outside transactions.
  std::size_t in_transactions = 0;  ///< Statements of transactions; those that rest have none.
  std::size_t opening = 0;          ///< Connections that are being opened.
};

/// The limit of one daemon for one database: additive increase, multiplicative decrease.
class ConcurrencyLimit {
 public:
  /// The limit is never above `most`, nor below 1. It begins at the `first` that is set first.
  void set_bounds(std::uint32_t first, std::uint32_t most);
  /// A statement was answered after `taken`.
  void on_answered(core::Instant now, core::Duration taken);
  /// The database had no room for a statement.
  void on_refused(core::Instant now);

  [[nodiscard]] std::uint32_t limit() const;
  /// True when one more statement outside transactions may begin. Statements of transactions never ask: they
  /// follow on what the database has done for them already. But they take slots, so that new ones wait.
  [[nodiscard]] bool has_room(const StatementsUnderWay& under_way) const;
  /// Time of a usual statement by the newest answers, and when nothing is in its way.
  [[nodiscard]] core::Duration recent() const { return recent_; }
  [[nodiscard]] core::Duration unhindered() const { return unhindered_; }

 private:
  void decrease(core::Instant now);

  double limit_ = 1;
  double most_ = 1;
  bool begun_ = false;  ///< Bounds have been set.
  core::Duration recent_ = std::chrono::milliseconds(10);
  core::Duration unhindered_ = std::chrono::milliseconds(10);
  core::Instant next_decrease_{};
};

}  // namespace pipitpond::pooling
