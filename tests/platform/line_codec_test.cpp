#include "platform/line_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <variant>

#include "tenancy/key_digest.hpp"

namespace pipitpond::platform {
namespace {

using pooling::FailureCode;
using pooling::Statement;
using pooling::StatementKind;
using pooling::StatementReply;
using pooling::TransactionState;

Statement parsed(const std::string& line) {
  const CallerMessage message = parse_caller_line(line);
  const auto* query = std::get_if<QueryMessage>(&message);
  EXPECT_NE(query, nullptr) << line;
  return query == nullptr ? Statement{} : query->statement;
}

bool is_bad(const std::string& line) {
  return std::holds_alternative<BadMessage>(parse_caller_line(line));
}

TEST(CallerLineTest, ASessionNamesItsDatabase) {
  const CallerMessage message = parse_caller_line("START lepu270 u3f1");
  ASSERT_TRUE(std::holds_alternative<StartMessage>(message));
  EXPECT_EQ(std::get<StartMessage>(message).database, "lepu270");
  EXPECT_EQ(std::get<StartMessage>(message).key, tenancy::digest_of("u3f1"));
  EXPECT_TRUE(is_bad("START lepu270"));
  EXPECT_TRUE(is_bad("START"));
  EXPECT_TRUE(std::holds_alternative<ByeMessage>(parse_caller_line("BYE")));
}

TEST(DatabaseLineTest, AConnectionNamesItsTenantOrThisProxy) {
  pooling::BackendAddress address{{"127.0.0.1", 1}, core::GroupName("g"), core::DatabaseId("a")};
  EXPECT_EQ(format_start(address), "START g pipitpond a\r\n");
  address.tenant = core::TenantName("miny420");
  EXPECT_EQ(format_start(address), "START g miny420 a\r\n");
}

TEST(CallerLineTest, EachTextIsUnderstood) {
  EXPECT_EQ(parsed("QUERY q1 BEGIN").kind, StatementKind::kBegin);
  EXPECT_EQ(parsed("QUERY q1 BEGIN READ").kind, StatementKind::kBeginReadOnly);
  EXPECT_EQ(parsed("QUERY q1 COMMIT").kind, StatementKind::kCommit);
  EXPECT_EQ(parsed("QUERY q1 ROLLBACK").kind, StatementKind::kRollback);
  EXPECT_EQ(parsed("QUERY q1 READ 1a4").arguments, "1a4");
  EXPECT_EQ(parsed("QUERY q1 WRITE 1a4 some  data ").arguments, "1a4 some  data ");
  const Statement prepare = parsed("QUERY q1 PREPARE s1 WRITE q2c");
  EXPECT_EQ(prepare.kind, StatementKind::kPrepare);
  EXPECT_TRUE(prepare.writes);
  EXPECT_EQ(prepare.arguments, "q2c");
  const Statement executed = parsed("QUERY q1 EXEC s1 1a4 xkqpwnzd");
  EXPECT_EQ(executed.name, "s1");
  EXPECT_EQ(executed.arguments, "1a4 xkqpwnzd");
  EXPECT_EQ(parsed("QUERY q1 SET zone north hall").arguments, "north hall");
  EXPECT_EQ(parsed("QUERY q1 FORGET s1").kind, StatementKind::kForget);
}

TEST(CallerLineTest, WhatOnlyTheProxyMaySayIsRefused) {
  for (const char* text : {"AFTER 1.2 READ a", "STATUS", "HOLD 3", "DEMOTE 3", "RESUME", "RESET"}) {
    EXPECT_TRUE(is_bad(std::string("QUERY q1 ") + text)) << text;
  }
  EXPECT_TRUE(is_bad("QUERY - READ a")) << "the proxy's own id";
}

TEST(CallerLineTest, MalformedLinesAreRefused) {
  for (const char* line : {"", " ", "QUERY", "QUERY q1", "QUERY q1 ", "QUERY q1 READ", "QUERY q1 WRITE a",
                           "QUERY q1 COMMIT now", "QUERY q1 PREPARE s READ", "QUERY q1 PREPARE s LOOK q",
                           "QUERY q1 SET a", "QUERY q1 EXEC s", "QUERY q1 BEGIN WRITE", "BYE now", "HELLO"}) {
    EXPECT_TRUE(is_bad(line)) << line;
  }
}

TEST(CallerLineTest, NoLineBreakIsSmuggledThrough) {
  EXPECT_TRUE(is_bad("QUERY q1 READ a\nQUERY q2 WRITE b c"));
  EXPECT_TRUE(is_bad("QUERY q1 READ a\rQUERY q2 WRITE b c"));
  EXPECT_TRUE(is_bad(std::string("QUERY q1 READ a\0b", 17)));
}

TEST(DatabaseLineTest, StatementsGoOnUnchanged) {
  for (const char* line : {"QUERY q1 READ 1a4", "QUERY q1 WRITE 1a4 some  data ", "QUERY q1 COMMIT",
                           "QUERY q1 BEGIN READ", "QUERY q1 EXEC s1 1a4 xkqp"}) {
    const pooling::BackendStatement statement{parsed(line), {}};
    EXPECT_EQ(format_query(statement), std::string(line) + "\r\n");
  }
}

TEST(DatabaseLineTest, APositionGoesBeforeTheText) {
  const pooling::BackendStatement statement{parsed("QUERY q1 READ 1a4"), core::LogPosition{3, 1207}};
  EXPECT_EQ(format_query(statement), "QUERY q1 AFTER 3.1207 READ 1a4\r\n");
}

TEST(DatabaseLineTest, TheProxysOwnStatementsHaveNoId) {
  Statement reset;
  reset.kind = StatementKind::kReset;
  EXPECT_EQ(format_query({reset, {}}), "QUERY - RESET\r\n");
  EXPECT_EQ(format_command("STATUS"), "QUERY - STATUS\r\n");
}

TEST(ReplyReaderTest, AReplyIsPutTogether) {
  ReplyReader reader;
  EXPECT_FALSE(reader.take("ROW one two").value());
  EXPECT_FALSE(reader.take("DONE 7.1f3").value());
  EXPECT_TRUE(reader.take("READY T 3.1209").value());
  const StatementReply reply = reader.finish();
  EXPECT_EQ(reply.rows, std::vector<std::string>{"one two"});
  EXPECT_EQ(reply.signature, "7.1f3");
  EXPECT_EQ(reply.state, TransactionState::kOpen);
  EXPECT_EQ(reply.position, (core::LogPosition{3, 1209}));
}

TEST(ReplyReaderTest, AFailureIsTold) {
  ReplyReader reader;
  EXPECT_FALSE(reader.take("ERR READONLY i-7f3a").value());
  EXPECT_TRUE(reader.take("READY E -").value());
  const StatementReply reply = reader.finish();
  ASSERT_TRUE(reply.failure);
  EXPECT_EQ(reply.failure->code, FailureCode::kReadOnly);
  EXPECT_EQ(reply.state, TransactionState::kFailed);
  EXPECT_FALSE(reply.position);
}

TEST(ReplyReaderTest, AWordThatIsNotKnownPromisesNothing) {
  ReplyReader reader;
  EXPECT_FALSE(reader.take("ERR SURPRISE x").value());
  EXPECT_TRUE(reader.take("READY I -").value());
  EXPECT_FALSE(pooling::guarantees_not_run(reader.finish().failure->code));
}

TEST(ReplyReaderTest, NonsenseIsNoReply) {
  for (const char* line : {"", "HELLO", "READY X 1.2", "READY"}) {
    ReplyReader reader;
    EXPECT_FALSE(reader.take(line).has_value()) << line;
  }
}

TEST(StatusTest, ARowIsUnderstood) {
  const auto status = parse_status("replica 3 3.1209 4 12 2 17");
  ASSERT_TRUE(status);
  EXPECT_FALSE(status->primary);
  EXPECT_EQ(status->term, 3U);
  EXPECT_EQ(status->received, (core::LogPosition{3, 1209}));
  EXPECT_EQ(status->held_term, 4U);
  EXPECT_EQ(status->busy, 2U);
  EXPECT_EQ(status->connections, 17U);
  EXPECT_FALSE(parse_status("replica"));
  EXPECT_FALSE(parse_status("replica x 3.1 0 0 0 0"));
}

TEST(CallerReplyTest, WhatIsAnsweredHereHasNoSignature) {
  EXPECT_EQ(format_reply(StatementReply{}), "DONE -\r\nREADY I -\r\n");
}

RC_GTEST_PROP(LineFuzz, AnyBytesFromACallerGiveAMessage, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  const auto word = *rc::gen::element<std::string>("", "QUERY ", "QUERY q1 ", "QUERY q1 PREPARE ", "START ");
  const CallerMessage message = parse_caller_line(word + bytes);
  if (const auto* query = std::get_if<QueryMessage>(&message)) {
    const std::string line = format_query({query->statement, {}});
    RC_ASSERT(line.find_first_of("\r\n") == line.size() - 2);
    RC_ASSERT(line == word + bytes + "\r\n" || line.starts_with("QUERY q1 PREPARE ") || word == "START ");
  }
}

RC_GTEST_PROP(LineFuzz, AnyBytesFromADatabaseGiveAReplyOrAnError, ()) {
  ReplyReader reader;
  const auto lines = *rc::gen::arbitrary<std::vector<std::string>>();
  for (const std::string& line : lines) {
    const auto word = *rc::gen::element<std::string>("", "ROW ", "DONE ", "ERR ", "READY ", "READY I ");
    const auto taken = reader.take(word + line);
    if (taken && taken.value()) {
      (void)format_reply(reader.finish());
    }
    (void)parse_status(line);
  }
}

}  // namespace
}  // namespace pipitpond::platform
