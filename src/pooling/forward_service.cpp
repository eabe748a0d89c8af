#include "pooling/forward_service.hpp"

#include <random>
#include <utility>
#include <vector>

#include "wire/codec.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// A random start for transaction identifiers, with room to count up; never 0, which means no transaction.
ForwardedTransaction random_first_transaction() {
  std::random_device random;
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  constexpr unsigned kHighShift = 31;
  return ((high << kHighShift) ^ low) | 1U;
}

/// Lets the daemon that forwarded a transaction end it first.
constexpr core::Duration kIdleMargin = std::chrono::milliseconds(500);

/// The error for a statement that was not run.
core::Error not_run_error(std::string why) {
  return core::Error{core::ErrorKind::kUnavailable, std::move(why), "Use another owner, or try again.", 100};
}

/// Keeps the distinction between an unreachable database and a lack of capacity at this daemon.
core::Error not_run_error_from(const core::Error& error) {
  core::Error reported = not_run_error(error.message);
  if (error.kind == core::ErrorKind::kNoCapacity) {
    reported.kind = core::ErrorKind::kNoCapacity;
  }
  return reported;
}

core::Error stopping_error() {
  return core::Error{core::ErrorKind::kLeaving, "This daemon is stopping.", "Use another owner.", 0};
}

core::Duration duration_of(std::uint32_t millis) {
  return std::chrono::milliseconds(millis);
}

/// `forwarded` must outlive the result. A separate function because GCC 12 destroys a temporary of such an
/// initializer twice in a coroutine.
ConnectionRequest connection_request(const ForwardedStatement& forwarded, core::Instant begun) {
  ConnectionRequest request;
  request.priority = forwarded.priority;
  request.deadline = begun + duration_of(forwarded.wait_ms);
  request.session = &forwarded.session;
  request.goal = begun + duration_of(forwarded.goal_ms);
  request.tenant = forwarded.tenant;
  request.since = begun - duration_of(forwarded.waited_ms);
  return request;
}

}  // namespace

ForwardService::ForwardService(Backends& backends, CallerAccess& access)
    : backends_(backends), access_(access), last_transaction_(random_first_transaction()) {}

awaitable<core::Result<std::string>> ForwardService::handle(wire::PeerId peer, wire::MessageType type,
                                                            std::string body) {
  if (type == wire::MessageType::kPeerProbe) {
    co_return std::string();
  }
  if (type == wire::MessageType::kTransactionEnd) {
    const auto message = wire::unpack<ForwardedEnd>(body);
    if (message) {
      end_transaction(peer, message.value().transaction);
    }
    co_return std::string();
  }
  if (type == wire::MessageType::kDatabaseStatus) {
    auto request = wire::unpack<ForwardedStatusRequest>(body);
    if (!request) {
      co_return request.error();
    }
    co_return co_await ask_status(std::move(request.value()));
  }
  if (type == wire::MessageType::kPrimaryPositions) {
    const auto request = wire::unpack<PositionRequest>(body);
    if (!request) {
      co_return request.error();
    }
    co_return wire::pack(backends_.known_positions(request.value(), core::BootClock::now()));
  }
  if (type == wire::MessageType::kShownPrimary) {
    const auto request = wire::unpack<ShownPrimaryRequest>(body);
    if (!request) {
      co_return request.error();
    }
    co_return co_await show_primary(request.value());
  }
  if (type == wire::MessageType::kQuota) {
    const auto request = wire::unpack<QuotaRequest>(body);
    if (!request) {
      co_return request.error();
    }
    co_return wire::pack(access_.answer(core::BootClock::now(), request.value()));
  }
  if (type != wire::MessageType::kStatement) {
    co_return core::fail(core::ErrorKind::kInvalidArgument, "This daemon does not support this message type.",
                         "Run the same version of pipitpond on every machine.");
  }
  auto forwarded = wire::unpack<ForwardedStatement>(body);
  if (!forwarded) {
    co_return forwarded.error();
  }
  ++running_;
  peers_.insert(peer);
  auto answer = co_await run(peer, std::move(forwarded.value()));
  --running_;
  co_return answer;
}

awaitable<core::Result<std::string>> ForwardService::run(wire::PeerId peer, ForwardedStatement forwarded) {
  if (forwarded.transaction == 0) {
    co_return co_await run_outside_transaction(peer, std::move(forwarded));
  }
  const auto found = transactions_.find(forwarded.transaction);
  const bool known = found != transactions_.end() && found->second->peer == peer && !found->second->running;
  if (!known) {
    co_return not_run_error("The transaction is no longer open at this daemon.");
  }
  HeldTransactionPointer held = found->second;
  co_return co_await run_in_transaction(std::move(held), std::move(forwarded));
}

awaitable<core::Result<std::string>> ForwardService::run_outside_transaction(wire::PeerId peer,
                                                                             ForwardedStatement forwarded) {
  if (refusing_new_) {
    co_return stopping_error();
  }
  const core::Instant begun = core::BootClock::now();
  const std::shared_ptr<BackendPool> pool = backends_.pool(forwarded.database);
  if (!pool) {
    co_return not_run_error("This daemon does not know the database.");
  }
  const ConnectionRequest request = connection_request(forwarded, begun);
  auto lease = co_await BackendPool::acquire(pool, request);
  if (!lease) {
    co_return not_run_error_from(lease.error());
  }
  auto held = std::make_shared<HeldTransaction>();
  held->peer = peer;
  held->lease.reset(new ConnectionLease(std::move(lease.value())));
  held->choice = backends_.choice_for(forwarded.database);
  co_return co_await run_in_transaction(std::move(held), std::move(forwarded));
}

/// Also runs statements outside transactions, as they may open one.
awaitable<core::Result<std::string>> ForwardService::run_in_transaction(HeldTransactionPointer held,
                                                                        ForwardedStatement forwarded) {
  ++served_;
  held->running = true;
  BackendStatement statement{std::move(forwarded.statement), forwarded.after};
  const core::Instant sent = core::BootClock::now();
  auto ran =
      co_await held->lease->run(forwarded.session, std::move(statement), duration_of(forwarded.timeout_ms));
  held->running = false;
  held->last_statement_ended_at = core::BootClock::now();
  if (ran && ran.value().position && held->choice) {
    // Other daemons ask this one for positions: see Backends::request_position.
    const core::GroupName& group = held->choice->pool->address().group;
    backends_.note_position(group, *held->choice, sent, held->last_statement_ended_at, *ran.value().position);
  }
  const bool open = ran && ran.value().state != TransactionState::kIdle;
  // If the peer has disconnected, no one would end the transaction.
  const bool still_wanted = !held->abandoned && peers_.contains(held->peer);
  if (!open || !still_wanted) {
    transactions_.erase(forwarded.transaction);
  }
  if (!ran && ran.error().kind == core::ErrorKind::kConnectionRefused) {
    co_return not_run_error(ran.error().message);
  }
  if (!ran) {
    co_return ran.error();
  }
  ForwardedAnswer answer;
  if (open && still_wanted) {
    answer.transaction = forwarded.transaction != 0 ? forwarded.transaction : ++last_transaction_;
    transactions_[answer.transaction] = held;
  }
  answer.reply = std::move(ran.value());
  co_return wire::pack(answer);
}

awaitable<core::Result<std::string>> ForwardService::ask_status(ForwardedStatusRequest request) {
  const std::shared_ptr<BackendPool> pool = backends_.pool(request.database);
  if (!pool) {
    co_return not_run_error("This daemon does not know the database.");
  }
  const auto status = co_await BackendPool::ask_status(pool, duration_of(request.timeout_ms));
  if (!status) {
    co_return status.error();
  }
  co_return wire::pack(status.value());
}

awaitable<core::Result<std::string>> ForwardService::show_primary(ShownPrimaryRequest request) {
  const auto shown = co_await backends_.show_primary(std::move(request));
  if (!shown) {
    co_return shown.error();
  }
  co_return wire::pack(shown.value());
}

void ForwardService::end_transaction(wire::PeerId peer, ForwardedTransaction transaction) {
  const auto found = transactions_.find(transaction);
  if (found != transactions_.end() && found->second->peer == peer) {
    found->second->abandoned = true;
    transactions_.erase(found);
  }
}

void ForwardService::peer_closed(wire::PeerId peer) {
  peers_.erase(peer);
  std::erase_if(transactions_, [peer](const auto& entry) { return entry.second->peer == peer; });
}

void ForwardService::end_transactions() {
  std::erase_if(transactions_, [](const auto& entry) { return !entry.second->running; });
}

void ForwardService::end_idle_transactions(core::Instant now, core::Duration limit) {
  if (limit == core::Duration::zero()) {
    return;
  }
  std::erase_if(transactions_, [&](const auto& entry) {
    return !entry.second->running && now - entry.second->last_statement_ended_at >= limit + kIdleMargin;
  });
}

}  // namespace pipitpond::pooling
