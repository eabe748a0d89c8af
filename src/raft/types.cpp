#include "raft/types.hpp"

#include <algorithm>

namespace pipitpond::raft {

const Member* Membership::find(const core::ControlId& id) const {
  const auto found = std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.id == id; });
  return found == members.end() ? nullptr : &*found;
}

bool Membership::is_voter(const core::ControlId& id) const {
  const auto* member = find(id);
  return member != nullptr && member->role == MemberRole::kVoter;
}

std::size_t Membership::voter_count() const {
  const auto is_voting = [](const Member& member) { return member.role == MemberRole::kVoter; };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), is_voting));
}

std::size_t Membership::quorum() const {
  return voter_count() / 2 + 1;
}

PersistedState bootstrap(Membership membership, std::string state) {
  PersistedState persisted;
  persisted.hard_state = HardState{1, {}, 1};
  persisted.snapshot = Snapshot{1, 1, std::move(membership), std::move(state)};
  return persisted;
}

}  // namespace pipitpond::raft
