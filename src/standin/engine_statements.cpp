// Statements, transactions and request keys.
#include <algorithm>
#include <iterator>
#include <utility>

#include "standin/engine.hpp"

namespace pipitpond::standin {
namespace {

using core::ErrorKind;
using core::Outcome;

/// Most writes that one transaction may hold.
constexpr std::size_t kMaxTransactionStatements = 1000;

}  // namespace

void Engine::execute(Now now, CallId call, ConnectionId connection_id,
                     const database::ExecuteRequest& request) {
  if (!check_connection(call, request.request, connection_id)) {
    return;
  }
  ++counters_.statements;
  counters_.statements_while_leaving += leaving_ ? 1 : 0;
  auto statement = parse_statement(request.statement);
  if (!statement) {
    refuse(call, request.request,
           {ErrorKind::kInvalidArgument, Outcome::kNotRun, core::describe(statement.error())});
    return;
  }
  if (statement.value().kind != request.kind) {
    refuse(call, request.request,
           {ErrorKind::kInvalidArgument, Outcome::kNotRun, "The kind does not fit the statement."});
    return;
  }
  Execution execution{call, connection_id, request, std::move(statement).value()};
  const bool in_transaction = connections_.find(connection_id)->transaction.has_value();
  const bool is_read = request.kind == core::StatementKind::kRead;
  const bool needs_primary = !is_read || in_transaction;
  if (needs_primary && !check_primary(call, request.request, request.term)) {
    return;
  }
  if (is_read) {
    park_or_take_slot(now, std::move(execution));
    return;
  }
  if (in_transaction && !request.key.empty()) {
    refuse(call, request.request,
           {ErrorKind::kInvalidArgument, Outcome::kNotRun, "In a transaction the key goes with the commit."});
    return;
  }
  if (check_key(now, call, request.request, request.key)) {
    take_slot(now, std::move(execution));
  }
}

void Engine::park_or_take_slot(Now now, Execution execution) {
  const auto& request = execution.request;
  if (core::covers(log_.position(applied_), request.min_position)) {
    take_slot(now, std::move(execution));
    return;
  }
  // Such a read holds no slot while it waits; check_parked_reads refuses it as stale in the end.
  const auto wait = std::chrono::milliseconds(request.wait_ms);
  parked_reads_.push_back({std::move(execution), now.instant + wait});
}

void Engine::check_parked_reads(Now now) {
  const auto applied = log_.position(applied_);
  std::vector<ParkedRead> waiting;
  for (auto& read : std::exchange(parked_reads_, {})) {
    if (core::covers(applied, read.execution.request.min_position)) {
      take_slot(now, std::move(read.execution));
    } else if (read.deadline <= now.instant) {
      ++counters_.stale_refusals;
      refuse(read.execution.call, read.execution.request.request,
             {ErrorKind::kStale, Outcome::kNotRun, "The position has not been applied here."});
    } else {
      waiting.push_back(std::move(read));
    }
  }
  std::move(waiting.begin(), waiting.end(), std::back_inserter(parked_reads_));
}

void Engine::take_slot(Now now, Execution execution) {
  if (executions_.size() >= options_.slots) {
    ++counters_.statements_over_limit;
    refuse(execution.call, execution.request.request,
           {ErrorKind::kOverloaded, Outcome::kNotRun, "All slots are in use.",
            static_cast<std::uint32_t>(std::max<std::int64_t>(core::to_millis(options_.work), 1))});
    return;
  }
  const auto work = execution.statement.work.value_or(options_.work);
  const auto id = next_execution_++;
  executions_.emplace(id, std::move(execution));
  counters_.greatest_slots_in_use =
      std::max<std::uint64_t>(counters_.greatest_slots_in_use, executions_.size());
  if (work <= core::Duration::zero()) {
    finish_work(now, id);
    return;
  }
  timers_.emplace(now.instant + work, Timer{TimerKind::kWorkDone, id});
}

void Engine::finish_work(Now now, std::uint64_t id) {
  const auto found = executions_.find(id);
  const auto execution = std::move(found->second);
  executions_.erase(found);
  auto* connection = connections_.find(execution.connection);
  if (connection == nullptr) {
    return;  // The caller is gone and the statement has had no effect yet: it does not run.
  }
  if (execution.request.kind == core::StatementKind::kRead) {
    finish_read(execution, *connection);
  } else if (!check_primary(execution.call, execution.request.request, execution.request.term)) {
    return;
  } else if (connection->transaction) {
    finish_buffered_write(execution, *connection->transaction);
  } else if (check_key(now, execution.call, execution.request.request, execution.request.key)) {
    finish_write(now, execution);
  }
}

void Engine::finish_read(const Execution& execution, Connection& connection) {
  if (!connection.transaction) {
    answer_read(execution, execute_read(execution.statement, tables_), false);
    return;
  }
  if (!check_primary(execution.call, execution.request.request, connection.transaction->term)) {
    return;
  }
  RowOverlay rows(tables_);
  replay_transaction(*connection.transaction, rows);
  answer_read(execution, execute_read(execution.statement, rows), true);
}

void Engine::answer_read(const Execution& execution, nlohmann::json result, bool in_transaction) {
  ++counters_.reads;
  const auto applied = log_.position(applied_);
  answer(execution.call, database::ExecuteAnswer{execution.request.request, options_.database,
                                                 std::move(result), applied, applied, false, in_transaction});
}

void Engine::finish_write(Now now, const Execution& execution) {
  const auto& request = execution.request;
  auto entry = new_entry(now, request.request, request.key);
  tail_rows_->set_index(entry.position.index);
  auto result = execute_write(execution.statement, *tail_rows_);
  if (!result) {
    refuse(execution.call, request.request,
           {result.error().kind, Outcome::kNotRun, core::describe(result.error())});
    return;
  }
  ++counters_.writes;
  entry.statements.push_back(request.statement);
  entry.result = std::move(result).value();
  append_and_wait(now, execution.call, WaiterKind::kExecute, std::move(entry));
}

void Engine::finish_buffered_write(const Execution& execution, Transaction& transaction) {
  const auto& request = execution.request;
  if (transaction.statements.size() >= kMaxTransactionStatements) {
    refuse(execution.call, request.request,
           {ErrorKind::kTooLarge, Outcome::kNotRun, "The transaction has too many statements."});
    return;
  }
  RowOverlay rows(*tail_rows_);
  replay_transaction(transaction, rows);
  auto result = execute_write(execution.statement, rows);
  if (!result) {
    refuse(execution.call, request.request,
           {result.error().kind, Outcome::kNotRun, core::describe(result.error())});
    return;
  }
  transaction.statements.push_back(request.statement);
  const auto applied = log_.position(applied_);
  answer(execution.call, database::ExecuteAnswer{request.request, options_.database,
                                                 std::move(result).value(), applied, applied, false, true});
}

void Engine::replay_transaction(const Transaction& transaction, RowOverlay& rows) const {
  for (const auto& json : transaction.statements) {
    if (const auto statement = parse_statement(json)) {
      static_cast<void>(execute_write(statement.value(), rows));
    }
  }
}

void Engine::begin(CallId call, ConnectionId connection_id, const database::BeginRequest& request) {
  if (!check_connection(call, request.request, connection_id) ||
      !check_primary(call, request.request, request.term)) {
    return;
  }
  auto* connection = connections_.find(connection_id);
  if (connection->transaction) {
    refuse(call, request.request,
           {ErrorKind::kConflict, Outcome::kNotRun, "The connection has an open transaction."});
    return;
  }
  connection->transaction = Transaction{request.term, {}};
  const auto applied = log_.position(applied_);
  answer(call,
         database::ExecuteAnswer{request.request, options_.database, {}, applied, applied, false, true});
}

void Engine::commit(Now now, CallId call, ConnectionId connection_id,
                    const database::CommitRequest& request) {
  if (!check_connection(call, request.request, connection_id) ||
      !check_primary(call, request.request, request.term)) {
    return;
  }
  auto* connection = connections_.find(connection_id);
  const auto transaction = std::exchange(connection->transaction, std::nullopt);
  if (!check_key(now, call, request.request, request.key)) {
    return;
  }
  if (!transaction || transaction->term != promise_.term) {
    refuse(call, request.request,
           {ErrorKind::kNotFound, Outcome::kNotRun, "The connection has no open transaction."});
    return;
  }
  auto entry = new_entry(now, request.request, request.key);
  RowOverlay rows(*tail_rows_);
  entry.result = nlohmann::json::array();
  for (const auto& json : transaction->statements) {
    const auto statement = parse_statement(json);
    auto result = execute_write(statement.value(), rows);
    if (!result) {
      refuse(call, request.request, {result.error().kind, Outcome::kNotRun, core::describe(result.error())});
      return;
    }
    entry.result.push_back(std::move(result).value());
  }
  entry.statements = transaction->statements;
  tail_rows_->set_index(entry.position.index);
  rows.copy_to(*tail_rows_);
  ++counters_.writes;
  append_and_wait(now, call, WaiterKind::kExecute, std::move(entry));
}

void Engine::rollback(CallId call, ConnectionId connection_id, const database::RollbackRequest& request) {
  if (!check_connection(call, request.request, connection_id)) {
    return;
  }
  connections_.find(connection_id)->transaction.reset();
  const auto applied = log_.position(applied_);
  answer(call,
         database::ExecuteAnswer{request.request, options_.database, {}, applied, applied, false, false});
}

void Engine::resolve_key(Now now, CallId call, const database::KeyRequest& request) {
  if (!check_primary(call, request.request, request.term)) {
    return;
  }
  if (const auto index = log_.find_key(request.key)) {
    waiters_.emplace(*index, Waiter{call, request.request, WaiterKind::kKey});
    return;
  }
  const auto time = key_time(request.key);
  const bool expired = time && *time < now.wall - options_.key_retention_ms;
  if (!time || expired || !request.settle) {
    answer(call, database::KeyAnswer{request.request, Outcome::kUnknown, {}, {}});
    return;
  }
  auto entry = new_entry(now, request.request, request.key);
  entry.settled_not_run = true;
  append_and_wait(now, call, WaiterKind::kKey, std::move(entry));
}

bool Engine::check_connection(CallId call, const core::RequestId& request, ConnectionId connection) {
  if (connections_.find(connection) != nullptr) {
    return true;
  }
  refuse(call, request,
         {ErrorKind::kInvalidArgument, Outcome::kNotRun, "This is no database connection; connect first."});
  return false;
}

bool Engine::check_primary(CallId call, const core::RequestId& request, core::Term term) {
  if (replication_ && term == promise_.term) {
    return true;
  }
  if (term < promise_.term) {
    refuse(call, request, {ErrorKind::kFenced, Outcome::kNotRun, "A later term has been promised."});
  } else {
    refuse(call, request, {ErrorKind::kNotPrimary, Outcome::kNotRun, "This is not the primary of the term."});
  }
  return false;
}

/// True when the key is new (or absent) and the write may run. Else the call has been or will be answered.
bool Engine::check_key(Now now, CallId call, const core::RequestId& request, const core::RequestKey& key) {
  if (key.empty()) {
    return true;
  }
  if (const auto index = log_.find_key(key)) {
    waiters_.emplace(*index, Waiter{call, request, WaiterKind::kReplay});
    return false;
  }
  const auto time = key_time(key);
  if (!time || *time > now.wall + database::kKeyClockSkewMs) {
    refuse(call, request,
           {ErrorKind::kInvalidArgument, Outcome::kNotRun,
            "The key is not \"<unix milliseconds>-<text>\" or lies in the future."});
    return false;
  }
  if (*time < now.wall - options_.key_retention_ms) {
    // This attempt is not run, but an earlier one with the key, long forgotten, may have.
    refuse(call, request,
           {ErrorKind::kKeyExpired, Outcome::kUnknown, "The key is older than keys are kept."});
    return false;
  }
  return true;
}

database::LogEntry Engine::new_entry(Now now, const core::RequestId& request,
                                     const core::RequestKey& key) const {
  database::LogEntry entry;
  entry.position = {promise_.term, log_.last().index + 1};
  entry.request = request;
  entry.key = key;
  entry.committed_at = now.wall;
  return entry;
}

void Engine::append_and_wait(Now now, CallId call, WaiterKind kind, database::LogEntry entry) {
  waiters_.emplace(entry.position.index, Waiter{call, entry.request, kind});
  append_times_.push_back(now.instant);
  append(std::move(entry));
}

}  // namespace pipitpond::standin
