// Lease of a pool's connection for one statement or transaction. Single-threaded.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "pooling/backend.hpp"
#include "pooling/pooled_connection.hpp"
#include "pooling/session_state.hpp"
#include "pooling/statement_lease.hpp"

namespace pipitpond::pooling {

class BackendPool;

/// A lease on one of this daemon's own connections. The destructor returns the connection to the pool, or
/// closes it if it is in a transaction.
class ConnectionLease : public StatementLease {
 public:
  ConnectionLease(std::shared_ptr<BackendPool> pool, std::unique_ptr<PooledConnection> connection);
  ~ConnectionLease() override;
  ConnectionLease(ConnectionLease&&) noexcept = default;
  ConnectionLease& operator=(ConnectionLease&&) noexcept;
  ConnectionLease(const ConnectionLease&) = delete;
  ConnectionLease& operator=(const ConnectionLease&) = delete;

  /// Statements that set up the session's state run first; if one of them fails, the connection counts as
  /// lost.
  boost::asio::awaitable<core::Result<StatementReply>> run(const SessionState& session,
                                                           BackendStatement statement,
                                                           core::Duration timeout) override;
  /// Runs a statement that the proxy itself issues, without the session's state.
  boost::asio::awaitable<core::Result<StatementReply>> run_own(Statement statement, core::Duration timeout);

  /// Requests the database's status. Errors as BackendConnection::status.
  boost::asio::awaitable<core::Result<BackendStatus>> status(core::Duration timeout);

  [[nodiscard]] const std::shared_ptr<BackendPool>& pool() const { return pool_; }
  void discard() override;
  [[nodiscard]] core::Duration max_connection_wait() const override { return core::Duration::zero(); }

 private:
  boost::asio::awaitable<core::Result<StatementReply>> run_batch(std::vector<BackendStatement> batch,
                                                                 core::Duration timeout);
  void return_to_pool();
  void set_in_transaction(bool in_transaction);

  std::shared_ptr<BackendPool> pool_;
  std::unique_ptr<PooledConnection> connection_;
  bool in_transaction_ = false;
};

}  // namespace pipitpond::pooling
