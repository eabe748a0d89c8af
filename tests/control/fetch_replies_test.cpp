#include "control/fetch_replies.hpp"

#include <gtest/gtest.h>

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

  protocol::FetchReply after(protocol::Revision revision) {
    return wire::unpack_compact<protocol::FetchReply>(replies_.after(revision)).value();
  }

  configuration::StateMachine machine_;
  FetchReplies replies_{machine_};
  std::uint64_t index_ = 0;
};

TEST_F(FetchRepliesTest, LaterRevisionIsInTheNextAnswerToTheSameQuestion) {
  put_zone("a");
  put_zone("b");
  EXPECT_EQ(after(1).changes.size(), 1U);
  EXPECT_EQ(after(1).changes.size(), 1U);
  EXPECT_EQ(after(2).changes.size(), 0U);
  put_zone("c");
  EXPECT_EQ(after(1).changes.size(), 2U);
  EXPECT_EQ(after(2).changes.size(), 1U);
}

TEST_F(FetchRepliesTest, ManyDifferentQuestionsAreAllAnswered) {
  constexpr protocol::Revision kRevisions = 3 * kMaxKeptReplies;
  for (protocol::Revision revision = 1; revision <= kRevisions; ++revision) {
    put_zone("z" + std::to_string(revision));
  }
  for (protocol::Revision revision = 0; revision < kRevisions; ++revision) {
    EXPECT_EQ(after(revision).changes.size(), kRevisions - revision);
  }
}

}  // namespace
}  // namespace pipitpond::control
