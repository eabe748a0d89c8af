#include "routing/peer_health.hpp"

#include <algorithm>

namespace pipitpond::routing {
namespace {

/// Weights of the newest round trip in the two moving averages, and the deviations allowed beyond the
/// average: those of TCP's retransmission timer (RFC 6298).
constexpr int kAverageWeight = 8;
constexpr int kDeviationWeight = 4;
constexpr int kDeviations = 4;

}  // namespace

bool PeerHealth::ping_due(core::Instant now, bool waiting) const {
  if (ping_sent_at_) {
    return false;
  }
  switch (state_) {
    case PeerState::kAnswering:
      return waiting && now - last_heard_ >= protocol::kPeerPingInterval;
    case PeerState::kSilent:
      return now >= next_probe_;
    case PeerState::kRecovering:
      return true;
  }
  return false;
}

void PeerHealth::on_ping_sent(core::Instant now) {
  ping_sent_at_ = now;
  if (!silent_since_) {
    silent_since_ = now;
  }
  if (state_ == PeerState::kSilent) {
    next_probe_ = now + probe_interval_;
    probe_interval_ = std::min(probe_interval_ * 2, protocol::kPeerProbeIntervalMax);
  }
}

void PeerHealth::on_ping_answered(core::Instant now) {
  if (!ping_sent_at_) {
    on_heard(now);
    return;
  }
  const core::Duration round_trip = now - *ping_sent_at_;
  const bool in_time = round_trip <= silence_limit();
  ping_sent_at_.reset();
  on_heard(now);
  if (in_time) {
    state_ = PeerState::kAnswering;
    probe_interval_ = protocol::kPeerProbeInterval;
  }
  // The answer of a daemon that stood still for longer says nothing about how fast it answers.
  if (round_trip <= protocol::kPeerSilenceMax) {
    learn(round_trip);
  }
}

void PeerHealth::on_ping_failed() {
  ping_sent_at_.reset();
}

void PeerHealth::on_heard(core::Instant now) {
  last_heard_ = now;
  silent_since_.reset();
  if (ping_sent_at_) {
    silent_since_ = now;  // Its answer is still to come.
  }
  if (state_ == PeerState::kSilent) {
    state_ = PeerState::kRecovering;
  }
}

void PeerHealth::on_lost(core::Instant now) {
  ping_sent_at_.reset();
  if (state_ != PeerState::kSilent) {
    fall_silent(now);
  }
}

void PeerHealth::on_standstill(core::Instant now) {
  if (silent_since_) {
    silent_since_ = now;
  }
  if (ping_sent_at_) {
    ping_sent_at_ = now;
  }
}

bool PeerHealth::check(core::Instant now) {
  if (state_ == PeerState::kSilent || !silent_since_ || now - *silent_since_ <= silence_limit()) {
    return false;
  }
  fall_silent(now);
  return true;
}

core::Duration PeerHealth::silence_limit() const {
  if (!round_trip_) {
    return protocol::kPeerFirstAnswer;
  }
  return std::clamp(*round_trip_ + kDeviations * deviation_, protocol::kPeerSilenceMin,
                    protocol::kPeerSilenceMax);
}

void PeerHealth::learn(core::Duration round_trip) {
  if (!round_trip_) {
    round_trip_ = round_trip;
    deviation_ = round_trip / 2;
    return;
  }
  const core::Duration distance = std::chrono::abs(round_trip - *round_trip_);
  deviation_ += (distance - deviation_) / kDeviationWeight;
  *round_trip_ += (round_trip - *round_trip_) / kAverageWeight;
}

void PeerHealth::fall_silent(core::Instant now) {
  state_ = PeerState::kSilent;
  next_probe_ = now;
  probe_interval_ = protocol::kPeerProbeInterval;
}

}  // namespace pipitpond::routing
