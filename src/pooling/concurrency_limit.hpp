// Adaptive limit on the statements that one daemon runs at a database at once, derived from their latency. An
// overloaded database replies late to everything; statements that wait at the daemon instead can be ordered
// by priority and be dropped. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// What one daemon has in flight at one database.
struct StatementsInFlight {
  std::size_t outside = 0;          ///< Statements outside transactions.
  std::size_t in_transactions = 0;  ///< Statements in transactions; an idle transaction has none.
  std::size_t opening = 0;          ///< Connections being opened.
};

/// One daemon's limit for one database: additive increase, multiplicative decrease.
class ConcurrencyLimit {
 public:
  /// Sets the bounds: the limit stays between 1 and `most`. The first call also sets the initial limit,
  /// `first`.
  void set_bounds(std::uint32_t first, std::uint32_t most);
  /// A statement was answered `taken` after it was sent.
  void on_answered(core::Instant now, core::Duration taken);
  /// The database refused a statement because it was busy.
  void on_refused(core::Instant now);

  [[nodiscard]] std::uint32_t limit() const;
  /// True when one more statement outside a transaction may start. Statements in transactions are not subject
  /// to the limit, because refusing them would waste the work that the database has already done; but they
  /// occupy slots and count against new statements.
  [[nodiscard]] bool has_room(const StatementsInFlight& in_flight) const;
  /// Average latency of the newest replies.
  [[nodiscard]] core::Duration average_latency() const { return average_latency_; }
  [[nodiscard]] core::Duration baseline_latency() const { return baseline_latency_; }

 private:
  void decrease(core::Instant now);

  double limit_ = 1;
  double most_ = 1;
  bool initialized_ = false;  ///< Bounds have been set.
  core::Duration average_latency_ = std::chrono::milliseconds(10);
  core::Duration baseline_latency_ = std::chrono::milliseconds(10);
  core::Instant next_decrease_{};
};

}  // namespace pipitpond::pooling
