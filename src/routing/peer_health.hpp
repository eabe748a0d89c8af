// Whether another daemon answers: learnt from the answers to pings, which a daemon gives at once however long
// its databases take. A daemon that has fallen silent gets no requests until it has answered a ping in time.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::routing {

/// What requests may be sent to the daemon: a circuit breaker that only pings close again.
enum class PeerState : std::uint8_t {
  kAnswering,   ///< Requests may be sent.
  kSilent,      ///< Nothing was heard for too long, or the connection was lost.
  kRecovering,  ///< Heard again; one ping that is answered in time is still to come.
};

/// Judges one other daemon. Takes time as an argument and sends nothing itself.
class PeerHealth {
 public:
  /// A ping is due now. `waiting`: answers to requests are outstanding.
  [[nodiscard]] bool ping_due(core::Instant now, bool waiting) const;
  /// A ping was sent.
  void on_ping_sent(core::Instant now);
  /// The ping in progress was answered.
  void on_ping_answered(core::Instant now);
  /// The ping in progress was given up without an answer.
  void on_ping_failed();
  /// Anything else was received.
  void on_heard(core::Instant now);
  /// The connection was refused or broke.
  void on_lost(core::Instant now);
  /// This process itself stood still until now, so that nothing could be heard.
  void on_standstill(core::Instant now);
  /// True when the daemon has just been taken as silent: what waits for it is to be given up.
  [[nodiscard]] bool check(core::Instant now);

  [[nodiscard]] PeerState state() const { return state_; }
  /// Time without an answer to a ping after which the daemon is taken as silent: the average round trip and
  /// four times its mean deviation, within the bounds of the tunables.
  [[nodiscard]] core::Duration silence_limit() const;

 private:
  void learn(core::Duration round_trip);
  void fall_silent(core::Instant now);

  PeerState state_ = PeerState::kAnswering;
  core::Instant last_heard_;
  std::optional<core::Instant> ping_sent_at_;  ///< Of the ping in progress.
  std::optional<core::Instant> silent_since_;  ///< First unanswered ping, or what was heard after it.
  std::optional<core::Duration> round_trip_;   ///< Moving average.
  core::Duration deviation_{0};                ///< Moving average of the distance from it.
  core::Instant next_probe_;                   ///< While silent.
  core::Duration probe_interval_ = protocol::kPeerProbeInterval;
};

}  // namespace pipitpond::routing
