#include "tenancy/quota_home.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::tenancy {

QuotaHome::QuotaHome(core::DaemonId self, QuotaLimits limits) : self_(std::move(self)), limits_(limits) {}

void QuotaHome::apply(core::Instant now, const TenantDirectory& directory, const QuotaHomes& homes,
                      const protocol::Daemon* self) {
  note_own_entry(now, self);
  std::map<core::TenantName, QuotaBucket> next;
  for (const auto& [name, tenant] : directory.tenants()) {
    if (!tenant.quota) {
      continue;
    }
    const std::vector<core::DaemonId>& all = homes.of(name);
    if (std::find(all.begin(), all.end(), self_) == all.end()) {
      continue;
    }
    const BucketLimits part = part_of(*tenant.quota, all.size());
    const auto known = buckets_.find(name);
    if (known == buckets_.end()) {
      next.emplace(name, QuotaBucket(now, part, first_tokens(*tenant.quota, all.size())));
    } else {
      known->second.set_limits(now, part);
      next.insert(buckets_.extract(known));
    }
  }
  buckets_ = std::move(next);
}

// Only where this life's admission made the daemon live, others may have been homes in its place before.
void QuotaHome::note_own_entry(core::Instant now, const protocol::Daemon* self) {
  if (self == nullptr) {
    return;
  }
  const bool joined = self->live_since == self->revision && self->live_since != live_since_;
  if (joined) {
    rests_until_ = now + kHomeProofAge;
  }
  live_since_ = self->live_since;
}

BucketLimits QuotaHome::part_of(const protocol::TenantQuota& quota, std::size_t homes) const {
  const auto count = static_cast<double>(homes);
  return BucketLimits{quota.rate_per_s / count, std::max(quota.burst / count, 1.0)};
}

double QuotaHome::first_tokens(const protocol::TenantQuota& quota, std::size_t homes) const {
  const double seconds = std::chrono::duration<double>(limits_.window).count();
  const double excess = limits_.excess * (quota.rate_per_s * seconds + quota.burst) + limits_.slack;
  return excess / static_cast<double>(homes) / kBeginningsInWindow;
}

QuotaGrant QuotaHome::take(core::Instant now, const core::TenantName& tenant, core::Instant complete_until) {
  const auto found = buckets_.find(tenant);
  const bool certain = now - complete_until < kHomeProofAge;
  if (stopped_ || found == buckets_.end() || !certain || now < rests_until_) {
    return QuotaGrant{};
  }
  QuotaGrant grant;
  grant.is_home = true;
  grant.granted = found->second.take(now);
  if (!grant.granted) {
    grant.retry_in = found->second.time_to_next();
  }
  return grant;
}

}  // namespace pipitpond::tenancy
