// The right to run statements of one session on a connection to a database, wherever that connection is.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "pooling/backend.hpp"
#include "pooling/session_state.hpp"

namespace pipitpond::pooling {

/// One connection for the length of a statement or a transaction. Ends an open transaction when it is
/// destroyed.
class StatementLease {
 public:
  virtual ~StatementLease() = default;

  /// Runs one statement of a session: aligns the connection with the session's state first. The lease must
  /// outlive the call. Fails with kConnectionRefused when the statement was not run, and with kConnectionLost
  /// or kTimeout when it may have been.
  virtual boost::asio::awaitable<core::Result<StatementReply>> run(const SessionState& session,
                                                                   BackendStatement statement,
                                                                   core::Duration timeout) = 0;
  /// The connection is closed, not used again.
  virtual void discard() = 0;
  /// How long the first statement may still wait for its connection.
  [[nodiscard]] virtual core::Duration max_connection_wait() const = 0;

 protected:
  StatementLease() = default;
  StatementLease(const StatementLease&) = default;
  StatementLease& operator=(const StatementLease&) = default;
  StatementLease(StatementLease&&) = default;
  StatementLease& operator=(StatementLease&&) = default;
};

}  // namespace pipitpond::pooling
