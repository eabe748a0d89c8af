#include "pooling/session_state.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::pooling {
namespace {

Statement own_statement(StatementKind kind, std::string name, std::string arguments) {
  Statement statement;
  statement.kind = kind;
  statement.name = std::move(name);
  statement.arguments = std::move(arguments);
  return statement;
}

/// A value can be set to another one, but only a reset takes it away.
bool needs_reset(const SessionState& session, const ConnectionState& connection) {
  const bool foreign_value =
      std::any_of(connection.values.begin(), connection.values.end(),
                  [&session](const auto& value) { return !session.values.contains(value.first); });
  return foreign_value || connection.prepared.size() > kMaxPreparedPerConnection;
}

void set_values(const SessionState& session, ConnectionState& connection,
                std::vector<Statement>& statements) {
  for (const auto& [name, value] : session.values) {
    const auto known = connection.values.find(name);
    if (known != connection.values.end() && known->second == value) {
      continue;
    }
    statements.push_back(own_statement(StatementKind::kSetValue, name, value));
    connection.values[name] = value;
  }
}

void prepare_shape(const PreparedShape& shape, ConnectionState& connection,
                   std::vector<Statement>& statements, Statement& executed) {
  auto known = connection.prepared.find(shape);
  if (known == connection.prepared.end()) {
    const std::string name = "p" + std::to_string(++connection.names_assigned);
    known = connection.prepared.emplace(shape, name).first;
    Statement prepare = own_statement(StatementKind::kPrepare, name, shape.shape);
    prepare.writes = shape.writes;
    statements.push_back(std::move(prepare));
  }
  executed.name = known->second;
}

}  // namespace

std::vector<Statement> align_connection(const SessionState& session, ConnectionState& connection,
                                        Statement& statement, bool in_transaction) {
  std::vector<Statement> statements;
  if (!in_transaction && needs_reset(session, connection)) {
    statements.push_back(own_statement(StatementKind::kReset, {}, {}));
    connection.values.clear();
    connection.prepared.clear();
  }
  set_values(session, connection, statements);
  if (statement.kind == StatementKind::kExecute) {
    const auto shape = session.prepared.find(statement.name);
    if (shape != session.prepared.end()) {
      prepare_shape(shape->second, connection, statements, statement);
    }
  }
  return statements;
}

bool has_values_of(const ConnectionState& connection, const SessionState& session) {
  return connection.values == session.values;
}

}  // namespace pipitpond::pooling
