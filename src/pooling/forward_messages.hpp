// Messages between a daemon and an owner: a daemon that holds connections to a database and runs statements
// on them for other daemons. Packed with msgpack.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "pooling/session_state.hpp"
#include "pooling/statement.hpp"

namespace pipitpond::pooling {

/// Identifies a transaction that an owner holds open for another daemon. Counts up from a random start that
/// the owner draws when its process starts, so that identifiers from before a restart match no transaction.
using ForwardedTransaction = std::uint64_t;

/// A statement to run. Answered with a ForwardedAnswer, or with an error whose kind says whether the
/// statement may have run: it definitely did not for kUnavailable, kNoCapacity and kLeaving.
struct ForwardedStatement {
  core::DatabaseId database;
  ForwardedTransaction transaction = 0;  ///< 0: not in a transaction.
  SessionState session;  ///< The session's values, and the prepared statement that is executed.
  Statement statement;
  std::optional<core::LogPosition> after;  ///< Required log position; see BackendStatement.
  std::uint32_t priority = 0;              ///< 0 is the most urgent.
  std::uint32_t wait_ms = 0;               ///< Longest wait for a connection at the owner.
  std::uint32_t goal_ms = 0;               ///< An answer after this time is late.
  std::uint32_t timeout_ms = 0;            ///< Total time, waiting included.
  core::TenantName tenant;                 ///< Tenant whose connection is needed; empty: none.
  std::uint32_t waited_ms = 0;             ///< Time waited for a connection before forwarding.

  MSGPACK_DEFINE(database, transaction, session, statement, after, priority, wait_ms, goal_ms, timeout_ms,
                 tenant, waited_ms);
};

/// The reply to a forwarded statement.
struct ForwardedAnswer {
  StatementReply reply;
  ForwardedTransaction transaction = 0;  ///< The transaction that is open now; 0: none.

  MSGPACK_DEFINE(reply, transaction);
};

/// Asks an owner for the status of a database, to be fetched after this message arrives. Answered with a
/// BackendStatus.
struct ForwardedStatusRequest {
  core::DatabaseId database;
  std::uint32_t timeout_ms = 0;  ///< Total time, the wait for a connection included.

  MSGPACK_DEFINE(database, timeout_ms);
};

/// Asks an owner of connections to a group's primary for log positions that the primary has reported to it.
/// Answered with a PositionReply.
struct PositionRequest {
  core::GroupName group;
  std::uint32_t max_age_ms = 0;

  MSGPACK_DEFINE(group, max_age_ms);
};

/// A log position that includes every write acknowledged at least `age_ms` before the request.
struct AgedPosition {
  std::uint32_t age_ms = 0;
  core::LogPosition position;

  MSGPACK_DEFINE(age_ms, position);
};

/// The oldest position within max_age_ms, which most replicas have reached, and the newest, which stays
/// usable for longest. Empty if no known position is recent enough.
struct PositionReply {
  std::vector<AgedPosition> positions;

  MSGPACK_DEFINE(positions);
};

/// Tells the owner that the transaction is abandoned and its connection must be closed.
struct ForwardedEnd {
  ForwardedTransaction transaction = 0;

  MSGPACK_DEFINE(transaction);
};

}  // namespace pipitpond::pooling
