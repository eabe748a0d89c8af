// Recent demand of each tenant for a database's connections, to choose the idle connection that is worth
// least. Performs no I/O.
#pragma once

#include <cmath>
#include <cstddef>
#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::pooling {

/// Half-life of a use's weight: long enough to show a rate of one use in several seconds, short enough to
/// follow a tenant that moves to another zone.
inline constexpr core::Duration kDemandHalfLife = std::chrono::seconds(10);
/// Tenants with less demand than this (no use for about 70 s) are dropped.
inline constexpr double kNegligibleDemand = 0.01;

/// Uses by tenant, weighted by exponential decay.
class TenantDemand {
 public:
  void note_use(core::Instant now, const core::TenantName& tenant) {
    Entry& entry = entries_[tenant];
    entry.uses = decayed(now, entry) + 1;
    entry.last_use = now;
  }

  [[nodiscard]] double current_demand(core::Instant now, const core::TenantName& tenant) const {
    const auto found = entries_.find(tenant);
    return found == entries_.end() ? 0 : decayed(now, found->second);
  }

  void drop_idle_tenants(core::Instant now) {
    std::erase_if(entries_,
                  [&](const auto& entry) { return decayed(now, entry.second) < kNegligibleDemand; });
  }

  [[nodiscard]] std::size_t tenants() const { return entries_.size(); }

 private:
  struct Entry {
    double uses = 0;
    core::Instant last_use{};
  };

  static double decayed(core::Instant now, const Entry& entry) {
    const double half_lives = std::chrono::duration<double>(now - entry.last_use) / kDemandHalfLife;
    return entry.uses * std::exp2(-half_lives);
  }

  std::map<core::TenantName, Entry> entries_;
};

}  // namespace pipitpond::pooling
