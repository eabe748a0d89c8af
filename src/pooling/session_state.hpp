// What belongs to a caller's session and must hold on whichever connection runs its statements: session
// values and prepared statements. No input or output.
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

/// A shape of statement that can be named on a connection.
struct PreparedShape {
  bool writes = false;
  std::string shape;

  auto operator<=>(const PreparedShape&) const = default;

  MSGPACK_DEFINE(writes, shape);
};

/// A caller's session.
struct SessionState {
  SessionValues values;
  std::map<std::string, PreparedShape> prepared;  ///< By the caller's names.

  MSGPACK_DEFINE(values, prepared);
};

/// What a database connection has been told.
struct ConnectionState {
  SessionValues values;
  std::map<PreparedShape, std::string> prepared;  ///< Names on the connection, which are the proxy's own.
  std::uint64_t names_assigned = 0;
};

/// Most prepared statements that a connection keeps; beyond it, it is reset.
inline constexpr std::size_t kMaxPreparedPerConnection = 200;

/// The statements that must go before `statement`, so that it runs with the session's values and prepared
/// shapes; renames `statement` where it executes a prepared one. Takes note in `connection` of what they do:
/// if one of them fails, the connection must be closed. `in_transaction`: a reset is not possible.
std::vector<Statement> align_connection(const SessionState& session, ConnectionState& connection,
                                        Statement& statement, bool in_transaction);

/// True when the connection has the session's values already.
bool has_values_of(const ConnectionState& connection, const SessionState& session);

}  // namespace pipitpond::pooling
