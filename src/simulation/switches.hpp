// Mechanisms that the simulator can switch off, one by one, to show which seed then fails. The programs of
// the fleet know no such switch.
#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace pipitpond::simulation {

/// Each mechanism; the switch-off is done by the world that uses it.
enum class Mechanism : std::uint8_t {
  // Control world.
  kPreVote,
  kCheckQuorum,
  kSyncBeforeSend,
  kOwnTermCommit,
  kReadQuorum,
  kOneMembershipChange,
  kLearnerAfterWipe,
  kRequestKeys,
  kRevisionCheck,
  kSyncEveryWrite,
  kNewestRevisionOnly,
  kLeaderlessReads,
  // Group world.
  kFencing,
  kMajorityAcknowledgement,
  kTermConfirmation,
  kKeySettlement,
  kMinPosition,
  kGreatestPosition,
  kBudgetLeases,
  kClosingConnections,
  kCount,
};

/// Name on the command line, such as "pre-vote".
std::string_view name_of(Mechanism mechanism);
/// The mechanism of a name; none if there is none.
std::optional<Mechanism> mechanism_named(std::string_view name);
/// All mechanisms in order.
std::vector<Mechanism> all_mechanisms();

/// Which mechanisms are on: all, unless said otherwise.
class Switches {
 public:
  static Switches all_but(Mechanism mechanism);

  [[nodiscard]] bool on(Mechanism mechanism) const { return !off_.test(static_cast<std::size_t>(mechanism)); }
  void turn_off(Mechanism mechanism) { off_.set(static_cast<std::size_t>(mechanism)); }

 private:
  std::bitset<static_cast<std::size_t>(Mechanism::kCount)> off_;
};

}  // namespace pipitpond::simulation
