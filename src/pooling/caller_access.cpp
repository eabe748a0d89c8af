#include "pooling/caller_access.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pipitpond::pooling {

using boost::asio::awaitable;

CallerAccess::CallerAccess(boost::asio::io_context& io, agent::Agent& agent, core::DaemonId self,
                           core::ZoneName zone, AccessOptions options)
    : agent_(agent),
      self_(self),
      options_(options),
      homes_(std::move(zone)),
      home_(self, options.quotas),
      asker_(io, std::move(self)),
      take_own_([this](const QuotaScope& asked) {
        return home_.take(core::BootClock::now(), asked.tenant, agent_.complete_until(),
                          tenancy::QuotaDemand{1, asked.priority});
      }) {}

void CallerAccess::apply(core::Instant now, const protocol::Configuration& configuration) {
  const bool new_table = configuration.routes.version != table_version_;
  table_version_ = configuration.routes.version;
  directory_.apply(configuration.routes);
  const bool new_daemons = homes_.apply(configuration);
  if (!directory_.keys_needed()) {
    return;
  }
  asker_.apply(configuration);
  if (new_table || new_daemons || !admitted_) {
    const auto self = configuration.daemons.find(self_);
    admitted_ = self != configuration.daemons.end() && self->second.incarnation == agent_.incarnation();
    home_.apply(now, directory_, homes_, admitted_ ? &self->second : nullptr);
  }
}

bool CallerAccess::keys_are_certain(core::Instant now) const {
  return !directory_.keys_needed() || tenancy::keys_are_certain(options_.keys, agent_.complete_until(), now);
}

tenancy::Access CallerAccess::judge(const protocol::Route& route, const protocol::KeyDigest& key,
                                    core::Instant now) const {
  return tenancy::judge(directory_, route, key, keys_are_certain(now));
}

awaitable<QuotaAnswer> CallerAccess::take_operation(QuotaScope asked) {
  const protocol::Tenant* known = directory_.find(asked.tenant);
  if (known == nullptr || !known->quota) {
    QuotaAnswer unlimited;
    unlimited.outcome = QuotaOutcome::kGranted;
    co_return unlimited;
  }
  std::vector<core::DaemonId> homes = homes_.of(asked.tenant);
  co_return co_await asker_.take(std::move(homes), std::move(asked), take_own_);
}

void CallerAccess::give_back(const QuotaReceipt& receipt) {
  if (receipt.home == self_) {
    home_.give_back(core::BootClock::now(), receipt.operation.tenant, receipt.operation.number);
  } else {
    asker_.give_back(receipt);
  }
}

QuotaReply CallerAccess::answer(core::Instant now, const QuotaRequest& request) {
  const std::size_t given_back = std::min(request.given_back.size(), kMaxGivenBackPerRequest);
  for (std::size_t index = 0; index < given_back; ++index) {
    const GivenBackOperation& operation = request.given_back[index];
    home_.give_back(now, operation.tenant, operation.number);
  }
  return reply_of(home_.take(now, request.tenant, agent_.complete_until(),
                             tenancy::QuotaDemand{request.operations, request.priority}));
}

void CallerAccess::count(tenancy::Verdict verdict) {
  if (verdict == tenancy::Verdict::kUnknownKey) {
    ++counters_.unknown_key;
  } else if (verdict == tenancy::Verdict::kUncertain) {
    ++counters_.keys_not_certain;
  }
}

void CallerAccess::count(const QuotaAnswer& answer) {
  if (answer.outcome == QuotaOutcome::kOverQuota) {
    ++counters_.over_quota;
  } else if (answer.outcome == QuotaOutcome::kNoHomeAvailable) {
    ++counters_.quota_not_told;
  }
}

}  // namespace pipitpond::pooling
