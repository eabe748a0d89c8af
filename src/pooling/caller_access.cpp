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
      quota_client_(io, std::move(self)),
      take_from_local_home_([this](const QuotaScope& scope) {
        return home_.take(core::BootClock::now(), scope.tenant, agent_.complete_until(),
                          tenancy::QuotaDemand{1, scope.priority});
      }) {}

void CallerAccess::apply(core::Instant now, const protocol::Configuration& configuration) {
  const bool new_table = configuration.routes.version != table_version_;
  table_version_ = configuration.routes.version;
  directory_.apply(configuration.routes);
  const bool new_daemons = homes_.apply(configuration);
  if (!directory_.keys_needed()) {
    return;
  }
  quota_client_.apply(configuration);
  if (new_table || new_daemons || !incarnation_listed_) {
    const auto self = configuration.daemons.find(self_);
    incarnation_listed_ =
        self != configuration.daemons.end() && self->second.incarnation == agent_.incarnation();
    home_.apply(now, directory_, homes_, incarnation_listed_ ? &self->second : nullptr);
  }
}

bool CallerAccess::keys_are_certain(core::Instant now) const {
  return !directory_.keys_needed() || tenancy::keys_are_certain(options_.keys, agent_.complete_until(), now);
}

tenancy::Access CallerAccess::judge(const protocol::Route& route, const protocol::KeyDigest& key,
                                    core::Instant now) const {
  return tenancy::judge(directory_, route, key, keys_are_certain(now));
}

awaitable<QuotaAnswer> CallerAccess::take_operation(QuotaScope scope) {
  const protocol::Tenant* tenant = directory_.find(scope.tenant);
  if (tenant == nullptr || !tenant->quota) {
    QuotaAnswer unlimited;
    unlimited.outcome = QuotaOutcome::kGranted;
    co_return unlimited;
  }
  std::vector<core::DaemonId> homes = homes_.of(scope.tenant);
  co_return co_await quota_client_.take(std::move(homes), std::move(scope), take_from_local_home_);
}

void CallerAccess::give_back(const QuotaReceipt& receipt) {
  if (receipt.home == self_) {
    home_.give_back(core::BootClock::now(), receipt.operation.tenant, receipt.operation.number);
  } else {
    quota_client_.give_back(receipt);
  }
}

QuotaReply CallerAccess::answer(core::Instant now, const QuotaRequest& request) {
  const std::size_t given_back = std::min(request.given_back.size(), kMaxGivenBackPerRequest);
  for (std::size_t index = 0; index < given_back; ++index) {
    const GivenBackOperation& operation = request.given_back[index];
    home_.give_back(now, operation.tenant, operation.number);
  }
  return to_quota_reply(home_.take(now, request.tenant, agent_.complete_until(),
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
