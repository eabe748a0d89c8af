#include "pooling/forward_service.hpp"

#include <random>
#include <utility>
#include <vector>

#include "wire/codec.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// Leaves room for counting on; never 0, which names no transaction.
ForwardedTransaction first_transaction() {
  std::random_device random;
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  constexpr unsigned kHighShift = 31;
  return ((high << kHighShift) ^ low) | 1U;
}

/// The daemon whose transaction it is ends it first.
constexpr core::Duration kIdleMargin = std::chrono::milliseconds(500);

/// Of a statement that was not run.
core::Error not_run(std::string why) {
  return core::Error{core::ErrorKind::kUnavailable, std::move(why), "Ask another owner, or try again.", 100};
}

/// Tells whether this daemon could not reach the database at all, or was only too busy.
core::Error not_run_here(const core::Error& error) {
  core::Error told = not_run(error.message);
  if (error.kind == core::ErrorKind::kNoCapacity) {
    told.kind = core::ErrorKind::kNoCapacity;
  }
  return told;
}

core::Error takes_no_new_work() {
  return core::Error{core::ErrorKind::kLeaving, "This daemon is being stopped.", "Ask another owner.", 0};
}

core::Duration duration_of(std::uint32_t millis) {
  return std::chrono::milliseconds(millis);
}

/// `asked` outlives the request. Not part of a coroutine: GCC 12 destroys a temporary of such an initializer
/// twice.
ConnectionRequest connection_request(const ForwardedStatement& asked, core::Instant begun) {
  ConnectionRequest request;
  request.priority = asked.priority;
  request.deadline = begun + duration_of(asked.wait_ms);
  request.session = &asked.session;
  request.goal = begun + duration_of(asked.goal_ms);
  request.tenant = asked.tenant;
  request.since = begun - duration_of(asked.waited_ms);
  return request;
}

}  // namespace

ForwardService::ForwardService(Backends& backends, CallerAccess& access)
    : backends_(backends), access_(access), last_transaction_(first_transaction()) {}

awaitable<core::Result<std::string>> ForwardService::handle(wire::PeerId peer, wire::MessageType type,
                                                            std::string body) {
  if (type == wire::MessageType::kPeerProbe) {
    co_return std::string();
  }
  if (type == wire::MessageType::kTransactionEnd) {
    const auto message = wire::unpack<ForwardedEnd>(body);
    if (message) {
      end(peer, message.value().transaction);
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
    co_return core::fail(core::ErrorKind::kInvalidArgument, "This daemon takes no such message.",
                         "Run the same version of pipitpond on every machine.");
  }
  auto asked = wire::unpack<ForwardedStatement>(body);
  if (!asked) {
    co_return asked.error();
  }
  ++running_;
  peers_.insert(peer);
  auto answer = co_await run(peer, std::move(asked.value()));
  --running_;
  co_return answer;
}

awaitable<core::Result<std::string>> ForwardService::run(wire::PeerId peer, ForwardedStatement asked) {
  if (asked.transaction == 0) {
    co_return co_await run_outside_transaction(peer, std::move(asked));
  }
  const auto found = transactions_.find(asked.transaction);
  const bool known = found != transactions_.end() && found->second->peer == peer && !found->second->running;
  if (!known) {
    co_return not_run("The transaction is not open here any more.");
  }
  HeldPointer held = found->second;
  co_return co_await run_in_transaction(std::move(held), std::move(asked));
}

awaitable<core::Result<std::string>> ForwardService::run_outside_transaction(wire::PeerId peer,
                                                                             ForwardedStatement asked) {
  if (refuses_) {
    co_return takes_no_new_work();
  }
  const core::Instant begun = core::BootClock::now();
  const std::shared_ptr<BackendPool> pool = backends_.pool(asked.database);
  if (!pool) {
    co_return not_run("The database is not known here.");
  }
  const ConnectionRequest request = connection_request(asked, begun);
  auto lease = co_await BackendPool::acquire(pool, request);
  if (!lease) {
    co_return not_run_here(lease.error());
  }
  auto held = std::make_shared<Held>();
  held->peer = peer;
  held->lease.reset(new ConnectionLease(std::move(lease.value())));
  held->choice = backends_.choice_for(asked.database);
  co_return co_await run_in_transaction(std::move(held), std::move(asked));
}

/// Also of a first statement: it may open a transaction.
awaitable<core::Result<std::string>> ForwardService::run_in_transaction(HeldPointer held,
                                                                        ForwardedStatement asked) {
  ++served_;
  held->running = true;
  BackendStatement statement{std::move(asked.statement), asked.after};
  const core::Instant sent = core::BootClock::now();
  auto ran = co_await held->lease->run(asked.session, std::move(statement), duration_of(asked.timeout_ms));
  held->running = false;
  held->last_statement_ended_at = core::BootClock::now();
  if (ran && ran.value().position && held->choice) {
    // For daemons that ask this one for positions: see Backends::request_position.
    const core::GroupName& group = held->choice->pool->address().group;
    backends_.note_position(group, *held->choice, sent, held->last_statement_ended_at, *ran.value().position);
  }
  const bool open = ran && ran.value().state != TransactionState::kIdle;
  // When whoever asked is gone, nobody would end the transaction.
  const bool wanted = !held->given_up && peers_.contains(held->peer);
  if (!open || !wanted) {
    transactions_.erase(asked.transaction);
  }
  if (!ran && ran.error().kind == core::ErrorKind::kConnectionRefused) {
    co_return not_run(ran.error().message);
  }
  if (!ran) {
    co_return ran.error();
  }
  ForwardedAnswer answer;
  if (open && wanted) {
    answer.transaction = asked.transaction != 0 ? asked.transaction : ++last_transaction_;
    transactions_[answer.transaction] = held;
  }
  answer.reply = std::move(ran.value());
  co_return wire::pack(answer);
}

awaitable<core::Result<std::string>> ForwardService::ask_status(ForwardedStatusRequest asked) {
  const std::shared_ptr<BackendPool> pool = backends_.pool(asked.database);
  if (!pool) {
    co_return not_run("The database is not known here.");
  }
  const auto status = co_await BackendPool::ask_status(pool, duration_of(asked.timeout_ms));
  if (!status) {
    co_return status.error();
  }
  co_return wire::pack(status.value());
}

awaitable<core::Result<std::string>> ForwardService::show_primary(ShownPrimaryRequest asked) {
  const auto shown = co_await backends_.show_primary(std::move(asked));
  if (!shown) {
    co_return shown.error();
  }
  co_return wire::pack(shown.value());
}

void ForwardService::end(wire::PeerId peer, ForwardedTransaction transaction) {
  const auto found = transactions_.find(transaction);
  if (found != transactions_.end() && found->second->peer == peer) {
    found->second->given_up = true;
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
