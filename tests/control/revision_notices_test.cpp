#include "control/revision_notices.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "run_coroutine.hpp"

namespace pipitpond::control {
namespace {

using testing::ElementsAre;

class RevisionNoticesTest : public testing::Test {
 protected:
  RevisionNotices make(core::Duration interval) {
    return RevisionNotices(
        io_, [this](protocol::Revision revision) { sent_.push_back(revision); }, interval);
  }

  boost::asio::io_context io_;
  std::vector<protocol::Revision> sent_;
};

TEST_F(RevisionNoticesTest, FirstNoticeIsSentAtOnce) {
  auto notices = make(std::chrono::hours(1));
  notices.announce(7);
  EXPECT_THAT(sent_, ElementsAre(7));
}

TEST_F(RevisionNoticesTest, NoticesWithinTheIntervalAreMergedIntoTheLast) {
  auto notices = make(std::chrono::milliseconds(50));
  for (protocol::Revision revision = 1; revision <= 100; ++revision) {
    notices.announce(revision);
  }
  EXPECT_THAT(sent_, ElementsAre(1));
  ASSERT_TRUE(run_until(io_, [this] { return sent_.size() > 1; }));
  EXPECT_THAT(sent_, ElementsAre(1, 100));
}

TEST_F(RevisionNoticesTest, NoticeAfterTheIntervalIsSentAtOnce) {
  auto notices = make(std::chrono::milliseconds(1));
  notices.announce(1);
  notices.announce(2);
  ASSERT_TRUE(run_until(io_, [this] { return sent_.size() == 2; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  notices.announce(3);
  EXPECT_THAT(sent_, ElementsAre(1, 2, 3));
}

}  // namespace
}  // namespace pipitpond::control
