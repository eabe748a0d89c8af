#include "pooling/quota_client.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>
#include <vector>

#include "wire/codec.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

// A separate function because GCC 12 destroys a temporary of such an initializer twice in a coroutine.
std::string request_body(const QuotaScope& scope, std::vector<GivenBackOperation> given_back,
                         std::uint32_t operations) {
  return wire::pack(QuotaRequest{scope.tenant, std::move(given_back), operations, scope.priority});
}

/// The answer for an operation granted by `home`.
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

QuotaClient::QuotaClient(boost::asio::io_context& io, core::DaemonId self)
    : io_(io), self_(std::move(self)) {}

void QuotaClient::apply(const protocol::Configuration& configuration) {
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

awaitable<QuotaAnswer> QuotaClient::take(std::vector<core::DaemonId> homes, QuotaScope scope,
                                         const TakeFromLocalHome& take_from_local_home) {
  QuotaAnswer answer;
  answer.retry_in = kNoHomeRetryAfter;
  const auto note_empty = [&answer](core::Duration retry_in) {
    const bool first = answer.outcome == QuotaOutcome::kNoHomeAvailable;
    answer.retry_in = first ? retry_in : std::min(answer.retry_in, retry_in);
    answer.outcome = QuotaOutcome::kOverQuota;
  };
  for (const core::DaemonId& home : homes) {
    CallerResult result;
    if (home == self_) {
      result = take_from_self(scope, take_from_local_home);
    } else if (const auto found = links_.find(home); found != links_.end()) {
      const LinkPointer link = found->second;
      result = co_await ask_home(link, scope);
    }
    if (result.granted) {
      co_return granted_by(home, scope.tenant, *result.granted);
    }
    if (result.retry_in) {
      note_empty(*result.retry_in);
    }
  }
  co_return answer;
}

QuotaClient::CallerResult QuotaClient::take_from_self(const QuotaScope& scope,
                                                      const TakeFromLocalHome& take_from_local_home) {
  const core::Instant now = core::BootClock::now();
  const auto local_empty = local_empty_until_.find(scope);
  if (local_empty != local_empty_until_.end() && now < local_empty->second) {
    return CallerResult{{}, local_empty->second - now};
  }
  const tenancy::QuotaGrant grant = take_from_local_home(scope);
  if (grant.granted > 0) {
    return CallerResult{grant.first, {}};
  }
  if (!grant.is_home) {
    return CallerResult{};
  }
  local_empty_until_[scope] = now + grant.retry_in;
  return CallerResult{{}, grant.retry_in};
}

awaitable<QuotaClient::CallerResult> QuotaClient::ask_home(LinkPointer link, QuotaScope scope) {
  HomeState& state = link->tenants[scope];
  const core::Instant now = core::BootClock::now();
  if (now < link->avoided_until || now < state.not_home_until) {
    co_return CallerResult{};
  }
  if (now < state.empty_until) {
    co_return CallerResult{{}, state.empty_until - now};
  }
  if (state.request_in_flight) {
    if (!state.next_request) {
      state.next_request = std::make_shared<SharedRequest>(io_);
    }
    const SharedRequestPointer request = state.next_request;
    const std::uint32_t caller_index = request->operations++;
    boost::system::error_code cancelled;
    co_await request->answered.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    co_return result_for_caller(*request, caller_index);
  }
  const auto request = std::make_shared<SharedRequest>(io_);
  request->operations = 1;
  if (now < state.share_until) {
    state.request_in_flight = true;
    co_await run_shared_request(link, scope, request);
  } else {
    request->reply = co_await ask(link, scope, request->operations);
    record_reply(*link, scope, *request->reply);
  }
  co_return result_for_caller(*request, 0);
}

QuotaClient::CallerResult QuotaClient::result_for_caller(const SharedRequest& request,
                                                         std::uint32_t caller_index) {
  if (!request.reply || !*request.reply || !request.reply->value().is_home) {
    return CallerResult{};
  }
  const QuotaReply& reply = request.reply->value();
  // A daemon of an older version grants single operations and leaves `operations` at 0.
  const std::uint32_t granted = reply.granted ? std::max(reply.operations, 1U) : 0;
  if (caller_index < granted) {
    return CallerResult{reply.number == 0 ? 0 : reply.number + caller_index, {}};
  }
  return CallerResult{{}, std::chrono::milliseconds(reply.retry_in_ms)};
}

awaitable<void> QuotaClient::run_shared_request(LinkPointer link, QuotaScope scope,
                                                SharedRequestPointer request) {
  HomeState& state = link->tenants[scope];
  request->reply = co_await ask(link, scope, request->operations);
  record_reply(*link, scope, *request->reply);
  request->answered.cancel();
  const SharedRequestPointer next = std::exchange(state.next_request, nullptr);
  if (!next) {
    state.request_in_flight = false;
    co_return;
  }
  const core::Instant now = core::BootClock::now();
  const bool usable = *request->reply && request->reply->value().is_home;
  if (usable && now >= state.empty_until) {
    // Spawned separately, because the caller of this coroutine already has its answer.
    boost::asio::co_spawn(io_, run_shared_request(link, scope, next), boost::asio::detached);
    co_return;
  }
  state.request_in_flight = false;
  next->reply = request->reply;
  if (usable) {
    QuotaReply& refusal = next->reply->value();
    refusal.granted = false;
    refusal.operations = 0;
  }
  next->answered.cancel();
}

void QuotaClient::record_reply(Link& link, const QuotaScope& scope, const core::Result<QuotaReply>& reply) {
  const core::Instant now = core::BootClock::now();
  HomeState& state = link.tenants[scope];
  if (!reply) {
    link.avoided_until = now + kHomeBackoff;
    return;
  }
  if (!reply.value().is_home) {
    state.not_home_until = now + kHomeBackoff;
    return;
  }
  const core::Duration retry_in = std::chrono::milliseconds(reply.value().retry_in_ms);
  if (retry_in > core::Duration::zero()) {
    state.empty_until = now + retry_in;
    state.share_until = state.empty_until + kShareRequestsAfterShortage;
  }
}

void QuotaClient::give_back(QuotaReceipt receipt) {
  const auto found = links_.find(receipt.home);
  if (found == links_.end() || found->second->given_back.size() >= kMaxGivenBackPerRequest) {
    return;
  }
  ++counters_.given_back;
  Link& link = *found->second;
  for (auto& [scope, state] : link.tenants) {
    if (scope.tenant == receipt.operation.tenant) {
      state.empty_until = {};  // The returned operation is available again.
    }
  }
  link.given_back.push_back(std::move(receipt.operation));
}

awaitable<core::Result<QuotaReply>> QuotaClient::ask(LinkPointer link, QuotaScope scope,
                                                     std::uint32_t operations) {
  if (!link->channel) {
    link->channel = wire::Channel::create(io_, link->endpoint);
  }
  ++counters_.asked;
  const std::shared_ptr<wire::Channel> channel = link->channel;
  std::string body = request_body(scope, std::exchange(link->given_back, {}), operations);
  const auto answer = co_await channel->call(wire::MessageType::kQuota, std::move(body), kQuotaTimeout);
  if (!answer) {
    ++counters_.unanswered;
    co_return answer.error();
  }
  co_return wire::unpack<QuotaReply>(answer.value());
}

}  // namespace pipitpond::pooling
