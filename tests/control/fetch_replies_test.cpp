#include "control/fetch_replies.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <random>
#include <string>

#include "protocol/control_messages.hpp"
#include "wire/compact.hpp"

namespace pipitpond::control {
namespace {

class FetchRepliesTest : public testing::Test {
 protected:
  void put_zone(const std::string& name) {
    configuration::Command command;
    command.operation = configuration::PutZone{core::ZoneName(name), core::RegionName("kigali")};
    ASSERT_FALSE(machine_.apply(++index_, command).error);
  }

  /// Adds two policies, each as a revision of its own, whose random texts hardly compress.
  void put_long_policies() {
    std::mt19937_64 random(1);
    for (const char* name : {"first", "second"}) {
      configuration::PutPolicy put{core::PolicyName(name), "-- "};
      while (put.source.size() < 60'000) {
        put.source.push_back(static_cast<char>('!' + random() % ('~' - '!')));
      }
      configuration::Command command;
      command.operation = std::move(put);
      ASSERT_FALSE(machine_.apply(++index_, command).error);
    }
  }

  protocol::FetchReply after(protocol::Revision revision) {
    return wire::unpack_compact<protocol::FetchReply>(replies_.after(revision)).value();
  }

  configuration::StateMachine machine_;
  FetchReplies replies_{machine_};
  std::uint64_t index_ = 0;
};

TEST_F(FetchRepliesTest, NextReplyToTheSameRequestContainsLaterRevisions) {
  put_zone("a");
  put_zone("b");
  EXPECT_EQ(after(1).changes.size(), 1U);
  EXPECT_EQ(after(1).changes.size(), 1U);
  EXPECT_EQ(after(2).changes.size(), 0U);
  put_zone("c");
  EXPECT_EQ(after(1).changes.size(), 2U);
  EXPECT_EQ(after(2).changes.size(), 1U);
}

TEST_F(FetchRepliesTest, RepliesAreCompleteForMoreRevisionsThanAreCached) {
  constexpr protocol::Revision kRevisions = 3 * kMaxCachedReplies;
  for (protocol::Revision revision = 1; revision <= kRevisions; ++revision) {
    put_zone("z" + std::to_string(revision));
  }
  for (protocol::Revision revision = 0; revision < kRevisions; ++revision) {
    EXPECT_EQ(after(revision).changes.size(), kRevisions - revision);
  }
}

/// Fetches the remaining pages of a reply as a daemon does, and returns the whole reply.
std::string fetch_all_pages(FetchReplies& replies, protocol::FetchPage page) {
  std::string bytes = page.bytes;
  while (bytes.size() < page.total) {
    const protocol::FetchRequest request{core::DaemonId("d"), 0, page.revision, bytes.size()};
    page = replies.page(request);
    EXPECT_EQ(page.offset, bytes.size());
    bytes += page.bytes;
  }
  return bytes;
}

TEST_F(FetchRepliesTest, LongReplyIsServedInPagesWhileTheRevisionAdvances) {
  put_long_policies();
  const std::string whole = replies_.after(0);
  ASSERT_GT(whole.size(), 2 * kFetchPageBytes);
  const protocol::FetchPage first = replies_.page({core::DaemonId("d"), 0, 0, 0});
  EXPECT_EQ(first.bytes.size(), kFetchPageBytes);
  EXPECT_EQ(first.revision, first.newest);
  put_zone("a");
  const protocol::FetchPage second = replies_.page({core::DaemonId("d"), 0, first.revision, kFetchPageBytes});
  EXPECT_EQ(second.revision, first.revision);
  EXPECT_EQ(second.newest, first.revision + 1);
  EXPECT_EQ(fetch_all_pages(replies_, first), whole);
}

TEST_F(FetchRepliesTest, ContinuationOfAReplyThatIsNotKeptStartsOver) {
  put_long_policies();
  const protocol::FetchPage page = replies_.page({core::DaemonId("d"), 0, 77, 5000});
  EXPECT_EQ(page.offset, 0U);
  EXPECT_EQ(page.revision, 2U);
  const protocol::FetchPage beyond = replies_.page({core::DaemonId("d"), 0, 2, 1UL << 40U});
  EXPECT_EQ(beyond.offset, 0U) << "an offset beyond the end of the reply";
}

TEST_F(FetchRepliesTest, RequestAfterTheMaximumRevisionReturnsTheCurrentRevision) {
  put_zone("a");
  const protocol::FetchPage page =
      replies_.page({core::DaemonId("d"), std::numeric_limits<protocol::Revision>::max(), 0, 0});
  EXPECT_EQ(page.newest, 1U);
  EXPECT_EQ(page.total, page.bytes.size());
}

}  // namespace
}  // namespace pipitpond::control
