// Failure detector that an owner (a daemon assigned to a database) runs for that database, based on probes
// and on the results of data traffic. Performs no I/O: the driver sends a probe when tick() returns true and
// reports the result.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "database/protocol.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::failover {

/// Monitors the health of one database on behalf of one owner.
class DatabaseMonitor {
 public:
  DatabaseMonitor(core::Instant now, core::DatabaseId database);

  /// Sets the group's last term, and whether this database is its primary, according to the configuration.
  void set_expectation(core::Term term, bool primary);

  /// Returns true when a probe must be sent now; call every kMonitorInterval. The probe then counts as sent
  /// and fails after kProbeTimeout. If this process was stalled for longer than that between two calls, the
  /// probe in flight is discarded instead of counted as failed.
  bool tick(core::Instant now);

  void on_status(core::Instant now, const database::StatusAnswer& status);
  /// The probe failed; `refused`: the connection was refused.
  void on_probe_failed(core::Instant now, bool refused);
  /// A statement or commit got an answer. An error answer also shows that the database is alive.
  void on_data_answer(core::Instant now);
  /// A connection for a statement was refused or broke. The next tick() requests a probe.
  void on_data_failure(core::Instant now);

  /// Makes the next tick() request a probe, because the owner's connection pool needs the
  /// database's current connection usage.
  void ask_at_once() { probe_at_once_ = true; }

  /// The suspicion to report to the control leader, or empty.
  [[nodiscard]] std::optional<protocol::SuspicionReport> suspicion(core::Instant now) const;
  /// Last status received, or empty.
  [[nodiscard]] const std::optional<database::StatusAnswer>& status() const { return status_; }
  /// Time of the last status or data answer.
  [[nodiscard]] core::Instant last_heard() const { return last_heard_; }

 private:
  void count_failure(core::Instant now, std::uint32_t failures);
  void evaluate_status(core::Instant now);
  void suspect(core::Instant now, protocol::Suspicion suspicion);

  core::DatabaseId database_;
  core::Term term_ = 0;
  bool primary_ = false;
  core::Instant last_heard_;
  core::Instant last_status_;
  core::Instant last_tick_;
  std::optional<core::Instant> probe_sent_;
  bool probe_at_once_ = true;
  std::uint32_t failures_ = 0;
  std::optional<database::StatusAnswer> status_;
  std::optional<protocol::Suspicion> suspicion_;
  core::Instant suspected_since_;
};

/// Maximum age of the status before a probe is due, even while data answers show that the database is alive.
inline constexpr core::Duration kStatusInterval = std::chrono::milliseconds(400);
/// Interval between calls of DatabaseMonitor::tick.
inline constexpr core::Duration kMonitorInterval = std::chrono::milliseconds(25);

}  // namespace pipitpond::failover
