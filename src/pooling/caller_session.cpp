#include "pooling/caller_session.hpp"

#include <utility>

namespace pipitpond::pooling {

using boost::asio::awaitable;

CallerSession::Transaction::Transaction(protocol::Route its_route, core::TenantName its_tenant,
                                        BackendChoice its_choice, std::unique_ptr<StatementLease> its_lease)
    : route(std::move(its_route)),
      tenant(std::move(its_tenant)),
      lease(std::move(its_lease)),
      choice(std::move(its_choice)),
      failed(false),
      wrote(false),
      last_statement_ended_at(core::BootClock::now()) {}

TraceStep CallerSession::step_at(const BackendChoice& choice, TraceEvent event, std::string detail) {
  return TraceStep{{}, event, choice.pool->address().database, choice.term, {}, std::move(detail)};
}

CallerSession::CallerSession(SessionServices& services, std::string database, protocol::KeyDigest key)
    : services_(services), database_(std::move(database)), key_(std::move(key)) {
  services_.sessions.insert(this);
}

CallerSession::~CallerSession() {
  services_.sessions.erase(this);
}

TransactionState CallerSession::state() const {
  if (!transaction_) {
    return TransactionState::kIdle;
  }
  return transaction_->failed ? TransactionState::kFailed : TransactionState::kOpen;
}

awaitable<StatementReply> CallerSession::run(Statement statement) {
  running_ = true;
  ++services_.counters.statements;
  StatementReply reply = co_await dispatch(std::move(statement));
  running_ = false;
  count(reply);
  if (transaction_) {
    transaction_->last_statement_ended_at = core::BootClock::now();
  }
  co_return reply;
}

void CallerSession::count(const StatementReply& reply) {
  if (reply.failure) {
    ++services_.counters.failures.at(static_cast<std::size_t>(reply.failure->code));
  } else {
    ++services_.counters.succeeded;
  }
}

awaitable<StatementReply> CallerSession::dispatch(Statement statement) {
  const bool ends = statement.kind == StatementKind::kCommit || statement.kind == StatementKind::kRollback;
  if (state() == TransactionState::kFailed) {
    co_return end_failed_transaction(statement);
  }
  switch (statement.kind) {
    case StatementKind::kSetValue:
      co_return set_value(statement);
    case StatementKind::kPrepare:
      co_return prepare(statement);
    case StatementKind::kForget:
      co_return forget(statement);
    case StatementKind::kReset:
      co_return failed_reply(FailureCode::kBad, "not for callers", state());
    default:
      break;
  }
  if (statement.kind == StatementKind::kExecute) {
    const auto known = session_.prepared.find(statement.name);
    if (known == session_.prepared.end()) {
      co_return failed_reply(FailureCode::kNoStatement, statement.name, state());
    }
    statement.writes = known->second.writes;
  }
  if (transaction_) {
    if (begins_transaction(statement)) {
      co_return failed_reply(FailureCode::kBad, "a transaction is open", state());
    }
    co_return co_await run_in_transaction(std::move(statement));
  }
  if (ends) {
    co_return failed_reply(FailureCode::kBad, "no transaction is open", TransactionState::kIdle);
  }
  co_return co_await run_outside_transaction(std::move(statement));
}

// --- Answered here
// -------------------------------------------------------------------------------------------

StatementReply CallerSession::set_value(const Statement& statement) {
  session_.values[statement.name] = statement.arguments;
  return local_success_reply(state());
}

StatementReply CallerSession::prepare(const Statement& statement) {
  session_.prepared[statement.name] = PreparedShape{statement.writes, statement.arguments};
  return local_success_reply(state());
}

StatementReply CallerSession::forget(const Statement& statement) {
  session_.prepared.erase(statement.name);
  return local_success_reply(state());
}

/// The end of a failed transaction ends it, and says so; nothing of it is kept. All else is refused.
StatementReply CallerSession::end_failed_transaction(const Statement& statement) {
  if (statement.kind == StatementKind::kRollback) {
    leave_transaction();
    return local_success_reply(TransactionState::kIdle);
  }
  if (statement.kind == StatementKind::kCommit) {
    leave_transaction();
    return failed_reply(FailureCode::kAborted, "the transaction has failed", TransactionState::kIdle);
  }
  return failed_reply(FailureCode::kBad, "the transaction has failed", TransactionState::kFailed);
}

}  // namespace pipitpond::pooling
