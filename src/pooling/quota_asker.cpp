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

// Not part of the coroutine: GCC 12 destroys a temporary of such an initializer twice there.
std::string request_body(const QuotaScope& asked, std::vector<GivenBackOperation> given_back,
                         std::uint32_t operations) {
  return wire::pack(QuotaRequest{asked.tenant, std::move(given_back), operations, asked.priority});
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

awaitable<QuotaAnswer> QuotaClient::take(std::vector<core::DaemonId> homes, QuotaScope asked,
                                         const TakeFromLocalHome& take_own) {
  QuotaAnswer answer;
  answer.retry_in = kQuotaComeBack;
  const auto note_empty = [&answer](core::Duration retry_in) {
    const bool first = answer.outcome == QuotaOutcome::kNoHomeAvailable;
    answer.retry_in = first ? retry_in : std::min(answer.retry_in, retry_in);
    answer.outcome = QuotaOutcome::kOverQuota;
  };
  for (const core::DaemonId& home : homes) {
    CallersShare share;
    if (home == self_) {
      share = take_own_share(asked, take_own);
    } else if (const auto found = links_.find(home); found != links_.end()) {
      const LinkPointer link = found->second;
      share = co_await ask_one(link, asked);
    }
    if (share.granted) {
      co_return granted_by(home, asked.tenant, *share.granted);
    }
    if (share.retry_in) {
      note_empty(*share.retry_in);
    }
  }
  co_return answer;
}

QuotaClient::CallersShare QuotaClient::take_own_share(const QuotaScope& asked,
                                                      const TakeFromLocalHome& take_own) {
  const core::Instant now = core::BootClock::now();
  const auto empty = own_empty_until_.find(asked);
  if (empty != own_empty_until_.end() && now < empty->second) {
    return CallersShare{{}, empty->second - now};
  }
  const tenancy::QuotaGrant grant = take_own(asked);
  if (grant.granted > 0) {
    return CallersShare{grant.first, {}};
  }
  if (!grant.is_home) {
    return CallersShare{};
  }
  own_empty_until_[asked] = now + grant.retry_in;
  return CallersShare{{}, grant.retry_in};
}

awaitable<QuotaClient::CallersShare> QuotaClient::ask_one(LinkPointer link, QuotaScope asked) {
  TenantAtHome& known = link->tenants[asked];
  const core::Instant now = core::BootClock::now();
  if (now < link->avoided_until || now < known.no_home_until) {
    co_return CallersShare{};
  }
  if (now < known.empty_until) {
    co_return CallersShare{{}, known.empty_until - now};
  }
  if (known.asking) {
    if (!known.gathering) {
      known.gathering = std::make_shared<Question>(io_);
    }
    const QuestionPointer question = known.gathering;
    const std::uint32_t index = question->operations++;
    boost::system::error_code cancelled;
    co_await question->answered.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    co_return share_of(*question, index);
  }
  const auto question = std::make_shared<Question>(io_);
  question->operations = 1;
  if (now < known.short_until) {
    known.asking = true;
    co_await ask_for_all(link, asked, question);
  } else {
    question->reply = co_await ask(link, asked, question->operations);
    note(*link, asked, *question->reply);
  }
  co_return share_of(*question, 0);
}

QuotaClient::CallersShare QuotaClient::share_of(const Question& question, std::uint32_t index) {
  if (!question.reply || !*question.reply || !question.reply->value().is_home) {
    return CallersShare{};
  }
  const QuotaReply& reply = question.reply->value();
  // A daemon that knows of single operations only does not tell how many.
  const std::uint32_t granted = reply.granted ? std::max(reply.operations, 1U) : 0;
  if (index < granted) {
    return CallersShare{reply.number == 0 ? 0 : reply.number + index, {}};
  }
  return CallersShare{{}, std::chrono::milliseconds(reply.retry_in_ms)};
}

awaitable<void> QuotaClient::ask_for_all(LinkPointer link, QuotaScope asked, QuestionPointer question) {
  TenantAtHome& known = link->tenants[asked];
  question->reply = co_await ask(link, asked, question->operations);
  note(*link, asked, *question->reply);
  question->answered.cancel();
  const QuestionPointer next = std::exchange(known.gathering, nullptr);
  if (!next) {
    known.asking = false;
    co_return;
  }
  const core::Instant now = core::BootClock::now();
  const bool of_use = *question->reply && question->reply->value().is_home;
  if (of_use && now >= known.empty_until) {
    // By itself: this coroutine's caller has its answer.
    boost::asio::co_spawn(io_, ask_for_all(link, asked, next), boost::asio::detached);
    co_return;
  }
  known.asking = false;
  next->reply = question->reply;
  if (of_use) {
    QuotaReply& refusal = next->reply->value();
    refusal.granted = false;
    refusal.operations = 0;
  }
  next->answered.cancel();
}

void QuotaClient::note(Link& link, const QuotaScope& asked, const core::Result<QuotaReply>& reply) {
  const core::Instant now = core::BootClock::now();
  TenantAtHome& known = link.tenants[asked];
  if (!reply) {
    link.avoided_until = now + kAvoidSilentHome;
    return;
  }
  if (!reply.value().is_home) {
    known.no_home_until = now + kAvoidSilentHome;
    return;
  }
  const core::Duration retry_in = std::chrono::milliseconds(reply.value().retry_in_ms);
  if (retry_in > core::Duration::zero()) {
    known.empty_until = now + retry_in;
    known.short_until = known.empty_until + kAskTogether;
  }
}

void QuotaClient::give_back(QuotaReceipt receipt) {
  const auto found = links_.find(receipt.home);
  if (found == links_.end() || found->second->given_back.size() >= kMaxGivenBackPerRequest) {
    return;
  }
  ++counters_.given_back;
  Link& link = *found->second;
  for (auto& [asked, known] : link.tenants) {
    if (asked.tenant == receipt.operation.tenant) {
      known.empty_until = {};  // There is one again.
    }
  }
  link.given_back.push_back(std::move(receipt.operation));
}

awaitable<core::Result<QuotaReply>> QuotaClient::ask(LinkPointer link, QuotaScope asked,
                                                     std::uint32_t operations) {
  if (!link->channel) {
    link->channel = wire::Channel::create(io_, link->endpoint);
  }
  ++counters_.asked;
  const std::shared_ptr<wire::Channel> channel = link->channel;
  std::string body = request_body(asked, std::exchange(link->given_back, {}), operations);
  const auto answer = co_await channel->call(wire::MessageType::kQuota, std::move(body), kQuotaTimeout);
  if (!answer) {
    ++counters_.unanswered;
    co_return answer.error();
  }
  co_return wire::unpack<QuotaReply>(answer.value());
}

}  // namespace pipitpond::pooling
