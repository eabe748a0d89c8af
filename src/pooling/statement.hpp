// Statements of callers' sessions and the answers to them, in terms of this project. The adapters of callers
// and databases translate them from and to what goes over their connections.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// What a statement asks for.
enum class StatementKind : std::uint8_t {
  kBegin,          ///< Opens a transaction that may write.
  kBeginReadOnly,  ///< Opens a transaction that only reads.
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,  ///< Sets a session value.
  kPrepare,   ///< Names a shape of statement for the session.
  kExecute,   ///< Runs a prepared statement.
  kForget,    ///< Drops a prepared name.
  kReset,     ///< Drops all session values and prepared names. Never from callers.
};

/// One statement.
struct Statement {
  core::RequestId id;  ///< The caller's; empty for statements of the proxy itself.
  StatementKind kind = StatementKind::kRead;
  std::string name;       ///< kSetValue: of the value. kPrepare, kExecute, kForget: the prepared name.
  std::string arguments;  ///< The rest of the text, unchanged. kPrepare: the shape.
  bool writes = false;    ///< kPrepare, and kExecute once its name is known: it may write.

  MSGPACK_DEFINE(id, kind, name, arguments, writes);
};

/// Why a statement failed.
enum class FailureCode : std::uint8_t {
  kBusy,                ///< Not run: no slot or connection was free.
  kAborted,             ///< Nothing of the transaction is kept.
  kBehind,              ///< Not run: the log lacks the wanted position.
  kReadOnly,            ///< Not run: the database is not the primary.
  kWrongDatabase,       ///< Not run: another database answered at the address.
  kTooManyConnections,  ///< Not run.
  kUnsure,              ///< It may or may not have taken effect.
  kTimeout,             ///< No answer in time; it may have run.
  kFailed,              ///< It ran and failed.
  kNoStatement,         ///< Not run: the prepared name is unknown.
  kUnknownDatabase,     ///< No route serves the database name.
  kTooLarge,            ///< Over a limit of size.
  kBad,                 ///< Not understood, or not allowed in this state.
  kDenied,              ///< The caller may not.
  kOverQuota,           ///< Not run: the tenant has asked for more than it may.
};

/// Short text of a code, for logs and metrics.
const char* to_string(FailureCode code);

/// A failure with a text for the caller.
struct Failure {
  FailureCode code = FailureCode::kFailed;
  std::string text;

  MSGPACK_DEFINE(code, text);
};

/// Where a session or connection stands after a statement.
enum class TransactionState : std::uint8_t {
  kIdle,
  kOpen,
  kFailed,  ///< Open, but only its end is accepted.
};

/// Answer to one statement.
struct StatementReply {
  std::optional<Failure> failure;
  std::vector<std::string> rows;
  std::string signature;  ///< The database's proof that it ran the statement; empty for answers of the proxy.
  TransactionState state = TransactionState::kIdle;
  std::optional<core::LogPosition> position;  ///< Of the database's log.

  MSGPACK_DEFINE(failure, rows, signature, state, position);
};

/// True for statements that may change something. Prepared ones: once `writes` is set.
bool may_write(const Statement& statement);
/// True for those that open a transaction.
bool begins_transaction(const Statement& statement);
/// The reply to a statement that the proxy has carried out itself.
StatementReply local_success_reply(TransactionState state);
/// A reply that failed.
StatementReply failed_reply(FailureCode code, std::string text, TransactionState state);

/// Number of codes.
inline constexpr std::size_t kFailureCodes = 15;

/// True for failures that promise that the statement was not run.
bool guarantees_not_run(FailureCode code);

}  // namespace pipitpond::pooling

MSGPACK_ADD_ENUM(pipitpond::pooling::StatementKind);
MSGPACK_ADD_ENUM(pipitpond::pooling::FailureCode);
MSGPACK_ADD_ENUM(pipitpond::pooling::TransactionState);
