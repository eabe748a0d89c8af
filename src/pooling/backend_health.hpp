// A daemon's judgement of one database, from the answers that its traffic gets and from probes that it sends
// only in doubt. No input or output: the driver reports what happens and sends a probe when asked to.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::pooling {

/// Names a batch that is under way.
using BatchNumber = std::uint64_t;

/// A database that owes an answer and has said nothing for this long is doubted.
inline constexpr core::Duration kDoubtAfterSilence = std::chrono::milliseconds(300);

/// Watches one database, or another daemon that stands between it and this one.
class BackendHealth {
 public:
  explicit BackendHealth(core::Duration doubt_after_silence = kDoubtAfterSilence)
      : doubt_after_silence_(doubt_after_silence) {}

  /// A batch leaves for the database. `writes`: its answer waits for a replica's receipt.
  BatchNumber on_sent(core::Instant now, bool writes);
  /// Its answer came.
  void on_answered(core::Instant now, BatchNumber batch);
  /// It will get no answer: the connection broke, or nobody waits any longer.
  void on_abandoned(core::Instant now, BatchNumber batch, bool connection_broke);

  void on_connected(core::Instant now);
  void on_connect_failed(core::Instant now);
  /// A write was refused because the database says that it is no primary.
  void on_refused_write() { not_primary_ = true; }
  /// The group's primary or term has changed: what was held against the database as a primary is void.
  void on_new_term();

  /// True when a probe should be sent now; it counts as sent. Answer with on_probe_result.
  bool take_probe(core::Instant now);
  /// What came of the probe. `refused`: at once, which leaves less doubt than silence.
  void on_probe_result(core::Instant now, bool answered, bool refused);

  /// False while the database is taken to be unreachable.
  [[nodiscard]] bool usable() const { return failures_ < kFailuresToGiveUp; }
  /// What to tell control, if anything. `primary`: the database is the group's primary.
  [[nodiscard]] std::optional<protocol::Suspicion> suspicion(core::Instant now, bool primary) const;

 private:
  struct Batch {
    core::Instant sent;
    bool writes = false;
  };

  void heard(core::Instant now);
  [[nodiscard]] bool silent(core::Instant now) const;
  [[nodiscard]] bool write_waits(core::Instant now) const;

  static constexpr std::uint32_t kFailuresToGiveUp = 2;

  core::Duration doubt_after_silence_;
  BatchNumber last_batch_ = 0;
  std::map<BatchNumber, Batch> under_way_;
  core::Instant last_heard_{};
  bool doubted_ = false;
  std::uint32_t failures_ = 0;
  bool probing_ = false;
  bool probed_for_silence_ = false;  ///< The probe under way was sent because an answer is overdue.
  core::Instant next_probe_{};
  bool not_primary_ = false;
  bool write_given_up_ = false;  ///< The last write or commit got no answer, although others did.
};

/// A write that has waited this long, while other answers came, waits for a receipt that is not coming.
inline constexpr core::Duration kReceiptOverdue = std::chrono::milliseconds(500);
/// Between probes of a database in doubt.
inline constexpr core::Duration kDoubtProbeInterval = std::chrono::milliseconds(200);
/// Between probes of one that is taken to be unreachable.
inline constexpr core::Duration kUnreachableProbeInterval = std::chrono::milliseconds(400);
/// A probe without an answer for this long has failed.
inline constexpr core::Duration kSuspectProbeTimeout = std::chrono::milliseconds(250);

}  // namespace pipitpond::pooling
