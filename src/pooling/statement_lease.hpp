// Interface of a lease on a database connection, held by this daemon or by another one.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "pooling/backend.hpp"
#include "pooling/session_state.hpp"

namespace pipitpond::pooling {

/// Exclusive use of one connection for a statement or a transaction. Destroying the lease aborts an open
/// transaction.
class StatementLease {
 public:
  virtual ~StatementLease() = default;

  /// Brings the connection into the session's state, then runs the statement. The lease must outlive the
  /// call. Fails with kConnectionRefused when the statement was not run, and with kConnectionLost
  /// or kTimeout when it may have been.
  virtual boost::asio::awaitable<core::Result<StatementReply>> run(const SessionState& session,
                                                                   BackendStatement statement,
                                                                   core::Duration timeout) = 0;
  /// Closes the connection instead of returning it to the pool.
  virtual void discard() = 0;
  /// Upper bound on the time that the first statement may still wait for a connection.
  [[nodiscard]] virtual core::Duration max_connection_wait() const = 0;

 protected:
  StatementLease() = default;
  StatementLease(const StatementLease&) = default;
  StatementLease& operator=(const StatementLease&) = default;
  StatementLease(StatementLease&&) = default;
  StatementLease& operator=(StatementLease&&) = default;
};

}  // namespace pipitpond::pooling
