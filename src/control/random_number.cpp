#include "control/random_number.hpp"

#include <random>

namespace pipitpond::control {

std::uint64_t random_number() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace pipitpond::control
