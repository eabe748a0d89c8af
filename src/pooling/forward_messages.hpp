// Messages by which a daemon has statements run on the connections of another one. Packed with msgpack.
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

/// Names a transaction that an owner holds open for another daemon. Drawn at random from a large range at
/// the owner's start, so that one of an earlier life names none of this life.
using ForwardedTransaction = std::uint64_t;

/// A statement to run. Answered with a ForwardedAnswer, or an error that says as StatementLease::run whether
/// it may have been run.
struct ForwardedStatement {
  core::DatabaseId database;
  ForwardedTransaction transaction = 0;  ///< 0: any connection will do.
  SessionState session;                  ///< Its values, and of its prepared shapes the one that is executed.
  Statement statement;
  std::optional<core::LogPosition> after;  ///< See BackendStatement.
  std::uint32_t priority = 0;              ///< 0 goes first.
  std::uint32_t wait_ms = 0;               ///< For a connection.
  std::uint32_t goal_ms = 0;               ///< After which an answer is late.
  std::uint32_t timeout_ms = 0;            ///< For everything.
  core::TenantName tenant;                 ///< Whose connection it must be; empty: nobody's in particular.
  std::uint32_t waited_ms = 0;             ///< For a connection, before it was sent here.

  MSGPACK_DEFINE(database, transaction, session, statement, after, priority, wait_ms, goal_ms, timeout_ms,
                 tenant, waited_ms);
};

/// What came of it.
struct ForwardedAnswer {
  StatementReply reply;
  ForwardedTransaction transaction = 0;  ///< The one that is open now; 0: none.

  MSGPACK_DEFINE(reply, transaction);
};

/// Asks an owner for a database's status, asked for after this message arrived. Answered with a
/// BackendStatus.
struct ForwardedStatusRequest {
  core::DatabaseId database;
  std::uint32_t timeout_ms = 0;  ///< For everything, the wait for a connection included.

  MSGPACK_DEFINE(database, timeout_ms);
};

/// Asks an owner of a group's primary for positions that the primary has shown to it. Answered with a
/// PositionReply.
struct PositionRequest {
  core::GroupName group;
  std::uint32_t max_age_ms = 0;

  MSGPACK_DEFINE(group, max_age_ms);
};

/// A position that covers every write which was acknowledged `age_ms` before the request or earlier.
struct AgedPosition {
  std::uint32_t age_ms = 0;
  core::LogPosition position;

  MSGPACK_DEFINE(age_ms, position);
};

/// The oldest that is young enough, which most replicas have, and the newest, which serves longest. Empty
/// when none is young enough.
struct PositionReply {
  std::vector<AgedPosition> positions;

  MSGPACK_DEFINE(positions);
};

/// The transaction is given up: its connection is to be closed.
struct ForwardedEnd {
  ForwardedTransaction transaction = 0;

  MSGPACK_DEFINE(transaction);
};

}  // namespace pipitpond::pooling
