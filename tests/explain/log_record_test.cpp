#include "explain/log_record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "explain/clock_offsets.hpp"

namespace pipitpond::explain {
namespace {

TEST(LogRecordTest, ReadsALine) {
  const auto record = parse_line(
      "2026-12-02T06:45:00.123Z warning process=front-1 backends: event=suspect database=i-1 "
      "suspicion=unreachable");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->process, "front-1");
  EXPECT_EQ(record->part, "backends");
  EXPECT_EQ(record->level, "warning");
  EXPECT_EQ(record->event(), "suspect");
  EXPECT_EQ(record->get("suspicion"), "unreachable");
  EXPECT_EQ(record->get("nothing"), "");
  EXPECT_EQ(format_time(record->time), "06:45:00.123");
}

TEST(LogRecordTest, PassesOverWhatALogCollectorPutsBeforeTheLine) {
  const auto record = parse_line(
      "   4.5413 host-7 2026-12-02T06:45:00.123Z info process=front-1 requests: event=sent term=3");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->number("term"), 3U);
}

TEST(LogRecordTest, LeavesOutWhatIsNoRecord) {
  EXPECT_FALSE(parse_line(""));
  EXPECT_FALSE(parse_line("words only"));
  EXPECT_FALSE(parse_line("2026-12-02T06:45:00.123Z info process=front-1 backends: words only"));
  EXPECT_FALSE(parse_line("2026-13-02T06:45:00.123Z info process=front-1 backends: event=a"));
  EXPECT_FALSE(parse_line("2026-12-02T06:45:00.123Z info front-1 backends: event=a"));
}

RC_GTEST_PROP(LogRecordProperty, AnyBytesAreReadOrLeftOut, (const std::string& bytes)) {
  (void)parse_line(bytes);
  (void)parse_line("2026-12-02T06:45:00.123Z info process=p part: " + bytes);
}

TEST(ClockOffsetsTest, FollowFromWhenRevisionsWereInForce) {
  std::vector<LogRecord> records;
  const auto add = [&records](const char* process, const char* time, int revision) {
    const std::string line = std::string("2026-12-02T") + time + "Z info process=" + process +
                             " agent: event=revision_in_force revision=" + std::to_string(revision);
    records.push_back(*parse_line(line));
  };
  add("a", "06:00:01.000", 1);
  add("a", "06:00:02.000", 2);
  add("a", "06:00:03.000", 3);
  add("b", "06:00:06.010", 1);
  add("b", "06:00:07.002", 2);
  add("b", "06:00:09.500", 3);
  const ClockOffsets clocks(records, "a");
  EXPECT_EQ(format_time(clocks.by_reference(records[4])), "06:00:01.992");
  EXPECT_TRUE(clocks.known("b"));
  EXPECT_FALSE(clocks.known("c"));
}

}  // namespace
}  // namespace pipitpond::explain
