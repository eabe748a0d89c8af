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
inline constexpr double kForgottenDemand = 0.01;

/// Uses by tenant, weighted by exponential decay.
class TenantDemand {
 public:
  void note_use(core::Instant now, const core::TenantName& tenant) {
    Entry& entry = entries_[tenant];
    entry.uses = current(now, entry) + 1;
    entry.at = now;
  }

  [[nodiscard]] double of(core::Instant now, const core::TenantName& tenant) const {
    const auto found = entries_.find(tenant);
    return found == entries_.end() ? 0 : current(now, found->second);
  }

  void forget_idle(core::Instant now) {
    std::erase_if(entries_, [&](const auto& entry) { return current(now, entry.second) < kForgottenDemand; });
  }

  [[nodiscard]] std::size_t tenants() const { return entries_.size(); }

 private:
  struct Entry {
    double uses = 0;
    core::Instant at{};
  };

  static double current(core::Instant now, const Entry& entry) {
    const double half_lives = std::chrono::duration<double>(now - entry.at) / kDemandHalfLife;
    return entry.uses * std::exp2(-half_lives);
  }

  std::map<core::TenantName, Entry> entries_;
};

}  // namespace pipitpond::pooling
