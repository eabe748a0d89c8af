// Reports suspected databases to control, and tracks which groups have no usable primary.
#include <utility>

#include "logging/logging.hpp"
#include "pooling/backends.hpp"

namespace pipitpond::pooling {

void Backends::track_missing_primaries(core::Instant now) {
  for (auto& [name, view] : groups_) {
    const auto primary = view.members.find(view.primary);
    const bool usable = primary != view.members.end() && (primary->second.pool->health().usable() ||
                                                          other_owners_reachable(*primary->second.pool, now));
    if (usable && primary_recently_certain(name, now)) {
      view.without_primary_since.reset();
    } else if (!view.without_primary_since) {
      view.without_primary_since = now;
    }
  }
}

core::Duration Backends::without_primary(const core::GroupName& group, core::Instant now) const {
  const GroupView* view = find(group);
  if (view == nullptr || !view->without_primary_since) {
    return core::Duration::zero();
  }
  return now - *view->without_primary_since;
}

void Backends::report_suspicions(core::Instant now) {
  std::vector<protocol::SuspicionReport> reports;
  std::map<core::DatabaseId, protocol::Suspicion> suspicions;
  for (auto& [name, view] : groups_) {
    for (auto& [id, member] : view.members) {
      const auto suspicion = member.pool->health().suspicion(now, id == view.primary);
      if (suspicion) {
        reports.push_back(protocol::SuspicionReport{id, *suspicion, view.term, 0});
        suspicions.emplace(id, *suspicion);
      }
    }
  }
  agent_.set_suspicions(std::move(reports));
  log_suspicions(suspicions);
}

void Backends::log_suspicions(const std::map<core::DatabaseId, protocol::Suspicion>& suspicions) {
  const auto log = logging::logger("backends");
  for (const auto& [id, suspicion] : suspicions) {
    const auto known = suspicions_.find(id);
    if (known == suspicions_.end() || known->second != suspicion) {
      log->warn("event=suspect database={} suspicion={}", id.value(), protocol::to_string(suspicion));
    }
  }
  for (const auto& [id, suspicion] : suspicions_) {
    if (!suspicions.contains(id)) {
      log->info("event=trust database={} suspicion_ended={}", id.value(), protocol::to_string(suspicion));
    }
  }
  suspicions_ = suspicions;
}

}  // namespace pipitpond::pooling
