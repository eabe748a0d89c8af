// Identities of control replicas. A voter of the initial membership has its machine's name as its identity. A
// replica that joins later, or again after the loss of its disk, appends '#' and a random number.
#pragma once

#include <string>

#include "core/ids.hpp"
#include "raft/types.hpp"

namespace pipitpond::control {

/// Returns the part of an identity before '#'.
std::string machine_name(const core::ControlId& id);

/// Finds the member with the identity `named`, or else the only member on the machine `named`. Returns null
/// if there is none or if several members match.
const raft::Member* find_member(const raft::Membership& membership, const core::ControlId& named);

}  // namespace pipitpond::control
