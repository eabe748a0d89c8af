// Protocol-independent form of statements and replies. The adapters for callers and databases translate it to
// and from their wire protocols.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

enum class StatementKind : std::uint8_t {
  kBegin,          ///< Opens a transaction that may write.
  kBeginReadOnly,  ///< Opens a transaction that only reads.
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,  ///< Sets a session value.
  kPrepare,   ///< Prepares a statement under a name of the session.
  kExecute,   ///< Runs a prepared statement.
  kForget,    ///< Deallocates a prepared statement.
  kReset,     ///< Drops all session values and prepared statements. Only the proxy sends it.
};

struct Statement {
  core::RequestId id;  ///< Assigned by the caller; empty for the proxy's own statements.
  StatementKind kind = StatementKind::kRead;
  std::string name;       ///< kSetValue: the value's name. kPrepare, kExecute, kForget: the prepared name.
  std::string arguments;  ///< The rest of the text, unchanged. kPrepare: the statement to prepare.
  bool writes = false;    ///< kPrepare, and kExecute once its name is resolved: may write.

  MSGPACK_DEFINE(id, kind, name, arguments, writes);
};

/// Why a statement failed.
enum class FailureCode : std::uint8_t {
  kBusy,                ///< Not run: no slot or connection was free.
  kAborted,             ///< The transaction was rolled back.
  kBehind,              ///< Not run: the database's log has not reached the required position.
  kReadOnly,            ///< Not run: the database is not the primary.
  kWrongDatabase,       ///< Not run: another database answered at the address.
  kTooManyConnections,  ///< Not run: the database accepts no more connections.
  kUnsure,              ///< Outcome unknown: the write may or may not have taken effect.
  kTimeout,             ///< No answer in time; the statement may have run.
  kFailed,              ///< The statement ran and failed.
  kNoStatement,         ///< Not run: the prepared name is unknown.
  kUnknownDatabase,     ///< No route serves the database name.
  kTooLarge,            ///< Exceeds a size limit.
  kBad,                 ///< Malformed, or not allowed in this state.
  kDenied,              ///< The caller is not authorized.
  kOverQuota,           ///< Not run: the tenant's quota is used up.
};

/// Name of a code in logs and metrics.
const char* to_string(FailureCode code);

/// A failure code with an explanation for the caller.
struct Failure {
  FailureCode code = FailureCode::kFailed;
  std::string text;

  MSGPACK_DEFINE(code, text);
};

/// Transaction state of a session or connection after a statement.
enum class TransactionState : std::uint8_t {
  kIdle,
  kOpen,
  kFailed,  ///< Open, but only COMMIT or ROLLBACK is accepted.
};

struct StatementReply {
  std::optional<Failure> failure;
  std::vector<std::string> rows;
  std::string signature;  ///< The database's proof that it ran the statement; empty for replies of the proxy.
  TransactionState state = TransactionState::kIdle;
  std::optional<core::LogPosition> position;  ///< Position of the database's log.

  MSGPACK_DEFINE(failure, rows, signature, state, position);
};

/// True for statements that may change data. For kExecute, `writes` must have been set.
bool may_write(const Statement& statement);
bool begins_transaction(const Statement& statement);
/// A success reply to a statement that the proxy has executed itself.
StatementReply local_success_reply(TransactionState state);
StatementReply failed_reply(FailureCode code, std::string text, TransactionState state);

/// Number of FailureCode values.
inline constexpr std::size_t kFailureCodes = 15;

/// True for failures that guarantee that the statement was not run.
bool guarantees_not_run(FailureCode code);

}  // namespace pipitpond::pooling

MSGPACK_ADD_ENUM(pipitpond::pooling::StatementKind);
MSGPACK_ADD_ENUM(pipitpond::pooling::FailureCode);
MSGPACK_ADD_ENUM(pipitpond::pooling::TransactionState);
