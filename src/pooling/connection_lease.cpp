#include "pooling/connection_lease.hpp"

#include <algorithm>
#include <utility>

#include "pooling/backend_pool.hpp"
#include "pooling/reported_age.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// The reply may wait for a replica to acknowledge the write.
bool writes(const Statement& statement) {
  return statement.kind == StatementKind::kCommit || may_write(statement);
}

}  // namespace

ConnectionLease::ConnectionLease(std::shared_ptr<BackendPool> pool,
                                 std::unique_ptr<PooledConnection> connection)
    : pool_(std::move(pool)), connection_(std::move(connection)) {
  pool_->note_in_use(*connection_);
}

ConnectionLease::~ConnectionLease() {
  return_to_pool();
}

ConnectionLease& ConnectionLease::operator=(ConnectionLease&& other) noexcept {
  if (this != &other) {
    return_to_pool();
    pool_ = std::move(other.pool_);
    connection_ = std::move(other.connection_);
    in_transaction_ = other.in_transaction_;
  }
  return *this;
}

void ConnectionLease::return_to_pool() {
  if (connection_) {
    const bool reusable = !in_transaction_;
    set_in_transaction(false);
    pool_->return_connection(std::move(connection_), reusable);
  }
}

void ConnectionLease::set_in_transaction(bool in_transaction) {
  if (in_transaction == in_transaction_) {
    return;
  }
  in_transaction_ = in_transaction;
  connection_->in_transaction = in_transaction;
  if (in_transaction) {
    ++pool_->open_transactions_;
    pool_->serve_waiters();
  } else {
    --pool_->open_transactions_;
  }
}

void ConnectionLease::discard() {
  connection_->backend->close();
}

awaitable<core::Result<StatementReply>> ConnectionLease::run(const SessionState& session,
                                                             BackendStatement statement,
                                                             core::Duration timeout) {
  std::vector<BackendStatement> batch;
  for (Statement& before :
       align_connection(session, connection_->state, statement.statement, in_transaction_)) {
    batch.push_back(BackendStatement{std::move(before), {}});
  }
  batch.push_back(std::move(statement));
  co_return co_await run_batch(std::move(batch), timeout);
}

awaitable<core::Result<StatementReply>> ConnectionLease::run_own(Statement statement,
                                                                 core::Duration timeout) {
  std::vector<BackendStatement> batch;
  batch.push_back(BackendStatement{std::move(statement), {}});
  co_return co_await run_batch(std::move(batch), timeout);
}

awaitable<core::Result<StatementReply>> ConnectionLease::run_batch(std::vector<BackendStatement> batch,
                                                                   core::Duration timeout) {
  const Statement& asked = batch.back().statement;
  const bool reads_alone = !in_transaction_ && !writes(asked);
  connection_->retryable = reads_alone;
  connection_->in_transaction = in_transaction_ || begins_transaction(asked);
  const core::Instant sent = core::BootClock::now();
  BackendHealth& health = pool_->health_;
  const BatchNumber number = health.on_sent(sent, writes(asked));
  const bool was_in_transaction = in_transaction_;
  if (was_in_transaction) {
    pool_->on_transaction_statement_started();
  }
  auto replies = co_await connection_->backend->run(std::move(batch), timeout);
  if (was_in_transaction) {
    pool_->on_transaction_statement_ended();
  }
  connection_->retryable = false;
  const core::Instant now = core::BootClock::now();
  if (!replies) {
    const bool broke = replies.error().kind != core::ErrorKind::kTimeout;
    health.on_abandoned(now, number, broke);
    ++pool_->counters_.broke;
    co_return replies.error();
  }
  health.on_answered(now, number);
  pool_->note_latency(now - sent);
  pool_->charge_slot_time(*connection_, now - sent);
  for (std::size_t before = 0; before + 1 < replies.value().size(); ++before) {
    if (replies.value()[before].failure) {
      connection_->backend->close();
      co_return core::fail(core::ErrorKind::kConnectionLost,
                           "The session's state could not be restored on the connection.",
                           "Run the statement on another connection.");
    }
  }
  StatementReply reply = std::move(replies.value().back());
  const bool refused = reply.failure && reply.failure->code == FailureCode::kBusy;
  if (refused) {
    pool_->concurrency_.on_refused(now);
  } else {
    pool_->concurrency_.on_answered(now, now - sent);
  }
  set_in_transaction(reply.state != TransactionState::kIdle);
  co_return reply;
}

awaitable<core::Result<BackendStatus>> ConnectionLease::status(core::Duration timeout) {
  const core::Instant sent = core::BootClock::now();
  const BatchNumber number = pool_->health_.on_sent(sent, false);
  auto status = co_await connection_->backend->status(std::max(timeout, core::Duration::zero()));
  const core::Instant now = core::BootClock::now();
  const bool answered = status || connection_->backend->is_open();
  if (answered) {
    pool_->health_.on_answered(now, number);
  } else {
    pool_->health_.on_abandoned(now, number, status.error().kind != core::ErrorKind::kTimeout);
  }
  if (status) {
    status.value().connection_age_ms = reported_least_age_ms(sent - connection_->opened_at);
  }
  co_return status;
}

}  // namespace pipitpond::pooling
