#include "control/control_id.hpp"

namespace pipitpond::control {

std::string machine_name(const core::ControlId& id) {
  return id.value().substr(0, id.value().find('#'));
}

const raft::Member* find_member(const raft::Membership& membership, const core::ControlId& named) {
  if (const raft::Member* exact = membership.find(named)) {
    return exact;
  }
  const raft::Member* found = nullptr;
  for (const raft::Member& member : membership.members) {
    if (machine_name(member.id) != named.value()) {
      continue;
    }
    if (found != nullptr) {
      return nullptr;
    }
    found = &member;
  }
  return found;
}

}  // namespace pipitpond::control
