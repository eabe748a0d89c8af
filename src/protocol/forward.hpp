// Messages between daemons: a caller's request passed on to an owner of the database that shall serve it.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "core/outcome.hpp"

namespace pipitpond::protocol {

/// What the owner is asked to do on the database.
/// kProgress asks an owner how far a database is by its last status; no request goes to the database.
/// kPing asks for a sign of life and concerns no database.
enum class Operation : std::uint8_t { kExecute, kBegin, kCommit, kRollback, kResolveKey, kProgress, kPing };

/// One attempt at one database. The entry daemon decides about further attempts; the owner makes just one.
struct ForwardRequest {
  core::RequestId request;
  Operation operation = Operation::kExecute;
  core::GroupName group;
  core::DatabaseId database;
  core::TenantName tenant;
  core::StatementKind kind = core::StatementKind::kRead;
  std::string statement;  ///< JSON text, unread by proxies.
  core::RequestKey key;
  core::TransactionId transaction;  ///< Empty outside transactions.
  core::Term term = 0;              ///< Writes: term whose primary is meant.
  core::LogPosition min_position;   ///< Reads: freshness that the session needs.
  std::uint32_t wait_ms = 0;        ///< Reads: how long the database may wait to get there.
  std::uint32_t deadline_ms = 0;    ///< Time left when this was sent.
  bool settle = false;              ///< kResolveKey: settle the key as "not run" if it has not run.
  /// When this was sent, in microseconds on the owner's own BootClock: what the clock showed at least. 0 when
  /// the sender does not know that clock.
  std::int64_t sent_at_us = 0;
  /// The owner refuses what has waited unread for longer than this: the sender has given it up. 0: no limit.
  std::uint32_t pick_up_ms = 0;

  MSGPACK_DEFINE(request, operation, group, database, tenant, kind, statement, key, transaction, term,
                 min_position, wait_ms, deadline_ms, settle, sent_at_us, pick_up_ms);
};

/// What came of the attempt.
struct ForwardReply {
  core::RequestId request;
  core::Outcome outcome = core::Outcome::kUnknown;
  core::Error error;  ///< Meaningful unless outcome is kDone.
  core::DatabaseId database;
  std::string result;  ///< JSON text.
  core::LogPosition position;
  core::LogPosition applied;        ///< The database's progress, for replica choice.
  core::TransactionId transaction;  ///< For kBegin.
  bool replayed = false;
  std::uint32_t queued_us = 0;  ///< Time in the owner's admission queue.
  std::int64_t clock_us = 0;    ///< What the owner's BootClock showed when this left, in microseconds.

  MSGPACK_DEFINE(request, outcome, error, database, result, position, applied, transaction, replayed,
                 queued_us, clock_us);
};

}  // namespace pipitpond::protocol

MSGPACK_ADD_ENUM(pipitpond::protocol::Operation);
