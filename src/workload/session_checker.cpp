#include "workload/session_checker.hpp"

#include <algorithm>

namespace pipitpond::workload {

void SessionChecker::wrote(const Cell& cell, std::int64_t number) {
  std::int64_t& floor = floors_[cell];
  floor = std::max(floor, number);
}

bool SessionChecker::read(const Cell& cell, std::int64_t number) {
  std::int64_t& floor = floors_[cell];
  if (number < floor) {
    return false;
  }
  floor = number;
  return true;
}

std::int64_t SessionChecker::floor(const Cell& cell) const {
  const auto found = floors_.find(cell);
  return found == floors_.end() ? 0 : found->second;
}

void SessionChecker::reset() {
  floors_.clear();
}

}  // namespace pipitpond::workload
