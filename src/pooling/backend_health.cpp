#include "pooling/backend_health.hpp"

#include <algorithm>

namespace pipitpond::pooling {

BatchNumber BackendHealth::on_sent(core::Instant now, bool writes) {
  in_flight_.emplace(++last_batch_, Batch{now, writes});
  return last_batch_;
}

void BackendHealth::on_answered(core::Instant now, BatchNumber batch) {
  const auto found = in_flight_.find(batch);
  if (found == in_flight_.end()) {
    return;
  }
  if (found->second.writes) {
    write_timed_out_ = false;
  }
  in_flight_.erase(found);
  note_response(now);
}

void BackendHealth::on_abandoned(core::Instant now, BatchNumber batch, bool connection_broke) {
  const auto found = in_flight_.find(batch);
  if (found == in_flight_.end()) {
    return;
  }
  const bool waited_long = now - found->second.sent >= kReplicaAckOverdue;
  if (found->second.writes && waited_long && !connection_broke) {
    write_timed_out_ = true;
  }
  in_flight_.erase(found);
  suspected_ = suspected_ || connection_broke || last_heard_ + suspect_after_silence_ < now;
}

void BackendHealth::on_connected(core::Instant now) {
  note_response(now);
}

void BackendHealth::on_connect_failed(core::Instant) {
  suspected_ = true;
}

void BackendHealth::on_new_term() {
  not_primary_ = false;
  write_timed_out_ = false;
}

void BackendHealth::note_response(core::Instant now) {
  last_heard_ = std::max(last_heard_, now);
  suspected_ = false;
  failures_ = 0;
}

bool BackendHealth::reply_overdue(core::Instant now) const {
  if (in_flight_.empty()) {
    return false;
  }
  const core::Instant awaiting_since = std::max(in_flight_.begin()->second.sent, last_heard_);
  return now - awaiting_since >= suspect_after_silence_;
}

bool BackendHealth::take_probe(core::Instant now) {
  const bool should_probe = suspected_ || !usable() || reply_overdue(now);
  if (!should_probe || probing_ || now < next_probe_) {
    return false;
  }
  probing_ = true;
  probed_for_overdue_reply_ = reply_overdue(now);
  next_probe_ = now + (usable() ? kSuspectProbeInterval : kUnreachableProbeInterval);
  return true;
}

void BackendHealth::on_probe_result(core::Instant now, bool answered, bool refused) {
  probing_ = false;
  if (answered) {
    note_response(now);
    return;
  }
  suspected_ = true;
  // A probe that times out while statements get no reply either counts as two failed probes.
  const bool certain = refused || (probed_for_overdue_reply_ && reply_overdue(now));
  failures_ += certain ? kFailuresUntilUnreachable : 1;
}

bool BackendHealth::write_overdue(core::Instant now) const {
  return std::any_of(in_flight_.begin(), in_flight_.end(), [now](const auto& batch) {
    return batch.second.writes && now - batch.second.sent >= kReplicaAckOverdue;
  });
}

std::optional<protocol::Suspicion> BackendHealth::suspicion(core::Instant now, bool primary) const {
  if (!usable()) {
    return protocol::Suspicion::kUnreachable;
  }
  if (primary && not_primary_) {
    return protocol::Suspicion::kNotPrimary;
  }
  if (primary && (write_timed_out_ || write_overdue(now))) {
    return protocol::Suspicion::kReplicationStalled;
  }
  return std::nullopt;
}

}  // namespace pipitpond::pooling
