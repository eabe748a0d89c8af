// Typed errors. Each carries a message for a person, the remedy, and, where a retry makes sense, when.
#pragma once

#include <boost/outcome.hpp>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/clock.hpp"

namespace pipitpond::core {

/// Every kind of failure that crosses a module border.
enum class ErrorKind : std::uint8_t {
  kInvalidArgument,    ///< The request itself is wrong; resending it unchanged can't help.
  kNotFound,           ///< A named thing does not exist.
  kAlreadyExists,      ///< A thing of that name exists.
  kConflict,           ///< A change named a revision that is no longer the current one.
  kNotLeader,          ///< This control replica does not lead; ask the one it names.
  kNotPrimary,         ///< The database is not the primary of the term that was asked for.
  kFenced,             ///< The database has seen a newer term.
  kStale,              ///< The database is behind the position that the session needs.
  kPositionLost,       ///< A session position did not survive a change of primary.
  kOverloaded,         ///< Given up because of load; retry after the given time.
  kNoCapacity,         ///< No connection or slot could be had within the deadline.
  kUnavailable,        ///< No back end or quorum can serve this now.
  kLeaving,            ///< The process takes no new work.
  kConnectionRefused,  ///< No connection could be made: nothing was sent.
  kConnectionLost,     ///< The connection broke after something may have been sent.
  kTimeout,            ///< No answer in time: it may have run.
  kDeadlineExceeded,   ///< The caller's deadline passed before anything was sent.
  kKeyExpired,         ///< The request key is older than the retention of keys.
  kKeySettled,         ///< The key was settled as "not run"; it can never run.
  kForgedToken,        ///< A token or transaction identifier did not verify.
  kTooLarge,           ///< A body, statement or message is over its limit.
  kCorrupt,            ///< Durable state can't be read.
  kPolicyDenied,       ///< The policy forbids the request.
  kPermissionDenied,   ///< Nobody who may ask holds the caller's key.
  kInternal,           ///< A fault of this program.
};

/// Stable text of a kind, for JSON and logs, such as "not_leader".
std::string_view to_string(ErrorKind kind);
/// Kind of a text written by to_string; kInternal for an unknown one.
ErrorKind error_kind_from(std::string_view text);

/// A failure: what happened and what to do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  ///< What happened, one sentence.
  std::string remedy;   ///< What to do, one sentence. Never empty towards users.
  /// When a retry may succeed, in milliseconds; 0 when unknown or pointless.
  std::uint32_t retry_after_ms = 0;

  MSGPACK_DEFINE(kind, message, remedy, retry_after_ms);
};

/// "message (remedy)" for a log line or a terminal.
std::string describe(const Error& error);

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an Error. Reading the wrong one ends the process.
template <typename Value>
using Result = outcome::result<Value, Error, outcome::policy::terminate>;

/// Failure to return from a function with a Result.
inline auto fail(ErrorKind kind, std::string message, std::string remedy, std::uint32_t retry_after_ms = 0) {
  return outcome::failure(Error{kind, std::move(message), std::move(remedy), retry_after_ms});
}

}  // namespace pipitpond::core

MSGPACK_ADD_ENUM(pipitpond::core::ErrorKind);
