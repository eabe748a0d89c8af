#include "tenancy/quota_home.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace pipitpond::tenancy {

HomePart part_of_home(const protocol::TenantQuota& quota, const QuotaLimits& limits, std::size_t homes) {
  const auto count = static_cast<double>(homes);
  const double seconds = std::chrono::duration<double>(limits.window).count();
  const double permitted = quota.rate_per_s * seconds + quota.burst;
  const double extra = permitted * limits.excess + limits.slack;
  const double held = extra * kHeldPart / count;
  if (held < 1) {
    const BucketLimits plain{quota.rate_per_s / count, std::max(quota.burst / count, 1.0)};
    return HomePart{plain, extra / count / kBeginningsInWindow};
  }
  const double first_tokens = extra * (1 - kHeldPart) / count / kBeginningsInWindow;
  return HomePart{BucketLimits{permitted / seconds / count, held}, first_tokens};
}

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
    const HomePart part = part_of_home(*tenant.quota, limits_, all.size());
    const auto known = buckets_.find(name);
    if (known == buckets_.end()) {
      next.emplace(name, QuotaBucket(now, part.limits, part.first_tokens));
    } else {
      known->second.set_limits(now, part.limits);
      next.insert(buckets_.extract(known));
    }
  }
  buckets_ = std::move(next);
  std::erase_if(asked_, [this](const auto& entry) { return !buckets_.contains(entry.first); });
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

QuotaGrant QuotaHome::take(core::Instant now, const core::TenantName& tenant, core::Instant complete_until,
                           QuotaDemand demand) {
  const auto found = buckets_.find(tenant);
  const bool certain = now - complete_until < kHomeProofAge;
  if (stopped_ || found == buckets_.end() || !certain || now < rests_until_) {
    return QuotaGrant{};
  }
  QuotaBucket& bucket = found->second;
  Asked& asked = asked_[tenant];
  const std::uint32_t operations = std::clamp(demand.operations, 1U, kMostOperationsAsked);
  asked.reserve.note(now, demand.priority, operations);
  const double reserved = asked.reserve.before(demand.priority, bucket.limits().capacity);
  QuotaGrant grant;
  grant.is_home = true;
  for (; grant.granted < operations; ++grant.granted) {
    const std::optional<TokenNumber> number = bucket.take(now, reserved);
    if (!number) {
      break;
    }
    grant.first = grant.granted == 0 ? *number : grant.first;
  }
  if (grant.granted < operations) {
    const auto priority = std::min<std::size_t>(demand.priority, kQuotaPriorities - 1);
    grant.retry_in = asked.turns[priority].refuse(now, bucket.time_to_next(), operations - grant.granted,
                                                  bucket.limits().rate_per_s);
  }
  return grant;
}

void QuotaHome::give_back(core::Instant now, const core::TenantName& tenant, TokenNumber number) {
  const auto found = buckets_.find(tenant);
  if (found != buckets_.end() && found->second.give_back(now, number)) {
    ++given_back_;
  }
}

}  // namespace pipitpond::tenancy
