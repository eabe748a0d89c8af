#include "pooling/backend_health.hpp"

#include <algorithm>

namespace pipitpond::pooling {

BatchNumber BackendHealth::on_sent(core::Instant now, bool writes) {
  under_way_.emplace(++last_batch_, Batch{now, writes});
  return last_batch_;
}

void BackendHealth::on_answered(core::Instant now, BatchNumber batch) {
  const auto found = under_way_.find(batch);
  if (found == under_way_.end()) {
    return;
  }
  if (found->second.writes) {
    write_given_up_ = false;
  }
  under_way_.erase(found);
  heard(now);
}

void BackendHealth::on_abandoned(core::Instant now, BatchNumber batch, bool connection_broke) {
  const auto found = under_way_.find(batch);
  if (found == under_way_.end()) {
    return;
  }
  const bool waited_long = now - found->second.sent >= kReceiptOverdue;
  if (found->second.writes && waited_long && !connection_broke) {
    write_given_up_ = true;
  }
  under_way_.erase(found);
  doubted_ = doubted_ || connection_broke || last_heard_ + doubt_after_silence_ < now;
}

void BackendHealth::on_connected(core::Instant now) {
  heard(now);
}

void BackendHealth::on_connect_failed(core::Instant) {
  doubted_ = true;
}

void BackendHealth::on_new_term() {
  not_primary_ = false;
  write_given_up_ = false;
}

void BackendHealth::heard(core::Instant now) {
  last_heard_ = std::max(last_heard_, now);
  doubted_ = false;
  failures_ = 0;
}

bool BackendHealth::silent(core::Instant now) const {
  if (under_way_.empty()) {
    return false;
  }
  const core::Instant owing_since = std::max(under_way_.begin()->second.sent, last_heard_);
  return now - owing_since >= doubt_after_silence_;
}

bool BackendHealth::take_probe(core::Instant now) {
  const bool wanted = doubted_ || !usable() || silent(now);
  if (!wanted || probing_ || now < next_probe_) {
    return false;
  }
  probing_ = true;
  probed_for_silence_ = silent(now);
  next_probe_ = now + (usable() ? kDoubtProbeInterval : kUnreachableProbeInterval);
  return true;
}

void BackendHealth::on_probe(core::Instant now, bool answered, bool refused) {
  probing_ = false;
  if (answered) {
    heard(now);
    return;
  }
  doubted_ = true;
  // A probe that times out while statements get no reply either counts as two failed probes.
  const bool certain = refused || (probed_for_silence_ && silent(now));
  failures_ += certain ? kFailuresToGiveUp : 1;
}

bool BackendHealth::write_waits(core::Instant now) const {
  return std::any_of(under_way_.begin(), under_way_.end(), [now](const auto& batch) {
    return batch.second.writes && now - batch.second.sent >= kReceiptOverdue;
  });
}

std::optional<protocol::Suspicion> BackendHealth::suspicion(core::Instant now, bool primary) const {
  if (!usable()) {
    return protocol::Suspicion::kUnreachable;
  }
  if (primary && not_primary_) {
    return protocol::Suspicion::kNotPrimary;
  }
  if (primary && (write_given_up_ || write_waits(now))) {
    return protocol::Suspicion::kReplicationStalled;
  }
  return std::nullopt;
}

}  // namespace pipitpond::pooling
