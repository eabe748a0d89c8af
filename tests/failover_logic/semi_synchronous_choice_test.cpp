// Which database is promoted in semi-synchronous groups, which acknowledge a write once one replica has
// received it.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>
#include <string>
#include <vector>

#include "failover/primary_choice.hpp"

namespace pipitpond::failover {
namespace {

FencedMember fenced(const std::string& id, std::uint64_t index, bool leaving = false) {
  FencedMember member;
  member.database = core::DatabaseId(id);
  member.received = {1, index};
  member.leaving = leaving;
  return member;
}

TEST(SemiSynchronousChoiceTest, AllButOneMustBeFenced) {
  EXPECT_EQ(fences_needed(3, 1), 2U);
  EXPECT_EQ(fences_needed(4, 1), 3U);
  EXPECT_EQ(fences_needed(5, 1), 4U) << "a majority of 3 may not include the only replica that has a write";
  EXPECT_EQ(fences_needed(1, 1), 1U);
  EXPECT_FALSE(choose_primary({fenced("b", 9), fenced("c", 9)}, 4, 1));
}

TEST(SemiSynchronousChoiceTest, ChoosesTheMostUpToDateFencedDatabase) {
  EXPECT_EQ(choose_primary({fenced("b", 8), fenced("c", 9)}, 3, 1), core::DatabaseId("c"));
}

TEST(SemiSynchronousChoiceTest, ChoosesALeavingReplicaOnlyWhenNoOtherIsSafe) {
  EXPECT_EQ(choose_primary({fenced("b", 8), fenced("c", 9, true)}, 3, 1), core::DatabaseId("c"));
  EXPECT_EQ(choose_primary({fenced("b", 9), fenced("c", 9, true)}, 3, 1), core::DatabaseId("b"));
}

// Property: an acknowledged commit is on the primary and at least one replica. Whichever subset of the
// databases is fenced, the one chosen from it has every acknowledged commit.
RC_GTEST_PROP(SemiSynchronousChoiceProperty, ChosenPrimaryHasEveryAcknowledgedWrite, ()) {
  const auto size = static_cast<std::size_t>(*rc::gen::inRange(2, 6));
  const auto lengths =
      *rc::gen::container<std::vector<std::uint64_t>>(size, rc::gen::inRange<std::uint64_t>(0, 20));
  std::vector<std::uint64_t> received = lengths;
  received[0] = *std::max_element(lengths.begin(), lengths.end()) + *rc::gen::inRange<std::uint64_t>(0, 3);
  const std::uint64_t acknowledged = *std::max_element(received.begin() + 1, received.end());
  std::vector<FencedMember> members;
  for (std::size_t number = 0; number < size; ++number) {
    if (*rc::gen::arbitrary<bool>()) {
      members.push_back(fenced(std::to_string(number), received[number], *rc::gen::arbitrary<bool>()));
    }
  }
  const auto chosen = choose_primary(members, size, 1);
  if (chosen) {
    RC_ASSERT(received.at(std::stoul(chosen->value())) >= acknowledged);
  }
}

// Property: the same while databases have started again without their logs, and are known to have. A write
// that was acknowledged to a replica that has lost it since is still on the primary of that time.
RC_GTEST_PROP(SemiSynchronousChoiceProperty, ChosenPrimaryHasEveryWriteThatIsLeftThoughLogsWereLost, ()) {
  const auto size = static_cast<std::size_t>(*rc::gen::inRange(2, 6));
  auto received =
      *rc::gen::container<std::vector<std::uint64_t>>(size, rc::gen::inRange<std::uint64_t>(0, 20));
  received[0] = *std::max_element(received.begin(), received.end()) + *rc::gen::inRange<std::uint64_t>(0, 3);
  const std::uint64_t acknowledged = *std::max_element(received.begin() + 1, received.end());
  std::vector<FencedMember> members;
  std::uint64_t left = 0;
  for (std::size_t number = 0; number < size; ++number) {
    FencedMember member = fenced(std::to_string(number), received[number]);
    member.log_unproven = *rc::gen::arbitrary<bool>();
    if (member.log_unproven) {
      received[number] = *rc::gen::inRange<std::uint64_t>(0, received[number] + 1);
      member.received.index = received[number];
    }
    left = std::max(left, received[number]);
    if (*rc::gen::arbitrary<bool>()) {
      members.push_back(member);
    }
  }
  const auto chosen = choose_primary(members, size, 1);
  if (chosen) {
    RC_ASSERT(received.at(std::stoul(chosen->value())) >= std::min(acknowledged, left));
  }
}

// Property: the same for those that have all of the last primary's log, fenced with it, whoever else is away.
RC_GTEST_PROP(SemiSynchronousChoiceProperty, ASuccessorOfTheFencedLastPrimaryHasEveryAcknowledgedWrite, ()) {
  const auto size = static_cast<std::size_t>(*rc::gen::inRange(2, 6));
  auto received =
      *rc::gen::container<std::vector<std::uint64_t>>(size, rc::gen::inRange<std::uint64_t>(0, 8));
  received[0] = *std::max_element(received.begin(), received.end()) + *rc::gen::inRange<std::uint64_t>(0, 2);
  const std::uint64_t acknowledged = *std::max_element(received.begin() + 1, received.end());
  std::vector<FencedMember> members;
  for (std::size_t number = 0; number < size; ++number) {
    if (number == 0 || *rc::gen::arbitrary<bool>()) {
      members.push_back(fenced(std::to_string(number), received[number], *rc::gen::arbitrary<bool>()));
    }
  }
  members.front().led_last_term = true;
  const auto chosen = choose_primary(members, size, 1);
  RC_ASSERT(chosen.has_value());
  RC_ASSERT(received.at(std::stoul(chosen->value())) >= acknowledged);
}

TEST(SemiSynchronousChoiceTest, AFencedLastPrimaryIsEnoughOnceAnotherHasAllOfItsLog) {
  FencedMember last_primary = fenced("a", 9, true);
  last_primary.led_last_term = true;
  EXPECT_FALSE(enough_fenced({last_primary}, 4, 1));
  EXPECT_FALSE(enough_fenced({last_primary, fenced("d", 8)}, 4, 1));
  EXPECT_TRUE(enough_fenced({last_primary, fenced("d", 9)}, 4, 1));
  EXPECT_EQ(choose_primary({last_primary, fenced("d", 9)}, 4, 1), core::DatabaseId("d"));
}

TEST(SemiSynchronousChoiceTest, ALastPrimaryThatMayHaveLostItsLogIsNotEnough) {
  FencedMember last_primary = fenced("a", 9);
  last_primary.led_last_term = true;
  last_primary.log_unproven = true;
  EXPECT_FALSE(choose_primary({last_primary, fenced("d", 9)}, 4, 1));
  last_primary.log_unproven = false;
  EXPECT_FALSE(choose_primary({last_primary, fenced("d", 10)}, 4, 1)) << "no replica is ahead of its primary";
}

TEST(SemiSynchronousChoiceTest, ADatabaseThatMayHaveLostItsLogProvesNothing) {
  FencedMember returned = fenced("b", 0);
  returned.log_unproven = true;
  EXPECT_FALSE(choose_primary({returned, fenced("c", 8)}, 3, 1)) << "the third may hold the only copy";
  EXPECT_EQ(choose_primary({returned, fenced("c", 8), fenced("a", 9)}, 3, 1), core::DatabaseId("a"));
}

TEST(SemiSynchronousChoiceTest, AWholeGroupThatIsFencedHidesNoWrite) {
  FencedMember first = fenced("a", 9);
  FencedMember second = fenced("b", 7);
  first.log_unproven = true;
  second.log_unproven = true;
  EXPECT_FALSE(choose_primary({first, second}, 3, 1));
  EXPECT_EQ(choose_primary({first, second, fenced("c", 8)}, 3, 1), core::DatabaseId("a"));
}

}  // namespace
}  // namespace pipitpond::failover
