#include "proxy/executor.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "database/protocol.hpp"
#include "protocol/tunables.hpp"
#include "proxy/progress_questions.hpp"

namespace pipitpond::proxy {
namespace {

using protocol::ForwardReply;
using protocol::ForwardRequest;
using protocol::Operation;

/// Longest that a rollback of an idle transaction may take before its connection is closed instead.
constexpr core::Duration kRollbackTimeout = std::chrono::milliseconds(500);
/// How often a request looks whether its transaction's connection is free again.
constexpr core::Duration kTransactionPoll = std::chrono::milliseconds(1);

/// A statement whose caller has given up may go on for this long before its connection is closed.
constexpr core::Duration kLongestStatement = std::chrono::seconds(10);
/// A borrower learns at the deadline that no connection came; its answer is worth this wait.
constexpr core::Duration kAcquireAllowance = std::chrono::milliseconds(5);
/// How long the slot of a statement whose connection was lost is kept for a database that does not answer.
constexpr core::Duration kLongestSilence = std::chrono::seconds(2);
/// A statement has ended after this many average service times, nearly always.
constexpr int kServiceTimesToOutlast = 4;

CallResult timed_out() {
  CallResult result;
  result.error = {core::ErrorKind::kTimeout, "The database did not answer before the deadline.",
                  "Ask for the key's outcome before a retry.", 0};
  return result;
}

ForwardReply refusal(const ForwardRequest& request, core::Error error) {
  ForwardReply reply;
  reply.request = request.request;
  reply.database = request.database;
  reply.outcome = core::Outcome::kNotRun;
  reply.error = std::move(error);
  return reply;
}

core::Error not_owner_error(const core::DatabaseId& database) {
  return {core::ErrorKind::kUnavailable, "This daemon does not own database " + database.value() + ".",
          "Send the request again; the fleet's configuration is changing.", 50};
}

core::Error transaction_lost_error() {
  return {core::ErrorKind::kUnavailable, "The transaction's connection was lost, so it was rolled back.",
          "Begin a new transaction and run its statements again.", 1};
}

core::Error transaction_busy_error() {
  return {core::ErrorKind::kConflict, "Another statement of this transaction is still running.",
          "Send the statements of a transaction one after the other.", 10};
}

core::Error commit_in_progress_error() {
  return {core::ErrorKind::kConflict, "The transaction's commit is still on its way.",
          "Ask again, or ask POST /v1/outcomes for the commit's key.", 50};
}

std::string execute_body(const ForwardRequest& request, const core::RequestId& attempt) {
  database::ExecuteRequest execute;
  execute.request = attempt;
  execute.kind = request.kind;
  execute.key = request.key;
  const bool needs_primary = request.kind == core::StatementKind::kWrite || !request.transaction.empty();
  execute.term = needs_primary ? request.term : 0;
  execute.min_position = request.min_position;
  execute.wait_ms = request.wait_ms;
  nlohmann::json json = execute;
  json.erase("statement");
  std::string body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The statement is JSON text already: it goes in as it is, so that it is not read and written once more.
  body.back() = ',';
  body += "\"statement\":" + request.statement + "}";
  return body;
}

/// Answers from the last status: the database itself is not asked.
ForwardReply tell_progress(const ForwardRequest& request, const OwnedDatabase& database) {
  const auto status = database.recent_status(core::BootClock::now(), kOldestStatus);
  if (!status || status->leaving) {
    return refusal(request, {status ? core::ErrorKind::kLeaving : core::ErrorKind::kUnavailable,
                             "Database " + request.database.value() + " takes no work.",
                             "Read from another database.", 100});
  }
  ForwardReply reply;
  reply.request = request.request;
  reply.database = request.database;
  reply.outcome = core::Outcome::kDone;
  reply.applied = status->applied;
  if (status->role == database::Role::kPrimary) {
    reply.position = status->committed;
  }
  return reply;
}

}  // namespace

Executor::Executor(boost::asio::io_context& io, ExecutorOptions options, OwnedDatabases& databases)
    : io_(io), options_(std::move(options)), databases_(databases) {}

boost::asio::awaitable<ForwardReply> Executor::run(ForwardRequest request) {
  const core::Instant deadline = core::BootClock::now() + std::chrono::milliseconds(request.deadline_ms);
  if (request.operation == Operation::kCommit) {
    co_return co_await commit(std::move(request), deadline);
  }
  if (request.operation == Operation::kRollback) {
    co_return co_await roll_back(std::move(request), deadline);
  }
  if (!request.transaction.empty()) {
    co_return co_await execute_in_transaction(std::move(request), deadline);
  }
  std::shared_ptr<OwnedDatabase> database = databases_.find(request.database);
  if (!database) {
    co_return refusal(request, not_owner_error(request.database));
  }
  if (request.operation == Operation::kProgress) {
    co_return tell_progress(request, *database);
  }
  if (request.operation == Operation::kBegin) {
    co_return co_await begin(std::move(request), std::move(database), deadline);
  }
  if (request.operation == Operation::kResolveKey) {
    co_return co_await resolve_key(std::move(request), std::move(database), deadline);
  }
  co_return co_await execute(std::move(request), std::move(database), deadline);
}

boost::asio::awaitable<ForwardReply> Executor::execute(ForwardRequest request,
                                                       std::shared_ptr<OwnedDatabase> database,
                                                       core::Instant deadline) {
  const core::Instant asked_at = core::BootClock::now();
  auto slot = co_await database->gate().enter(request.tenant, deadline);
  if (!slot) {
    co_return refusal(request, slot.error());
  }
  const core::Duration queued = core::BootClock::now() - asked_at;
  const core::RequestId attempt = next_attempt(request.request);
  DatabaseCall call{"/v1/execute", attempt, execute_body(request, attempt)};
  const core::Term term = request.kind == core::StatementKind::kWrite ? request.term : 0;
  auto held = std::make_shared<Slot>(std::move(slot).value());
  auto waiting = std::make_shared<Waiter<CallResult>>(io_);
  boost::asio::co_spawn(
      io_, run_statement(std::move(database), std::move(call), term, deadline, std::move(held), waiting),
      boost::asio::detached);
  std::optional<CallResult> result = co_await waiting->wait_until(deadline + kAcquireAllowance);
  ForwardReply reply = reply_of(request, result ? std::move(*result) : timed_out());
  reply.queued_us = static_cast<std::uint32_t>(queued.count());
  co_return reply;
}

boost::asio::awaitable<void> Executor::run_statement(std::shared_ptr<OwnedDatabase> database,
                                                     DatabaseCall call, core::Term term,
                                                     core::Instant deadline, std::shared_ptr<Slot> slot,
                                                     std::shared_ptr<Waiter<CallResult>> waiting) {
  auto used = std::make_shared<PooledConnection>();
  CallResult result =
      co_await call_pooled(database, std::move(call), term, deadline, deadline + kLongestStatement, used);
  const bool done = result.outcome == core::Outcome::kDone;
  const bool lost = result.outcome == core::Outcome::kUnknown && !used->empty() && !(*used)->usable();
  if (done) {
    slot->mark_served();
    if (result.answer.in_transaction) {
      (*used)->close();  // Nobody began one on it: its state is in doubt.
    }
  }
  waiting->provide(std::move(result));
  if (lost) {
    *used = {};
    co_await outlast(std::move(database));
  }
}

boost::asio::awaitable<void> Executor::outlast(std::shared_ptr<OwnedDatabase> database) {
  const core::Instant lost_at = core::BootClock::now();
  // A database that stands still runs nothing meanwhile, but goes on with it later.
  while (database->monitor().last_heard() <= lost_at && core::BootClock::now() - lost_at < kLongestSilence) {
    co_await sleep_for(io_, kTransactionPoll * 5);
  }
  co_await sleep_for(io_, database->gate().queue().service_time() * kServiceTimesToOutlast);
}

boost::asio::awaitable<void> Executor::keep_slot(std::shared_ptr<OwnedDatabase> database,
                                                 std::shared_ptr<Slot> slot) {
  co_await outlast(std::move(database));
  slot.reset();
}

boost::asio::awaitable<CallResult> Executor::call_pooled(std::shared_ptr<OwnedDatabase> database,
                                                         DatabaseCall call, core::Term term,
                                                         core::Instant deadline, core::Instant give_up,
                                                         std::shared_ptr<PooledConnection> used) {
  CallResult result;
  // A connection that the database has closed meanwhile is found out when it is used; nothing was sent then.
  const std::uint32_t tries = database->pool().live() + 1;
  for (std::uint32_t count = 0; count < tries; ++count) {
    auto connection = co_await database->pool().acquire(deadline);
    if (!connection) {
      result.outcome = core::Outcome::kNotRun;
      result.error = connection.error();
      co_return result;
    }
    *used = std::move(connection).value();
    const CallInProgress in_progress(database, used->operator->(), term);
    result = co_await (*used)->call(call, time_left(give_up));
    observe(*database, result);
    if (result.outcome != core::Outcome::kNotRun ||
        result.error.kind != core::ErrorKind::kConnectionRefused) {
      co_return result;
    }
  }
  co_return result;
}

boost::asio::awaitable<ForwardReply> Executor::begin(ForwardRequest request,
                                                     std::shared_ptr<OwnedDatabase> database,
                                                     core::Instant deadline) {
  if (refuses_transactions_) {
    co_return refusal(request, {core::ErrorKind::kLeaving, "This daemon is being stopped.",
                                "Begin the transaction again; another daemon takes it.", 1});
  }
  if (!may_begin(*database)) {
    co_return refusal(request,
                      {core::ErrorKind::kNoCapacity, "Too many transactions are open on the database.",
                       "Commit or roll back others first, or try again later.", 100});
  }
  const core::RequestId attempt = next_attempt(request.request);
  const database::BeginRequest body{attempt, request.term};
  DatabaseCall call{"/v1/begin", attempt, database::serialize(body)};
  auto used = std::make_shared<PooledConnection>();
  CallResult result = co_await call_pooled(database, std::move(call), request.term, deadline, deadline, used);
  if (result.outcome != core::Outcome::kDone) {
    if (!used->empty()) {
      (*used)->close();  // A transaction may have begun on it.
    }
    // Beginning has no effect that lasts: closing the connection drops it.
    result.outcome = core::Outcome::kNotRun;
    co_return reply_of(request, std::move(result));
  }
  const TransactionAddress address{options_.daemon,  options_.incarnation, request.group,
                                   request.database, request.term,         random_hex()};
  auto transaction = std::make_shared<OpenTransaction>();
  transaction->id = make_transaction_id(address, options_.secret);
  transaction->group = request.group;
  transaction->database = request.database;
  transaction->tenant = request.tenant;
  transaction->term = request.term;
  transaction->connection = std::move(*used);
  transaction->last_used = core::BootClock::now();
  transactions_.add(transaction);
  ForwardReply reply = reply_of(request, std::move(result));
  reply.transaction = transaction->id;
  co_return reply;
}

boost::asio::awaitable<CallResult> Executor::call_in_transaction(std::shared_ptr<OpenTransaction> transaction,
                                                                 DatabaseCall call, core::Instant deadline) {
  const std::shared_ptr<OwnedDatabase> database = databases_.find(transaction->database);
  std::unique_ptr<CallInProgress> in_progress;
  if (database) {
    in_progress =
        std::make_unique<CallInProgress>(database, transaction->connection.operator->(), transaction->term);
  }
  CallResult result = co_await transaction->connection->call(std::move(call), time_left(deadline));
  if (database) {
    observe(*database, result);
  }
  transaction->busy = false;
  transaction->last_used = core::BootClock::now();
  co_return result;
}

boost::asio::awaitable<ForwardReply> Executor::execute_in_transaction(ForwardRequest request,
                                                                      core::Instant deadline) {
  const auto refused = std::make_shared<ForwardReply>();
  const std::shared_ptr<OpenTransaction> transaction = co_await take(request, refused);
  if (!transaction) {
    co_return *refused;
  }
  Slot slot;
  const std::shared_ptr<OwnedDatabase> database = databases_.find(transaction->database);
  if (database) {
    auto entered = co_await database->gate().enter(transaction->tenant, deadline);
    if (!entered) {
      transaction->busy = false;
      transaction->last_used = core::BootClock::now();
      co_return refusal(request, entered.error());
    }
    slot = std::move(entered).value();
  }
  const core::RequestId attempt = next_attempt(request.request);
  request.term = transaction->term;
  request.key = {};  // The key belongs to the commit.
  DatabaseCall call{"/v1/execute", attempt, execute_body(request, attempt)};
  CallResult result = co_await call_in_transaction(transaction, std::move(call), deadline);
  const bool still_open = transaction->connection->usable() &&
                          (result.outcome != core::Outcome::kDone || result.answer.in_transaction);
  if (!still_open) {
    // No commit was ever sent on this connection, and closing it drops what the transaction did so far.
    if (database) {
      auto held = std::make_shared<Slot>(std::move(slot));
      boost::asio::co_spawn(io_, keep_slot(database, std::move(held)), boost::asio::detached);
    }
    transaction->connection->close();
    transactions_.end(transaction->id, EndedTransaction{TransactionEnd::kRolledBack, {}});
    co_return refusal(request, transaction_lost_error());
  }
  if (result.outcome == core::Outcome::kDone) {
    slot.mark_served();
  }
  co_return reply_of(request, std::move(result));
}

boost::asio::awaitable<ForwardReply> Executor::commit(ForwardRequest request, core::Instant deadline) {
  const auto refused = std::make_shared<ForwardReply>();
  const std::shared_ptr<OpenTransaction> transaction = co_await take(request, refused);
  if (!transaction && commit_in_progress(request.transaction)) {
    co_return co_await reply_after_commit(std::move(request), deadline);
  }
  if (!transaction) {
    co_return *refused;
  }
  transaction->committing = true;
  const core::RequestId attempt = next_attempt(request.request);
  const database::CommitRequest body{attempt, request.key, transaction->term};
  DatabaseCall call{"/v1/commit", attempt, database::serialize(body)};
  CallResult result = co_await call_in_transaction(transaction, std::move(call), deadline);
  EndedTransaction ended;
  if (result.outcome == core::Outcome::kDone) {
    ended.end = TransactionEnd::kCommitted;
  } else if (result.outcome == core::Outcome::kNotRun) {
    ended.end = TransactionEnd::kRolledBack;
  }
  if (result.outcome != core::Outcome::kDone || result.answer.in_transaction) {
    transaction->connection->close();
  }
  ForwardReply reply = reply_of(request, std::move(result));
  ended.commit_reply = reply;
  transactions_.end(transaction->id, std::move(ended));
  co_return reply;
}

bool Executor::commit_in_progress(const core::TransactionId& id) const {
  const std::shared_ptr<OpenTransaction> transaction = transactions_.find(id);
  return transaction && transaction->committing;
}

boost::asio::awaitable<ForwardReply> Executor::reply_after_commit(ForwardRequest request,
                                                                  core::Instant deadline) {
  while (commit_in_progress(request.transaction)) {
    if (core::BootClock::now() >= deadline) {
      ForwardReply in_doubt = refusal(request, commit_in_progress_error());
      in_doubt.outcome = core::Outcome::kUnknown;
      co_return in_doubt;
    }
    co_await sleep_for(io_, kTransactionPoll);
  }
  co_return reply_for_ended(request);
}

boost::asio::awaitable<ForwardReply> Executor::roll_back(ForwardRequest request, core::Instant deadline) {
  if (commit_in_progress(request.transaction)) {
    co_return co_await reply_after_commit(std::move(request), deadline);
  }
  std::shared_ptr<OpenTransaction> transaction = transactions_.find(request.transaction);
  if (!transaction) {
    ForwardReply reply = reply_for_ended(request);
    const std::optional<EndedTransaction> ended = transactions_.ended(request.transaction);
    if (ended && ended->end == TransactionEnd::kRolledBack) {
      reply.outcome = core::Outcome::kDone;
      reply.result = "null";
    }
    co_return reply;
  }
  transactions_.end(transaction->id, EndedTransaction{TransactionEnd::kRolledBack, {}});
  ForwardReply reply = refusal(request, {});
  reply.outcome = core::Outcome::kDone;
  reply.result = "null";
  if (transaction->busy || transaction->keeping_alive) {
    transaction->connection->close();  // Breaks off what is running on it and drops the transaction.
    co_return reply;
  }
  const core::RequestId attempt = next_attempt(request.request);
  const database::RollbackRequest body{attempt};
  DatabaseCall call{"/v1/rollback", attempt, database::serialize(body)};
  const CallResult result = co_await call_in_transaction(transaction, std::move(call), deadline);
  if (result.outcome != core::Outcome::kDone || result.answer.in_transaction) {
    transaction->connection->close();  // Which rolls it back as well.
  }
  co_return reply;
}

boost::asio::awaitable<ForwardReply> Executor::resolve_key(ForwardRequest request,
                                                           std::shared_ptr<OwnedDatabase> database,
                                                           core::Instant deadline) {
  auto connection = co_await database->pool().acquire(deadline);
  if (!connection) {
    co_return refusal(request, connection.error());  // The question was not asked.
  }
  PooledConnection used = std::move(connection).value();
  const CallInProgress in_progress(database, used.operator->(), request.term);
  database::KeyRequest question{next_attempt(request.request), request.key, request.term, request.settle};
  CallResult result = co_await used->resolve_key(std::move(question), time_left(deadline));
  observe(*database, result);
  co_return reply_of(request, std::move(result));
}

boost::asio::awaitable<std::shared_ptr<OpenTransaction>> Executor::take(
    ForwardRequest request, std::shared_ptr<ForwardReply> refused) {
  while (true) {
    std::shared_ptr<OpenTransaction> transaction = transactions_.find(request.transaction);
    if (!transaction) {
      *refused = reply_for_ended(request);
      co_return nullptr;
    }
    if (transaction->busy) {
      *refused = refusal(request, transaction_busy_error());
      co_return nullptr;
    }
    if (!transaction->keeping_alive) {
      transaction->busy = true;
      co_return transaction;
    }
    co_await sleep_for(io_, kTransactionPoll);
  }
}

void Executor::keep_transactions_alive(core::Instant now) {
  for (const auto& transaction : transactions_.unused_since(now - protocol::kPoolKeepAlive)) {
    transaction->keeping_alive = true;
    boost::asio::co_spawn(io_, keep_alive(transaction), boost::asio::detached);
  }
}

boost::asio::awaitable<void> Executor::keep_alive(std::shared_ptr<OpenTransaction> transaction) {
  const bool alive = co_await transaction->connection->keep_alive(kRollbackTimeout);
  transaction->keeping_alive = false;
  if (!alive) {
    transactions_.end(transaction->id, EndedTransaction{TransactionEnd::kRolledBack, {}});
  }
}

void Executor::roll_back_idle(core::Instant now, bool all) {
  const core::Instant before = all ? now : now - options_.transaction_idle_limit;
  for (const std::shared_ptr<OpenTransaction>& transaction : transactions_.idle_since(before)) {
    transactions_.end(transaction->id, EndedTransaction{TransactionEnd::kRolledBack, {}});
    const core::RequestId attempt = next_attempt(core::RequestId("idle"));
    boost::asio::co_spawn(io_, roll_back_quietly(transaction, attempt), boost::asio::detached);
  }
}

boost::asio::awaitable<void> Executor::roll_back_quietly(std::shared_ptr<OpenTransaction> transaction,
                                                         core::RequestId attempt) {
  const database::RollbackRequest body{attempt};
  DatabaseCall call{"/v1/rollback", attempt, database::serialize(body)};
  const CallResult result = co_await transaction->connection->call(std::move(call), kRollbackTimeout);
  if (result.outcome != core::Outcome::kDone || result.answer.in_transaction) {
    transaction->connection->close();
  }
}

void Executor::observe(OwnedDatabase& database, const CallResult& result) {
  const core::Instant now = core::BootClock::now();
  const core::ErrorKind kind = result.error.kind;
  const bool failed = result.outcome != core::Outcome::kDone &&
                      (kind == core::ErrorKind::kConnectionRefused ||
                       kind == core::ErrorKind::kConnectionLost || kind == core::ErrorKind::kTimeout);
  if (failed) {
    database.monitor().on_data_failure(now);
  } else {
    database.monitor().on_data_answer(now);
  }
}

ForwardReply Executor::reply_of(const ForwardRequest& request, CallResult result) {
  ForwardReply reply;
  reply.request = request.request;
  reply.database = request.database;
  reply.outcome = result.outcome;
  reply.applied = result.applied;
  reply.error = std::move(result.error);
  if (result.outcome == core::Outcome::kDone) {
    reply.result = std::move(result.result);
    reply.position = result.answer.position;
    reply.replayed = result.answer.replayed;
  }
  return reply;
}

ForwardReply Executor::reply_for_ended(const ForwardRequest& request) const {
  const std::optional<EndedTransaction> ended = transactions_.ended(request.transaction);
  const bool is_commit = request.operation == Operation::kCommit;
  ForwardReply reply =
      refusal(request, {core::ErrorKind::kNotFound, "The transaction is not open here any more.",
                        "Begin a new transaction.", 0});
  if (!ended) {
    reply.outcome = is_commit ? core::Outcome::kUnknown : core::Outcome::kNotRun;
    return reply;
  }
  if (is_commit && ended->end == TransactionEnd::kCommitted) {
    reply = ended->commit_reply;
    reply.request = request.request;
    reply.replayed = true;
  } else if (request.operation != Operation::kExecute && ended->end == TransactionEnd::kUnknown) {
    reply.outcome = core::Outcome::kUnknown;
  } else if (ended->end == TransactionEnd::kRolledBack) {
    reply.error.message =
        "The transaction was rolled back: by request, idle for too long, or by a lost connection.";
  }
  return reply;
}

bool Executor::may_begin(const OwnedDatabase& database) const {
  // Each running statement must still find a connection, so transactions may hold only those beyond the
  // slots.
  const std::uint32_t held = database.pool().live();
  const std::uint32_t slots = database.gate().queue().slots();
  const std::uint32_t limit = held > slots ? held - slots : held / 2;
  return transactions_.open_on(database.id()) < limit;
}

core::RequestId Executor::next_attempt(const core::RequestId& request) {
  return core::RequestId(request.value() + "#" + std::to_string(++attempts_));
}

}  // namespace pipitpond::proxy
