// The owner's side of one attempt: takes a request for a database that this daemon owns through admission and
// a pooled connection to the database, and tells what came of it. Makes exactly one attempt, or none.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.hpp"
#include "protocol/forward.hpp"
#include "proxy/database_calls.hpp"
#include "proxy/owned_databases.hpp"
#include "proxy/transaction_executor.hpp"

namespace pipitpond::proxy {

/// Runs attempts on owned databases.
class Executor {
 public:
  Executor(boost::asio::io_context& io, ExecutorOptions options, OwnedDatabases& databases);

  /// Makes the attempt. "Not run" is said only of what was not sent or was refused by the database itself.
  boost::asio::awaitable<protocol::ForwardReply> run(protocol::ForwardRequest request);

  /// The transactions that this daemon holds open.
  [[nodiscard]] TransactionExecutor& transactions() { return transactions_; }
  [[nodiscard]] const TransactionExecutor& transactions() const { return transactions_; }

 private:
  using Request = protocol::ForwardRequest;
  using Reply = protocol::ForwardReply;

  boost::asio::awaitable<Reply> execute(Request request, std::shared_ptr<OwnedDatabase> database,
                                        core::Instant deadline);
  boost::asio::awaitable<Reply> resolve_key(Request request, std::shared_ptr<OwnedDatabase> database,
                                            core::Instant deadline);
  /// Runs a statement in its slot and provides the result. The database does not stop a statement because its
  /// caller has given up, so the slot is kept until the statement has ended there.
  boost::asio::awaitable<void> run_statement(PooledCall call, std::shared_ptr<Slot> slot,
                                             std::shared_ptr<Waiter<CallResult>> waiting);

  boost::asio::io_context& io_;
  OwnedDatabases& databases_;
  AttemptNames attempts_;
  TransactionExecutor transactions_;
};

}  // namespace pipitpond::proxy
