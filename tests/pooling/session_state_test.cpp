#include "pooling/session_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace pipitpond::pooling {
namespace {

Statement read() {
  Statement statement;
  statement.id = core::RequestId("r1");
  statement.kind = StatementKind::kRead;
  return statement;
}

Statement execute(const std::string& name) {
  Statement statement = read();
  statement.kind = StatementKind::kExecute;
  statement.name = name;
  return statement;
}

TEST(AlignConnectionTest, AMatchingConnectionNeedsNoStatements) {
  SessionState session;
  session.values["zone"] = "north";
  ConnectionState connection;
  connection.values["zone"] = "north";
  Statement statement = read();
  EXPECT_TRUE(align_connection(session, connection, statement, false).empty());
}

TEST(AlignConnectionTest, ValuesOfOtherSessionsAreResetFirst) {
  SessionState session;
  session.values["zone"] = "north";
  ConnectionState connection;
  connection.values["tenant"] = "other";
  connection.prepared[PreparedShape{false, "q"}] = "p1";
  Statement statement = read();
  const auto before = align_connection(session, connection, statement, false);
  ASSERT_EQ(before.size(), 2U);
  EXPECT_EQ(before[0].kind, StatementKind::kReset);
  EXPECT_EQ(before[1].kind, StatementKind::kSetValue);
  EXPECT_TRUE(connection.prepared.empty());
}

TEST(AlignConnectionTest, EqualPreparedNamesOfTwoSessionsStaySeparate) {
  SessionState one;
  one.prepared["s"] = PreparedShape{false, "first"};
  SessionState other;
  other.prepared["s"] = PreparedShape{true, "second"};
  ConnectionState connection;
  Statement first = execute("s");
  ASSERT_EQ(align_connection(one, connection, first, false).size(), 1U);
  Statement second = execute("s");
  ASSERT_EQ(align_connection(other, connection, second, false).size(), 1U);
  EXPECT_NE(first.name, second.name);
  Statement again = execute("s");
  EXPECT_TRUE(align_connection(one, connection, again, false).empty());
  EXPECT_EQ(again.name, first.name);
}

// Compares with a model connection that executes the alignment statements: afterwards it must have exactly
// the session's values, and the executed name must denote the session's prepared statement.
RC_GTEST_PROP(AlignConnectionProperty, EverySessionSeesItsOwnStateInAnyOrder, ()) {
  std::vector<SessionState> sessions(3);
  ConnectionState connection;
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedShape> names;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
  for (const int step : steps) {
    SessionState& session = sessions[static_cast<std::size_t>(step % 3)];
    const std::string key = "k" + std::to_string(step % 4);
    if (step % 5 == 0) {
      session.values[key] = std::to_string(step);
      continue;
    }
    if (step % 5 == 1) {
      session.prepared["s"] = PreparedShape{step % 2 == 0, "shape" + std::to_string(step % 7)};
      continue;
    }
    Statement statement = session.prepared.empty() ? read() : execute("s");
    for (const Statement& before : align_connection(session, connection, statement, false)) {
      if (before.kind == StatementKind::kReset) {
        values.clear();
        names.clear();
      } else if (before.kind == StatementKind::kSetValue) {
        values[before.name] = before.arguments;
      } else {
        names[before.name] = PreparedShape{before.writes, before.arguments};
      }
    }
    RC_ASSERT(values == session.values);
    if (statement.kind == StatementKind::kExecute) {
      RC_ASSERT(names.at(statement.name) == session.prepared.at("s"));
    }
  }
}

}  // namespace
}  // namespace pipitpond::pooling
