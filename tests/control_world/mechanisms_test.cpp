// What each mechanism is for: a seed that fails with it switched off and passes with it.
#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "control_world/world.hpp"

namespace pipitpond::control_world {
namespace {

using simulation::Mechanism;
using simulation::Switches;

struct Case {
  Mechanism mechanism = Mechanism::kPreVote;
  std::uint64_t seed = 0;
  std::string violation;  ///< Part of what the oracle says without the mechanism.
};

void PrintTo(const Case& test_case, std::ostream* out) {
  *out << simulation::name_of(test_case.mechanism) << " at seed " << test_case.seed;
}

class MechanismOff : public ::testing::TestWithParam<Case> {};

/// The seeds were found where replicas without a leader ask no others: such questions change what a seed
/// draws.
Switches without_leaderless_reads(Switches switches) {
  switches.turn_off(Mechanism::kLeaderlessReads);
  return switches;
}

TEST_P(MechanismOff, FailsAndPassesWithIt) {
  const auto& [mechanism, seed, violation] = GetParam();
  const auto without =
      ControlWorld().run({seed, without_leaderless_reads(Switches::all_but(mechanism)), nullptr});
  ASSERT_FALSE(without.passed());
  EXPECT_NE(without.violations.front().find(violation), std::string::npos) << without.violations.front();
  const auto with = ControlWorld().run({seed, {}, nullptr});
  EXPECT_TRUE(with.passed()) << with.violations.front();
  const auto with_it_alone = ControlWorld().run({seed, without_leaderless_reads({}), nullptr});
  EXPECT_TRUE(with_it_alone.passed()) << with_it_alone.violations.front();
}

INSTANTIATE_TEST_SUITE_P(
    Control, MechanismOff,
    ::testing::Values(Case{Mechanism::kPreVote, 3, "The leader was disturbed when c3 came back from a cut"},
                      Case{Mechanism::kPreVote, 131,
                           "The leader was disturbed when c1 came back from a long silence"},
                      Case{Mechanism::kCheckQuorum, 3584, "was still sure of its quorum"},
                      Case{Mechanism::kSyncBeforeSend, 106, "whose log lacks the committed entry"},
                      Case{Mechanism::kReadQuorum, 26, "A read showed revision"},
                      Case{Mechanism::kOneMembershipChange, 63, "was still sure of its quorum"},
                      Case{Mechanism::kLearnerAfterWipe, 125, "c3 voted in term 12 for c3 and for c1"},
                      Case{Mechanism::kLearnerAfterWipe, 5, "whose log lacks the committed entry"},
                      Case{Mechanism::kRequestKeys, 1, "its first outcome is"},
                      Case{Mechanism::kRevisionCheck, 3, "the model has it at"},
                      Case{Mechanism::kSyncEveryWrite, 1, "can't read its disk"},
                      Case{Mechanism::kNewestRevisionOnly, 4, "d3 applied revision 58 after 60"}));

}  // namespace
}  // namespace pipitpond::control_world
