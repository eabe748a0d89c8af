#include "pooling/quota_asker.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "wire/codec.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

// Not part of the coroutine: GCC 12 destroys a temporary of such an initializer twice there.
std::string request_body(core::TenantName tenant, std::vector<GivenBackOperation> given_back) {
  return wire::pack(QuotaRequest{std::move(tenant), std::move(given_back)});
}

/// The answer to an operation that `home` granted.
QuotaAnswer granted_by(const core::DaemonId& home, const core::TenantName& tenant,
                       tenancy::TokenNumber number) {
  QuotaAnswer answer;
  answer.outcome = QuotaOutcome::kGranted;
  if (number != 0) {
    answer.receipt = QuotaReceipt{home, GivenBackOperation{tenant, number}};
  }
  return answer;
}

}  // namespace

QuotaAsker::QuotaAsker(boost::asio::io_context& io, core::DaemonId self) : io_(io), self_(std::move(self)) {}

void QuotaAsker::apply(const protocol::Configuration& configuration) {
  std::erase_if(links_, [&configuration](const auto& entry) {
    const auto found = configuration.daemons.find(entry.first);
    return found == configuration.daemons.end() || found->second.internal != entry.second->endpoint ||
           found->second.incarnation != entry.second->incarnation;
  });
  for (const auto& [id, daemon] : configuration.daemons) {
    if (id == self_ || links_.contains(id)) {
      continue;
    }
    auto link = std::make_shared<Link>();
    link->endpoint = daemon.internal;
    link->incarnation = daemon.incarnation;
    links_.emplace(id, std::move(link));
  }
}

awaitable<QuotaAnswer> QuotaAsker::take(std::vector<core::DaemonId> homes, core::TenantName tenant,
                                        const TakeOwn& take_own) {
  QuotaAnswer answer;
  answer.retry_in = kQuotaComeBack;
  const auto note_empty = [&answer](core::Duration retry_in) {
    const bool first = answer.outcome == QuotaOutcome::kNotTold;
    answer.retry_in = first ? retry_in : std::min(answer.retry_in, retry_in);
    answer.outcome = QuotaOutcome::kOverQuota;
  };
  for (const core::DaemonId& home : homes) {
    const core::Instant now = core::BootClock::now();
    if (home == self_) {
      const tenancy::QuotaGrant grant = take_own(tenant);
      if (grant.granted) {
        co_return granted_by(home, tenant, grant.number);
      }
      if (grant.is_home) {
        note_empty(grant.retry_in);
      }
      continue;
    }
    const auto found = links_.find(home);
    if (found == links_.end() || now < found->second->avoided_until) {
      continue;
    }
    const LinkPointer link = found->second;
    const auto empty = link->empty_until.find(tenant);
    if (empty != link->empty_until.end() && now < empty->second) {
      note_empty(empty->second - now);
      continue;
    }
    const auto disowned = link->no_home_until.find(tenant);
    if (disowned != link->no_home_until.end() && now < disowned->second) {
      continue;
    }
    const auto reply = co_await ask(link, tenant);
    const core::Instant answered = core::BootClock::now();
    if (!reply) {
      link->avoided_until = answered + kAvoidSilentHome;
      continue;
    }
    if (!reply.value().is_home) {
      link->no_home_until[tenant] = answered + kAvoidSilentHome;
      continue;
    }
    if (reply.value().granted) {
      co_return granted_by(home, tenant, reply.value().number);
    }
    const core::Duration retry_in = std::chrono::milliseconds(reply.value().retry_in_ms);
    link->empty_until[tenant] = answered + retry_in;
    note_empty(retry_in);
  }
  co_return answer;
}

void QuotaAsker::give_back(QuotaReceipt receipt) {
  const auto found = links_.find(receipt.home);
  if (found == links_.end() || found->second->given_back.size() >= kMostGivenBack) {
    return;
  }
  ++counters_.given_back;
  Link& link = *found->second;
  link.empty_until.erase(receipt.operation.tenant);  // There is one again.
  link.given_back.push_back(std::move(receipt.operation));
}

awaitable<core::Result<QuotaReply>> QuotaAsker::ask(LinkPointer link, core::TenantName tenant) {
  if (!link->channel) {
    link->channel = wire::Channel::create(io_, link->endpoint);
  }
  ++counters_.asked;
  const std::shared_ptr<wire::Channel> channel = link->channel;
  std::string body = request_body(std::move(tenant), std::exchange(link->given_back, {}));
  const auto answer = co_await channel->call(wire::MessageType::kQuota, std::move(body), kQuotaTimeout);
  if (!answer) {
    ++counters_.unanswered;
    co_return answer.error();
  }
  co_return wire::unpack<QuotaReply>(answer.value());
}

}  // namespace pipitpond::pooling
