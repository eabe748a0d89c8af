#include "retry/budget.hpp"

#include <algorithm>

namespace pipitpond::retry {

void RetryBudget::earn() {
  tokens_ = std::min(options_.capacity, tokens_ + options_.per_request);
}

bool RetryBudget::spend() {
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace pipitpond::retry
