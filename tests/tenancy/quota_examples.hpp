// Quotas that several tests play, and what is promised of them.
#pragma once

#include <chrono>

#include "protocol/tenant.hpp"
#include "tenancy/quota_home.hpp"

namespace pipitpond::tenancy {

/// Zones with one home each.
inline constexpr int kZones = 3;
inline constexpr protocol::TenantQuota kLarge{200, 200};
inline constexpr protocol::TenantQuota kSmall{5, 5};

/// Operations that may run in a window.
inline double permitted(protocol::TenantQuota quota) {
  const QuotaLimits limits;
  const double seconds = std::chrono::duration<double>(limits.window).count();
  return (quota.rate_per_s * seconds + quota.burst) * (1 + limits.excess) + limits.slack;
}

}  // namespace pipitpond::tenancy
