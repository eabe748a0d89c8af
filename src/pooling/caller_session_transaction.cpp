// Statements inside a transaction, and the end of the transaction.
#include <utility>

#include "pooling/caller_session.hpp"
#include "pooling/waiting.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// Delay between attempts of a statement that the database refused for want of a free slot.
constexpr core::Duration kBusyTransactionPause = std::chrono::milliseconds(10);
/// Fraction of a statement's timeout during which it is retried.
constexpr int kRetryNumerator = 2;
constexpr int kRetryDenominator = 5;

/// True if the database had no free slot and did not run the statement; the transaction is unchanged.
bool may_retry(const core::Result<StatementReply>& ran) {
  return ran && ran.value().failure && ran.value().failure->code == FailureCode::kBusy &&
         ran.value().state == TransactionState::kOpen;
}

}  // namespace

/// Retries a statement that found no free slot: passing on the refusal would cost the caller the whole
/// transaction and waste the work that the database has put into it.
awaitable<core::Result<StatementReply>> CallerSession::run_on_lease(const Statement& statement,
                                                                    core::Instant deadline) {
  const core::Instant begun = core::BootClock::now();
  const core::Instant retry_deadline = begun + (deadline - begun) * kRetryNumerator / kRetryDenominator;
  while (true) {
    const core::Duration left = deadline - core::BootClock::now();
    BackendStatement to_run{statement, {}};
    auto ran = co_await transaction_->lease->run(session_, std::move(to_run), left);
    if (!may_retry(ran) || core::BootClock::now() + kBusyTransactionPause >= retry_deadline) {
      co_return ran;
    }
    ++services_.counters.retried;
    co_await pause_for(services_.io, kBusyTransactionPause);
  }
}

awaitable<StatementReply> CallerSession::run_in_transaction(Statement statement) {
  if (auto refusal = check_caller_key_in_transaction(statement)) {
    co_return std::move(*refusal);
  }
  const core::Duration timeout = std::chrono::milliseconds(transaction_->route.timeout_ms);
  const core::Instant sent = core::BootClock::now();
  const core::Instant deadline = sent + timeout;
  if (auto aborted = abort_commit_at_replaced_primary(statement)) {
    co_return std::move(*aborted);
  }
  auto ran = co_await run_on_lease(statement, deadline);
  if (!ran) {
    const Transaction& lost_transaction = *transaction_;
    const BackendChoice choice = lost_transaction.choice;
    const protocol::Route route = lost_transaction.route;
    StatementReply lost = on_transaction_lost(statement, ran.error());
    log_transaction_failure(statement, sent, TransactionPlace{choice, route}, TraceEvent::kLost, lost);
    co_return lost;
  }
  StatementReply reply = std::move(ran.value());
  if (reply.position) {
    services_.backends.note_position(transaction_->route.group, transaction_->choice, sent,
                                     core::BootClock::now(), *reply.position);
  }
  const bool committed_writes =
      statement.kind == StatementKind::kCommit && !reply.failure && transaction_->wrote;
  if (reply.failure) {
    const bool not_run = guarantees_not_run(reply.failure->code);
    log_transaction_failure(statement, sent, TransactionPlace{transaction_->choice, transaction_->route},
                            not_run ? TraceEvent::kNotRun : TraceEvent::kFailed, reply);
  }
  AcknowledgedWrite write{transaction_->route.group, transaction_->choice, core::BootClock::now(),
                          reply.position};
  const TransactionPlace place{transaction_->choice, transaction_->route};
  after_transaction_statement(statement, reply);
  if (!committed_writes) {
    co_return reply;
  }
  StatementReply confirmed = co_await confirm_write(std::move(write), sent, std::move(reply), deadline);
  log_transaction_failure(statement, sent, place, TraceEvent::kNotCertain, confirmed);
  co_return confirmed;
}

/// The primary would commit, but its successor would not have the commit. Not sending it keeps the outcome
/// known: the database rolls back when the connection closes.
std::optional<StatementReply> CallerSession::abort_commit_at_replaced_primary(const Statement& statement) {
  const bool commits_writes = statement.kind == StatementKind::kCommit && transaction_->wrote;
  if (!commits_writes || !services_.backends.is_replaced(transaction_->route.group, transaction_->choice)) {
    return std::nullopt;
  }
  close_transaction();
  return failed_reply(FailureCode::kAborted, "its primary was replaced before the commit",
                      TransactionState::kIdle);
}

void CallerSession::log_transaction_failure(const Statement& statement, core::Instant sent,
                                            const TransactionPlace& place, TraceEvent event,
                                            const StatementReply& reply) const {
  if (!reply.failure) {
    return;
  }
  RequestTrace trace(sent);
  trace.add(sent, step_at(place.choice, TraceEvent::kSent, "transaction"));
  const core::Instant now = core::BootClock::now();
  trace.add(now, step_at(place.choice, event, to_string(reply.failure->code)));
  const TraceSubject subject{statement.id, place.route.name, place.route.group, services_.routes.version(),
                             services_.backends.revision()};
  trace.write(now, subject, reply);
}

/// The database rolls back when the connection closes, so no change is kept unless a COMMIT may have arrived.
StatementReply CallerSession::on_transaction_lost(const Statement& statement, const core::Error& error) {
  const bool may_be_kept = statement.kind == StatementKind::kCommit && transaction_->wrote &&
                           error.kind != core::ErrorKind::kConnectionRefused;
  if (statement.kind == StatementKind::kCommit || statement.kind == StatementKind::kRollback) {
    close_transaction();
    if (statement.kind == StatementKind::kRollback) {
      return local_success_reply(TransactionState::kIdle);
    }
    const FailureCode code = may_be_kept ? FailureCode::kUnsure : FailureCode::kAborted;
    return failed_reply(code, error.message, TransactionState::kIdle);
  }
  transaction_->lease.reset();
  transaction_->failed = true;
  return failed_reply(FailureCode::kAborted, error.message, TransactionState::kFailed);
}

void CallerSession::after_transaction_statement(const Statement& statement, const StatementReply& reply) {
  if (may_write(statement)) {
    transaction_->wrote = true;
  }
  const bool read_only_primary = reply.failure && reply.failure->code == FailureCode::kReadOnly;
  if (read_only_primary && transaction_->choice.is_primary) {
    transaction_->choice.pool->health().on_refused_write();
  }
  if (reply.state == TransactionState::kIdle) {
    close_transaction();
  } else if (reply.state == TransactionState::kFailed) {
    transaction_->failed = true;
  }
}

void CallerSession::close_transaction() {
  transaction_.reset();
}

void CallerSession::end_transaction_if_idle(core::Instant now) {
  const core::Duration limit = services_.routes.transaction_idle_limit();
  const bool idle_too_long = transaction_ && transaction_->lease && !running_ &&
                             limit > core::Duration::zero() &&
                             now - transaction_->last_statement_ended_at >= limit;
  if (!idle_too_long) {
    return;
  }
  ++services_.counters.transactions_ended_idle;
  transaction_->lease.reset();
  transaction_->failed = true;
}

void CallerSession::end_transaction_for_stop() {
  if (transaction_ && !running_) {
    transaction_->lease.reset();
    transaction_->failed = true;
  }
}

}  // namespace pipitpond::pooling
