// The owner's side of transactions: each holds a database connection of its own from begin to its end.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "protocol/forward.hpp"
#include "proxy/database_calls.hpp"
#include "proxy/owned_databases.hpp"
#include "proxy/transaction_id.hpp"
#include "proxy/transactions.hpp"

namespace pipitpond::proxy {

/// Who this owner is, as transaction identifiers name it.
struct ExecutorOptions {
  core::DaemonId daemon;
  std::uint64_t incarnation = 0;
  std::string secret;  ///< Authenticates transaction identifiers.
  core::Duration transaction_idle_limit = std::chrono::seconds(30);
};

/// Runs transactions on owned databases. Every reply says "not run" only of what was not sent, was refused by
/// the database itself, or was dropped with the transaction's connection before any commit.
class TransactionExecutor {
 public:
  using Request = protocol::ForwardRequest;
  using Reply = protocol::ForwardReply;

  TransactionExecutor(boost::asio::io_context& io, ExecutorOptions options, OwnedDatabases& databases,
                      AttemptNames& attempts);

  /// Begins a transaction. Fails with kLeaving or kNoCapacity, or with the database's refusal.
  boost::asio::awaitable<Reply> begin(Request request, std::shared_ptr<OwnedDatabase> database,
                                      core::Instant deadline);
  /// Runs one statement of a transaction. The transaction ends when its connection is lost.
  boost::asio::awaitable<Reply> execute(Request request, core::Instant deadline);
  /// Commits. A commit that is sent again gets the first one's reply.
  boost::asio::awaitable<Reply> commit(Request request, core::Instant deadline);
  /// Rolls back, unless a commit is on its way: then it tells how that ended.
  boost::asio::awaitable<Reply> roll_back(Request request, core::Instant deadline);

  /// Rolls back transactions that have been idle for too long, or all idle ones when `all` is set.
  void roll_back_idle(core::Instant now, bool all);
  /// Uses the connections of transactions between their statements, so that databases don't close them.
  void keep_alive_unused(core::Instant now);
  /// From now on no transaction begins here.
  void refuse_new() { refuses_new_ = true; }

  /// Number of open transactions.
  [[nodiscard]] std::size_t open() const { return transactions_.open(); }

 private:
  using Transaction = std::shared_ptr<OpenTransaction>;

  /// The open transaction, free for a statement and marked as busy; or null, with the reply that refuses.
  boost::asio::awaitable<Transaction> take(Request request, std::shared_ptr<Reply> refused);
  boost::asio::awaitable<CallResult> call(Transaction transaction, DatabaseCall call, core::Instant deadline);
  /// Waits for the end of a transaction whose commit is on its way, and tells about it.
  boost::asio::awaitable<Reply> reply_after_commit(Request request, core::Instant deadline);
  boost::asio::awaitable<void> keep_slot(std::shared_ptr<OwnedDatabase> database, std::shared_ptr<Slot> slot);
  boost::asio::awaitable<void> keep_alive(Transaction transaction);
  static boost::asio::awaitable<void> roll_back_quietly(Transaction transaction, core::RequestId attempt);

  /// Opens the record of a transaction that has begun on the connection.
  Transaction open_transaction(const Request& request, PooledConnection connection);
  /// Ends a transaction whose connection was lost. Its slot is kept until the statement has ended there.
  void end_lost(const Transaction& transaction, const std::shared_ptr<OwnedDatabase>& database, Slot slot);
  void end_rolled_back(const Transaction& transaction);
  static void set_free(OpenTransaction& transaction);
  [[nodiscard]] bool commit_in_progress(const core::TransactionId& id) const;
  [[nodiscard]] bool may_begin(const OwnedDatabase& database) const;
  [[nodiscard]] Reply reply_for_ended(const Request& request) const;
  [[nodiscard]] Reply reply_to_late_roll_back(const Request& request) const;

  boost::asio::io_context& io_;
  ExecutorOptions options_;
  OwnedDatabases& databases_;
  AttemptNames& attempts_;
  Transactions transactions_;
  bool refuses_new_ = false;
};

}  // namespace pipitpond::proxy
