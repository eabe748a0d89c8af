// The published protocol of a database: HTTP/1.1 with JSON bodies. A TCP connection is a database
// connection once `POST /v1/connect` was answered; a transaction belongs to its connection. Status, fence,
// promote, replicate, drain and log need no /v1/connect and are not counted as connections.
//
//   GET  /v1/status      -> StatusAnswer       never queued behind statements
//   POST /v1/connect     ConnectRequest        takes the connection cost; 503 over the connection limit
//   POST /v1/execute     ExecuteRequest        -> ExecuteAnswer
//   POST /v1/begin       BeginRequest          -> ExecuteAnswer
//   POST /v1/commit      CommitRequest         -> ExecuteAnswer
//   POST /v1/rollback    RollbackRequest       -> ExecuteAnswer
//   POST /v1/key         KeyRequest            -> KeyAnswer
//   POST /v1/fence       FenceRequest          -> FenceAnswer
//   POST /v1/promote     PromoteRequest        -> PromoteAnswer
//   POST /v1/replicate   ReplicateRequest      -> ReplicateAnswer   (between databases of a group)
//   POST /v1/drain       DrainRequest          -> StatusAnswer
//   GET  /v1/log?from=N  -> LogAnswer          for the oracle of tests
//
// Every error answer is a DatabaseError with status 4xx or 5xx.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "core/outcome.hpp"

namespace pipitpond::database {

/// What a database is in its group at its term.
enum class Role : std::uint8_t {
  kReplica,  ///< Follows the primary of its term; serves reads.
  kPrimary,  ///< Takes writes of its term.
  kFenced,   ///< Has promised a term whose primary has not yet contacted it; serves reads only.
};

NLOHMANN_JSON_SERIALIZE_ENUM(Role, {{Role::kReplica, "replica"},
                                    {Role::kPrimary, "primary"},
                                    {Role::kFenced, "fenced"}})

/// Health and progress of a database.
struct StatusAnswer {
  core::DatabaseId database;
  core::GroupName group;
  Role role = Role::kReplica;
  core::Term term = 0;            ///< Greatest term promised; older ones are refused.
  core::LogPosition received;     ///< Last entry in the synced log.
  core::LogPosition committed;    ///< Last entry known to be held by a majority.
  core::LogPosition applied;      ///< Last entry visible to reads; lags behind committed on a replica.
  std::uint32_t connections = 0;  ///< Open database connections.
  std::uint32_t connection_limit = 0;
  std::uint32_t slots_in_use = 0;  ///< Statements executing now.
  std::uint32_t slots = 0;
  bool leaving = false;  ///< Asks for no new work.
  /// How long the oldest unacknowledged write of this primary has waited for a majority, ms; else 0.
  std::uint32_t replication_stalled_ms = 0;
  /// Connections and statements refused since start because a limit was reached.
  std::uint64_t connections_over_limit = 0;
  std::uint64_t statements_over_limit = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(StatusAnswer, database, group, role, term, received, committed, applied,
                                 connections, connection_limit, slots_in_use, slots, leaving,
                                 replication_stalled_ms, connections_over_limit, statements_over_limit)
};

/// Opens a database connection.
struct ConnectRequest {
  std::string client;  ///< Name of the connecting process, for the database's logs.

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ConnectRequest, client)
};

/// Runs one statement, inside the connection's open transaction if there is one.
struct ExecuteRequest {
  core::RequestId request;
  core::StatementKind kind = core::StatementKind::kRead;
  nlohmann::json statement;        ///< See statement.hpp; opaque to proxies.
  core::RequestKey key;            ///< Recorded with the write in one entry; empty: none.
  core::Term term = 0;             ///< Writes: the term whose primary is meant. Reads: 0.
  core::LogPosition min_position;  ///< Reads: refuse with "stale" unless `covers(applied, min_position)`.
  std::uint32_t wait_ms = 0;       ///< Reads: how long to wait for min_position before refusing.

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ExecuteRequest, request, kind, statement, key, term, min_position, wait_ms)
};

/// Opens a transaction on the connection. Only the primary of `term` accepts.
struct BeginRequest {
  core::RequestId request;
  core::Term term = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(BeginRequest, request, term)
};

/// Commits the connection's transaction as one log entry.
struct CommitRequest {
  core::RequestId request;
  core::RequestKey key;  ///< Recorded with the commit; empty: none.
  core::Term term = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CommitRequest, request, key, term)
};

/// Drops the connection's transaction.
struct RollbackRequest {
  core::RequestId request;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(RollbackRequest, request)
};

/// Answer of execute, begin, commit and rollback. For a write it is sent only once a majority of the group
/// holds the entry at the same term.
struct ExecuteAnswer {
  core::RequestId request;  ///< Copied from the request, so that a late answer is recognised.
  core::DatabaseId database;
  nlohmann::json result;       ///< The statement's rows or value.
  core::LogPosition position;  ///< Writes: the entry. Reads: what was applied when it ran.
  core::LogPosition applied;   ///< Last entry visible to reads here.
  bool replayed = false;       ///< The key had run before; this is its first result.
  bool in_transaction = false;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ExecuteAnswer, request, database, result, position, applied, replayed,
                                 in_transaction)
};

/// Asks the primary what became of a key. With `settle`, a key that has not run is recorded (durably, through
/// the log) as never to run, so that "not run" stays true even for an attempt that is still on its way.
struct KeyRequest {
  core::RequestId request;
  core::RequestKey key;
  core::Term term = 0;
  bool settle = false;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(KeyRequest, request, key, term, settle)
};

/// What became of a key. `outcome` is unknown when the key is older than the retention, or when it has not
/// run and was not settled.
struct KeyAnswer {
  core::RequestId request;
  core::Outcome outcome = core::Outcome::kUnknown;
  nlohmann::json result;
  core::LogPosition position;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(KeyAnswer, request, outcome, result, position)
};

/// Makes the database promise a term durably: it then refuses statements, replication and fences of older
/// terms, and stops being primary if it was one of an older term.
struct FenceRequest {
  core::Term term = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(FenceRequest, term)
};

/// Answer to a fence that was accepted; a refused one is DatabaseError "fenced" with the newer term.
struct FenceAnswer {
  core::DatabaseId database;
  core::Term term = 0;
  core::LogPosition received;
  bool leaving = false;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(FenceAnswer, database, term, received, leaving)
};

/// One database of a group, as its peers reach it.
struct Member {
  core::DatabaseId database;
  core::Endpoint endpoint;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(Member, database, endpoint)
};

/// Makes a database that was fenced at `term` its primary. Idempotent for the same term and database.
struct PromoteRequest {
  core::Term term = 0;
  std::vector<Member> members;  ///< All databases of the group, this one included.

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(PromoteRequest, term, members)
};

/// The new primary's last entry of earlier terms: all that survives of them.
struct PromoteAnswer {
  core::DatabaseId database;
  core::Term term = 0;
  core::LogPosition start;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(PromoteAnswer, database, term, start)
};

/// One entry of the replicated log.
struct LogEntry {
  core::LogPosition position;
  core::RequestId request;
  core::RequestKey key;
  bool settled_not_run = false;            ///< The entry only settles `key` as never to run.
  std::vector<nlohmann::json> statements;  ///< Applied together; empty for the entry that opens a term.
  nlohmann::json result;                   ///< What the primary answered; replayed for a resent key.
  core::UnixMillis committed_at = 0;       ///< Primary's wall clock when it appended the entry.

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(LogEntry, position, request, key, settled_not_run, statements, result,
                                 committed_at)
};

/// Primary to replica: entries after `previous`, and how far the log is committed.
struct ReplicateRequest {
  core::Term term = 0;
  core::DatabaseId primary;
  core::LogPosition previous;
  std::vector<LogEntry> entries;
  core::LogPosition committed;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReplicateRequest, term, primary, previous, entries, committed)
};

/// Replica's answer. Not matched: the primary goes back to `received` or before.
struct ReplicateAnswer {
  core::DatabaseId database;
  core::Term term = 0;
  bool matched = false;
  core::LogPosition received;  ///< Last entry held, synced.
  core::LogPosition applied;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(ReplicateAnswer, database, term, matched, received, applied)
};

/// Starts or ends a planned stop.
struct DrainRequest {
  bool leaving = true;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(DrainRequest, leaving)
};

/// Part of the log, for the oracle.
struct LogAnswer {
  core::DatabaseId database;
  core::LogPosition committed;
  std::vector<LogEntry> entries;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(LogAnswer, database, committed, entries)
};

/// Body of every error answer. The database knows which of its refusals mean "did not run".
struct DatabaseError {
  core::RequestId request;
  std::string kind;  ///< Text of a core::ErrorKind.
  std::string message;
  core::Outcome outcome = core::Outcome::kUnknown;
  core::Term term = 0;        ///< Greatest term this database knows of.
  core::LogPosition applied;  ///< For "stale".
  std::uint32_t retry_after_ms = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(DatabaseError, request, kind, message, outcome, term, applied,
                                 retry_after_ms)
};

/// Reads a message; the error names the field. For use on bytes that come from outside.
template <typename Message>
core::Result<Message> parse(const std::string& body) {
  try {
    return nlohmann::json::parse(body).get<Message>();
  } catch (const nlohmann::json::exception& error) {
    return core::fail(core::ErrorKind::kInvalidArgument, std::string("Body is not valid: ") + error.what(),
                      "Send the JSON object that the protocol page describes.");
  }
}

/// Writes a message as JSON. Text that is not UTF-8 is replaced, never thrown on.
template <typename Message>
std::string serialize(const Message& message) {
  return nlohmann::json(message).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace pipitpond::database
