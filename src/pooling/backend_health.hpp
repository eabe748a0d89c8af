// Failure detection for one database, based on the replies to regular statements and on probes that are sent
// only when the database is suspected. Performs no I/O: the caller reports events and sends a probe when
// asked to.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::pooling {

/// Identifies a batch in flight.
using BatchNumber = std::uint64_t;

/// A database with a batch in flight that has sent no reply for this long is suspected and probed.
inline constexpr core::Duration kSuspectAfterSilence = std::chrono::milliseconds(300);

/// Tracks the health of one database, or of another daemon that forwards statements to it.
class BackendHealth {
 public:
  explicit BackendHealth(core::Duration suspect_after_silence = kSuspectAfterSilence)
      : suspect_after_silence_(suspect_after_silence) {}

  /// A batch was sent. `writes`: its reply waits for a replica to acknowledge the write.
  BatchNumber on_sent(core::Instant now, bool writes);
  /// The reply to the batch arrived.
  void on_answered(core::Instant now, BatchNumber batch);
  /// The batch will get no reply: the connection broke, or the caller stopped waiting.
  void on_abandoned(core::Instant now, BatchNumber batch, bool connection_broke);

  void on_connected(core::Instant now);
  void on_connect_failed(core::Instant now);
  /// The database refused a write because it is not the primary.
  void on_refused_write() { not_primary_ = true; }
  /// The database, which was the primary, holds less than before: it has started again without its log.
  void on_log_lost() { not_primary_ = true; }
  /// The group's primary or term has changed: clears the suspicions that concern the database as a primary.
  void on_new_term();

  /// True when a probe is due now. It then counts as sent, and its result must be passed to on_probe_result.
  bool take_probe(core::Instant now);
  /// The result of the probe. `refused`: the connection was refused at once, which is stronger evidence of a
  /// failure than a missing reply.
  void on_probe_result(core::Instant now, bool answered, bool refused);

  /// False while the database is considered unreachable.
  [[nodiscard]] bool usable() const { return failures_ < kFailuresUntilUnreachable; }
  /// The suspicion to report to control, if any. `primary`: the database is the group's primary.
  [[nodiscard]] std::optional<protocol::Suspicion> suspicion(core::Instant now, bool primary) const;

 private:
  struct Batch {
    core::Instant sent;
    bool writes = false;
  };

  void note_response(core::Instant now);
  [[nodiscard]] bool reply_overdue(core::Instant now) const;
  [[nodiscard]] bool write_overdue(core::Instant now) const;

  static constexpr std::uint32_t kFailuresUntilUnreachable = 2;

  core::Duration suspect_after_silence_;
  BatchNumber last_batch_ = 0;
  std::map<BatchNumber, Batch> in_flight_;
  core::Instant last_heard_{};
  bool suspected_ = false;
  std::uint32_t failures_ = 0;
  bool probing_ = false;
  bool probed_for_overdue_reply_ = false;  ///< The probe in flight was sent because a reply is overdue.
  core::Instant next_probe_{};
  bool not_primary_ = false;
  bool write_timed_out_ = false;  ///< The last write or commit timed out on an unbroken connection.
};

/// A write without a reply for this long, while the database replies to other statements, is taken to wait
/// for a replica's acknowledgement that will not come.
inline constexpr core::Duration kReplicaAckOverdue = std::chrono::milliseconds(500);
/// Between probes of a suspected database.
inline constexpr core::Duration kSuspectProbeInterval = std::chrono::milliseconds(200);
/// Between probes of a database that is considered unreachable.
inline constexpr core::Duration kUnreachableProbeInterval = std::chrono::milliseconds(400);
/// A probe without a reply for this long has failed.
inline constexpr core::Duration kSuspectProbeTimeout = std::chrono::milliseconds(250);

}  // namespace pipitpond::pooling
