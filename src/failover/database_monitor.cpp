#include "failover/database_monitor.hpp"

#include <utility>

#include "protocol/tunables.hpp"

namespace pipitpond::failover {

DatabaseMonitor::DatabaseMonitor(core::Instant now, core::DatabaseId database)
    : database_(std::move(database)), last_heard_(now), last_status_(now), last_tick_(now) {}

void DatabaseMonitor::set_expectation(core::Term term, bool primary) {
  const bool became_primary = primary && (!primary_ || term != term_);
  term_ = term;
  primary_ = primary;
  if (became_primary) {
    probe_at_once_ = true;
  }
  if (suspicion_ == protocol::Suspicion::kNotPrimary ||
      suspicion_ == protocol::Suspicion::kReplicationStalled) {
    suspicion_.reset();  // May refer to an earlier term or role; the next status is evaluated afresh.
  }
}

bool DatabaseMonitor::tick(core::Instant now) {
  const bool process_stalled = now - last_tick_ > protocol::kProbeTimeout;
  last_tick_ = now;
  if (process_stalled && probe_sent_.has_value()) {
    // This process was stalled, so the answer may have arrived but not been read yet.
    probe_sent_.reset();
    probe_at_once_ = true;
  }
  if (probe_sent_.has_value() && now - *probe_sent_ >= protocol::kProbeTimeout) {
    probe_sent_.reset();
    count_failure(now, 1);
  }
  if (probe_sent_.has_value()) {
    return false;
  }
  // A busy primary is still probed every kStatusInterval: data answers carry neither its term nor a
  // replication stall.
  const bool idle = now - last_heard_ >= protocol::kProbeInterval;
  const bool status_outdated = now - last_status_ >= kStatusInterval;
  if (!(probe_at_once_ || failures_ > 0 || idle || status_outdated)) {
    return false;
  }
  probe_at_once_ = false;
  probe_sent_ = now;
  return true;
}

void DatabaseMonitor::on_status(core::Instant now, const database::StatusAnswer& status) {
  probe_sent_.reset();
  failures_ = 0;
  last_heard_ = now;
  last_status_ = now;
  status_ = status;
  evaluate_status(now);
}

void DatabaseMonitor::on_probe_failed(core::Instant now, bool refused) {
  if (!probe_sent_.has_value()) {
    return;  // Already counted as a timeout.
  }
  probe_sent_.reset();
  count_failure(now, refused ? protocol::kProbeFailuresToSuspect : 1);
}

void DatabaseMonitor::on_data_answer(core::Instant now) {
  last_heard_ = now;
  failures_ = 0;
  if (suspicion_ == protocol::Suspicion::kUnreachable) {
    suspicion_.reset();
    probe_at_once_ = true;
  }
}

void DatabaseMonitor::on_data_failure(core::Instant) {
  probe_at_once_ = true;
}

std::optional<protocol::SuspicionReport> DatabaseMonitor::suspicion(core::Instant now) const {
  if (!suspicion_.has_value()) {
    return std::nullopt;
  }
  const auto duration_ms = static_cast<std::uint32_t>(core::to_millis(now - suspected_since_));
  return protocol::SuspicionReport{database_, *suspicion_, term_, duration_ms};
}

void DatabaseMonitor::count_failure(core::Instant now, std::uint32_t failures) {
  failures_ += failures;
  if (failures_ >= protocol::kProbeFailuresToSuspect) {
    suspect(now, protocol::Suspicion::kUnreachable);
  }
}

void DatabaseMonitor::evaluate_status(core::Instant now) {
  if (status_->leaving) {
    suspect(now, protocol::Suspicion::kLeaving);
    return;
  }
  // A database at a later term than the one this daemon knows is part of a change of primary in progress.
  const bool same_term = status_->term == term_;
  if (primary_ && same_term && status_->role != database::Role::kPrimary) {
    suspect(now, protocol::Suspicion::kNotPrimary);
    return;
  }
  if (primary_ && status_->replication_stalled_ms >= core::to_millis(protocol::kReplicationStallLimit)) {
    suspect(now, protocol::Suspicion::kReplicationStalled);
    return;
  }
  suspicion_.reset();
}

void DatabaseMonitor::suspect(core::Instant now, protocol::Suspicion suspicion) {
  if (suspicion_ == suspicion) {
    return;
  }
  suspicion_ = suspicion;
  suspected_since_ = now;
}

}  // namespace pipitpond::failover
