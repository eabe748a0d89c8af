#include "agent/fetch_transfer.hpp"

#include <gtest/gtest.h>

#include <string>

namespace pipitpond::agent {
namespace {

const core::DaemonId kDaemon("d");
const std::string kAnswer = "0123456789";

/// Bytes `offset` to `end` of the answer that leads to a revision.
protocol::FetchPage page(protocol::Revision revision, std::uint64_t offset, std::uint64_t end) {
  protocol::FetchPage page;
  page.revision = revision;
  page.total = kAnswer.size();
  page.offset = offset;
  page.bytes = kAnswer.substr(offset, end - offset);
  return page;
}

TEST(FetchTransfer, AsksForWhatIsMissingAndGivesTheWhole) {
  FetchTransfer transfer;
  EXPECT_EQ(transfer.request(kDaemon, 3).transfer, 0U);
  ASSERT_TRUE(transfer.take(3, page(7, 0, 4), true));
  EXPECT_FALSE(transfer.take_whole().has_value());
  const protocol::FetchRequest next = transfer.request(kDaemon, 3);
  EXPECT_EQ(next.after, 3U);
  EXPECT_EQ(next.transfer, 7U);
  EXPECT_EQ(next.offset, 4U);
  ASSERT_TRUE(transfer.take(3, page(7, 4, 10), true));
  EXPECT_EQ(transfer.take_whole(), kAnswer);
  EXPECT_EQ(transfer.request(kDaemon, 3).transfer, 0U) << "nothing is left of it";
}

TEST(FetchTransfer, ALatePageCountsAndItsTwinAddsNothing) {
  FetchTransfer transfer;
  ASSERT_TRUE(transfer.take(0, page(7, 0, 4), true));
  ASSERT_TRUE(transfer.take(0, page(7, 4, 8), false)) << "of a replica that was given up";
  EXPECT_FALSE(transfer.take(0, page(7, 4, 8), true)) << "the same from the next one";
  ASSERT_TRUE(transfer.take(0, page(7, 6, 10), true)) << "overlaps";
  EXPECT_EQ(transfer.take_whole(), kAnswer);
}

TEST(FetchTransfer, OnlyTheAwaitedReplicaMayBeginAnotherAnswer) {
  FetchTransfer transfer;
  ASSERT_TRUE(transfer.take(0, page(7, 0, 8), true));
  EXPECT_FALSE(transfer.take(0, page(8, 0, 4), false)) << "late, and of another answer";
  EXPECT_EQ(transfer.request(kDaemon, 0).offset, 8U);
  ASSERT_TRUE(transfer.take(0, page(8, 0, 4), true)) << "the replica no longer has the answer of 7";
  EXPECT_EQ(transfer.request(kDaemon, 0).transfer, 8U);
  EXPECT_EQ(transfer.request(kDaemon, 0).offset, 4U);
}

TEST(FetchTransfer, PagesWithAGapOrOverTheEndAreOfNoUse) {
  FetchTransfer transfer;
  EXPECT_FALSE(transfer.take(0, page(7, 4, 8), true)) << "the first bytes are missing";
  ASSERT_TRUE(transfer.take(0, page(7, 0, 2), true));
  EXPECT_FALSE(transfer.take(0, page(7, 4, 8), true));
  protocol::FetchPage long_page = page(7, 2, 10);
  long_page.bytes += "and more";
  EXPECT_FALSE(transfer.take(0, long_page, true));
  EXPECT_FALSE(transfer.take_whole().has_value());
}

TEST(FetchTransfer, AnotherQuestionBeginsAtNothing) {
  FetchTransfer transfer;
  ASSERT_TRUE(transfer.take(0, page(7, 0, 4), true));
  EXPECT_EQ(transfer.request(kDaemon, 5).transfer, 0U);
  EXPECT_EQ(transfer.request(kDaemon, 5).offset, 0U);
}

}  // namespace
}  // namespace pipitpond::agent
