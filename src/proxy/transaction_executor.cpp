#include "proxy/transaction_executor.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "database/protocol.hpp"
#include "protocol/tunables.hpp"
#include "proxy/waiter.hpp"

namespace pipitpond::proxy {
namespace {

using protocol::ForwardReply;
using protocol::ForwardRequest;
using protocol::Operation;

/// Longest that a rollback of an idle transaction may take before its connection is closed instead.
constexpr core::Duration kRollbackTimeout = std::chrono::milliseconds(500);
/// How often a request looks whether its transaction's connection is free again.
constexpr core::Duration kTransactionPoll = std::chrono::milliseconds(1);

core::Error leaving_error() {
  return {core::ErrorKind::kLeaving, "This daemon is being stopped.",
          "Begin the transaction again; another daemon takes it.", 1};
}

core::Error too_many_transactions_error() {
  return {core::ErrorKind::kNoCapacity, "Too many transactions are open on the database.",
          "Commit or roll back others first, or try again later.", 100};
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

core::Error not_open_error() {
  return {core::ErrorKind::kNotFound, "The transaction is not open here any more.",
          "Begin a new transaction.", 0};
}

ForwardReply rolled_back_reply(const ForwardRequest& request) {
  ForwardReply reply = refusal(request, {});
  reply.outcome = core::Outcome::kDone;
  reply.result = "null";
  return reply;
}

/// How a transaction whose commit got this result has ended.
TransactionEnd end_of(const CallResult& commit) {
  switch (commit.outcome) {
    case core::Outcome::kDone:
      return TransactionEnd::kCommitted;
    case core::Outcome::kNotRun:
      return TransactionEnd::kRolledBack;
    case core::Outcome::kUnknown:
      break;
  }
  return TransactionEnd::kUnknown;
}

/// True when the connection is surely in no transaction any more and may go back to its pool.
bool left_transaction(const CallResult& result) {
  return result.outcome == core::Outcome::kDone && !result.answer.in_transaction;
}

}  // namespace

TransactionExecutor::TransactionExecutor(boost::asio::io_context& io, ExecutorOptions options,
                                         OwnedDatabases& databases, AttemptNames& attempts)
    : io_(io), options_(std::move(options)), databases_(databases), attempts_(attempts) {}

boost::asio::awaitable<ForwardReply> TransactionExecutor::begin(ForwardRequest request,
                                                                std::shared_ptr<OwnedDatabase> database,
                                                                core::Instant deadline) {
  if (refuses_new_) {
    co_return refusal(request, leaving_error());
  }
  if (!may_begin(*database)) {
    co_return refusal(request, too_many_transactions_error());
  }
  const core::RequestId attempt = attempts_.next(request.request);
  const database::BeginRequest body{attempt, request.term};
  PooledCall call{std::move(database),
                  {"/v1/begin", attempt, database::serialize(body)},
                  request.term,
                  deadline,
                  deadline};
  auto used = std::make_shared<PooledConnection>();
  CallResult result = co_await call_pooled(std::move(call), used);
  if (result.outcome != core::Outcome::kDone) {
    if (!used->empty()) {
      (*used)->close();  // A transaction may have begun on it.
    }
    // Beginning has no effect that lasts: closing the connection drops it.
    result.outcome = core::Outcome::kNotRun;
    co_return reply_of(request, std::move(result));
  }
  const Transaction transaction = open_transaction(request, std::move(*used));
  ForwardReply reply = reply_of(request, std::move(result));
  reply.transaction = transaction->id;
  co_return reply;
}

TransactionExecutor::Transaction TransactionExecutor::open_transaction(const ForwardRequest& request,
                                                                       PooledConnection connection) {
  const TransactionAddress address{options_.daemon,  options_.incarnation, request.group,
                                   request.database, request.term,         random_hex()};
  auto transaction = std::make_shared<OpenTransaction>();
  transaction->id = make_transaction_id(address, options_.secret);
  transaction->group = request.group;
  transaction->database = request.database;
  transaction->tenant = request.tenant;
  transaction->term = request.term;
  transaction->connection = std::move(connection);
  transaction->last_used = core::BootClock::now();
  transactions_.add(transaction);
  return transaction;
}

boost::asio::awaitable<CallResult> TransactionExecutor::call(Transaction transaction, DatabaseCall call,
                                                             core::Instant deadline) {
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
  set_free(*transaction);
  co_return result;
}

void TransactionExecutor::set_free(OpenTransaction& transaction) {
  transaction.busy = false;
  transaction.last_used = core::BootClock::now();
}

boost::asio::awaitable<ForwardReply> TransactionExecutor::execute(ForwardRequest request,
                                                                  core::Instant deadline) {
  const auto refused = std::make_shared<ForwardReply>();
  const Transaction transaction = co_await take(request, refused);
  if (!transaction) {
    co_return *refused;
  }
  Slot slot;
  const std::shared_ptr<OwnedDatabase> database = databases_.find(transaction->database);
  if (database) {
    auto entered = co_await database->gate().enter(transaction->tenant, deadline);
    if (!entered) {
      set_free(*transaction);
      co_return refusal(request, entered.error());
    }
    slot = std::move(entered).value();
  }
  const core::RequestId attempt = attempts_.next(request.request);
  request.term = transaction->term;
  request.key = {};  // The key belongs to the commit.
  DatabaseCall statement{"/v1/execute", attempt, execute_body(request, attempt)};
  CallResult result = co_await call(transaction, std::move(statement), deadline);
  const bool still_open = transaction->connection->usable() &&
                          (result.outcome != core::Outcome::kDone || result.answer.in_transaction);
  if (!still_open) {
    end_lost(transaction, database, std::move(slot));
    co_return refusal(request, transaction_lost_error());
  }
  if (result.outcome == core::Outcome::kDone) {
    slot.mark_served();
  }
  co_return reply_of(request, std::move(result));
}

void TransactionExecutor::end_lost(const Transaction& transaction,
                                   const std::shared_ptr<OwnedDatabase>& database, Slot slot) {
  // No commit was ever sent on this connection, and closing it drops what the transaction did so far.
  if (database) {
    auto held = std::make_shared<Slot>(std::move(slot));
    boost::asio::co_spawn(io_, keep_slot(database, std::move(held)), boost::asio::detached);
  }
  transaction->connection->close();
  end_rolled_back(transaction);
}

boost::asio::awaitable<void> TransactionExecutor::keep_slot(std::shared_ptr<OwnedDatabase> database,
                                                            std::shared_ptr<Slot> slot) {
  co_await outlast(io_, std::move(database));
  slot.reset();
}

void TransactionExecutor::end_rolled_back(const Transaction& transaction) {
  transactions_.end(transaction->id, EndedTransaction{TransactionEnd::kRolledBack, {}});
}

boost::asio::awaitable<ForwardReply> TransactionExecutor::commit(ForwardRequest request,
                                                                 core::Instant deadline) {
  const auto refused = std::make_shared<ForwardReply>();
  const Transaction transaction = co_await take(request, refused);
  if (!transaction && commit_in_progress(request.transaction)) {
    co_return co_await reply_after_commit(std::move(request), deadline);
  }
  if (!transaction) {
    co_return *refused;
  }
  transaction->committing = true;
  const core::RequestId attempt = attempts_.next(request.request);
  const database::CommitRequest body{attempt, request.key, transaction->term};
  DatabaseCall commit{"/v1/commit", attempt, database::serialize(body)};
  CallResult result = co_await call(transaction, std::move(commit), deadline);
  if (!left_transaction(result)) {
    transaction->connection->close();
  }
  EndedTransaction ended;
  ended.end = end_of(result);
  ForwardReply reply = reply_of(request, std::move(result));
  ended.commit_reply = reply;
  transactions_.end(transaction->id, std::move(ended));
  co_return reply;
}

bool TransactionExecutor::commit_in_progress(const core::TransactionId& id) const {
  const Transaction transaction = transactions_.find(id);
  return transaction && transaction->committing;
}

boost::asio::awaitable<ForwardReply> TransactionExecutor::reply_after_commit(ForwardRequest request,
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

boost::asio::awaitable<ForwardReply> TransactionExecutor::roll_back(ForwardRequest request,
                                                                    core::Instant deadline) {
  if (commit_in_progress(request.transaction)) {
    co_return co_await reply_after_commit(std::move(request), deadline);
  }
  const Transaction transaction = transactions_.find(request.transaction);
  if (!transaction) {
    co_return reply_to_late_roll_back(request);
  }
  end_rolled_back(transaction);
  if (transaction->busy || transaction->keeping_alive) {
    transaction->connection->close();  // Breaks off what is running on it and drops the transaction.
    co_return rolled_back_reply(request);
  }
  const core::RequestId attempt = attempts_.next(request.request);
  const database::RollbackRequest body{attempt};
  DatabaseCall roll_back{"/v1/rollback", attempt, database::serialize(body)};
  const CallResult result = co_await call(transaction, std::move(roll_back), deadline);
  if (!left_transaction(result)) {
    transaction->connection->close();  // Which rolls it back as well.
  }
  co_return rolled_back_reply(request);
}

ForwardReply TransactionExecutor::reply_to_late_roll_back(const ForwardRequest& request) const {
  ForwardReply reply = reply_for_ended(request);
  const std::optional<EndedTransaction> ended = transactions_.ended(request.transaction);
  if (ended && ended->end == TransactionEnd::kRolledBack) {
    reply.outcome = core::Outcome::kDone;
    reply.result = "null";
  }
  return reply;
}

boost::asio::awaitable<TransactionExecutor::Transaction> TransactionExecutor::take(
    ForwardRequest request, std::shared_ptr<ForwardReply> refused) {
  while (true) {
    Transaction transaction = transactions_.find(request.transaction);
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

void TransactionExecutor::keep_alive_unused(core::Instant now) {
  for (const Transaction& transaction : transactions_.unused_since(now - protocol::kPoolKeepAlive)) {
    transaction->keeping_alive = true;
    boost::asio::co_spawn(io_, keep_alive(transaction), boost::asio::detached);
  }
}

boost::asio::awaitable<void> TransactionExecutor::keep_alive(Transaction transaction) {
  const bool alive = co_await transaction->connection->keep_alive(kRollbackTimeout);
  transaction->keeping_alive = false;
  if (!alive) {
    end_rolled_back(transaction);
  }
}

void TransactionExecutor::roll_back_idle(core::Instant now, bool all) {
  const core::Instant before = all ? now : now - options_.transaction_idle_limit;
  for (const Transaction& transaction : transactions_.idle_since(before)) {
    end_rolled_back(transaction);
    const core::RequestId attempt = attempts_.next(core::RequestId("idle"));
    boost::asio::co_spawn(io_, roll_back_quietly(transaction, attempt), boost::asio::detached);
  }
}

boost::asio::awaitable<void> TransactionExecutor::roll_back_quietly(Transaction transaction,
                                                                    core::RequestId attempt) {
  const database::RollbackRequest body{attempt};
  DatabaseCall call{"/v1/rollback", attempt, database::serialize(body)};
  const CallResult result = co_await transaction->connection->call(std::move(call), kRollbackTimeout);
  if (!left_transaction(result)) {
    transaction->connection->close();
  }
}

ForwardReply TransactionExecutor::reply_for_ended(const ForwardRequest& request) const {
  const std::optional<EndedTransaction> ended = transactions_.ended(request.transaction);
  const bool is_commit = request.operation == Operation::kCommit;
  ForwardReply reply = refusal(request, not_open_error());
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

bool TransactionExecutor::may_begin(const OwnedDatabase& database) const {
  // Each running statement must still find a connection, so transactions may hold only those beyond the
  // slots.
  const std::uint32_t held = database.pool().live();
  const std::uint32_t slots = database.gate().queue().slots();
  const std::uint32_t limit = held > slots ? held - slots : held / 2;
  return transactions_.open_on(database.id()) < limit;
}

}  // namespace pipitpond::proxy
