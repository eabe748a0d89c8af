#include "agent/proof_log.hpp"

namespace pipitpond::agent {

void ProofLog::observe(core::Instant now, const Session& session) {
  if (proven_) {
    return;
  }
  const protocol::Revision revision = session.configuration().revision;
  if (session.configuration_proven()) {
    proven_ = true;
    log_->info("event=configuration_proven revision={} after_ms={}", revision,
               core::to_millis(now - started_));
    return;
  }
  if (revision > 0 && now >= last_line_ + kUnprovenLineInterval) {
    last_line_ = now;
    log_->warn("event=configuration_unproven revision={} for_ms={} heartbeats_go_to={}", revision,
               core::to_millis(now - started_), core::to_string(session.leader_guess()));
  }
}

}  // namespace pipitpond::agent
