#include "simulation/switches.hpp"

#include <algorithm>
#include <array>

namespace pipitpond::simulation {

namespace {

/// In the order of Mechanism.
constexpr std::array<std::string_view, static_cast<std::size_t>(Mechanism::kCount)> kNames = {
    "pre-vote",
    "check-quorum",
    "sync-before-send",
    "own-term-commit",
    "read-quorum",
    "one-membership-change",
    "learner-after-wipe",
    "request-keys",
    "revision-check",
    "sync-every-write",
    "newest-revision-only",
    "leaderless-reads",
    "fencing",
    "majority-acknowledgement",
    "term-confirmation",
    "key-settlement",
    "min-position",
    "greatest-position",
    "budget-leases",
    "closing-connections",
};

}  // namespace

std::string_view name_of(Mechanism mechanism) {
  return kNames.at(static_cast<std::size_t>(mechanism));
}

std::optional<Mechanism> mechanism_named(std::string_view name) {
  const auto* const found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<Mechanism>(found - kNames.begin());
}

std::vector<Mechanism> all_mechanisms() {
  std::vector<Mechanism> mechanisms;
  for (std::size_t number = 0; number < kNames.size(); ++number) {
    mechanisms.push_back(static_cast<Mechanism>(number));
  }
  return mechanisms;
}

Switches Switches::all_but(Mechanism mechanism) {
  Switches switches;
  switches.turn_off(mechanism);
  return switches;
}

}  // namespace pipitpond::simulation
