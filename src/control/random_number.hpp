// Numbers that no other life of a process draws, for identities and for the seeds of random generators.
#pragma once

#include <cstdint>

namespace pipitpond::control {

/// Returns 64 bits from the operating system's source of randomness.
std::uint64_t random_number();

}  // namespace pipitpond::control
