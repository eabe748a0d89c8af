// How much each tenant has asked of a database lately: tells whose idle connection is worth least. No input
// or output.
#pragma once

#include <cmath>
#include <cstddef>
#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::pooling {

/// A use counts half after this long: long enough for the rate of one use in some seconds to show, short
/// enough to follow a tenant that moves to another zone. A guess; no other was measured.
inline constexpr core::Duration kDemandHalfLife = std::chrono::seconds(10);
/// Tenants with less than this (no use for some 70 s) are forgotten.
inline constexpr double kForgottenDemand = 0.01;

/// Uses by tenant, older ones counting less.
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
