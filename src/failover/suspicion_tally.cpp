#include "failover/suspicion_tally.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::failover {

void SuspicionTally::report(const core::DaemonId& daemon, std::vector<protocol::SuspicionReport> reports) {
  if (reports.empty()) {
    reports_.erase(daemon);
    return;
  }
  reports_[daemon] = std::move(reports);
}

void SuspicionTally::clear() {
  reports_.clear();
}

SuspicionCounts SuspicionTally::count(core::Instant now, const std::vector<core::DaemonId>& owners,
                                      const LastHeartbeats& last_heartbeats, const core::DatabaseId& primary,
                                      core::Term term) const {
  SuspicionCounts counts;
  counts.owners = owners.size();
  for (const core::DaemonId& owner : owners) {
    const auto last = last_heartbeats.find(owner);
    if (last == last_heartbeats.end() || now - last->second > kOwnerHeartbeatTimeout) {
      continue;
    }
    ++counts.heard_owners;
    const auto found = reports_.find(owner);
    if (found == reports_.end()) {
      continue;
    }
    const auto report = std::find_if(found->second.begin(), found->second.end(),
                                     [&](const protocol::SuspicionReport& candidate) {
                                       return candidate.database == primary && candidate.term == term;
                                     });
    if (report == found->second.end()) {
      continue;
    }
    switch (report->suspicion) {
      case protocol::Suspicion::kUnreachable:
      case protocol::Suspicion::kNotPrimary:
        ++counts.unreachable;
        break;
      case protocol::Suspicion::kReplicationStalled:
        ++counts.stalled;
        break;
      case protocol::Suspicion::kLeaving:
        counts.leaving = true;
        break;
    }
  }
  return counts;
}

}  // namespace pipitpond::failover
