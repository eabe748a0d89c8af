// A session's values and prepared statements, and the statements that bring a pooled connection into the same
// state. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pooling/statement.hpp"

namespace pipitpond::pooling {

/// Session values by name.
using SessionValues = std::map<std::string, std::string>;

/// The text of a prepared statement, and whether it may write.
struct PreparedShape {
  bool writes = false;
  std::string shape;

  auto operator<=>(const PreparedShape&) const = default;

  MSGPACK_DEFINE(writes, shape);
};

/// State of a caller's session that must hold on every connection that runs its statements.
struct SessionState {
  SessionValues values;
  std::map<std::string, PreparedShape> prepared;  ///< Keyed by the caller's names.

  MSGPACK_DEFINE(values, prepared);
};

/// Session state that a database connection currently has.
struct ConnectionState {
  SessionValues values;
  std::map<PreparedShape, std::string> prepared;  ///< Names on the connection, chosen by the proxy.
  std::uint64_t names_assigned = 0;
};

/// A connection with more prepared statements than this is reset before its next use.
inline constexpr std::size_t kMaxPreparedPerConnection = 200;

/// Returns the statements that must precede `statement` on the connection so that it runs with the session's
/// values and prepared statements. If `statement` executes a prepared statement, its name is replaced by that
/// on the connection. Updates `connection` as if all of them succeeded: if one fails, the connection must be
/// closed. `in_transaction`: a reset is not possible.
std::vector<Statement> align_connection(const SessionState& session, ConnectionState& connection,
                                        Statement& statement, bool in_transaction);

/// True if the connection already has exactly the session's values.
bool has_values_of(const ConnectionState& connection, const SessionState& session);

}  // namespace pipitpond::pooling
