// Retry budget of a group: retries may add only a small part to the first attempts, so that a group that is
// down is not flooded by them.
#pragma once

#include "core/clock.hpp"

namespace pipitpond::retry {

/// Settings of a budget.
struct BudgetOptions {
  double per_request = 0.1;  ///< Retries earned by each first attempt.
  double capacity = 10.0;    ///< Most that can be saved up; also what a new budget holds.
};

/// Token bucket: first attempts fill it, retries empty it.
class RetryBudget {
 public:
  explicit RetryBudget(BudgetOptions options = {}) : options_(options), tokens_(options.capacity) {}

  /// Notes a first attempt.
  void earn();
  /// Takes one retry; false when the budget is empty.
  bool spend();
  [[nodiscard]] double tokens() const { return tokens_; }

 private:
  BudgetOptions options_;
  double tokens_;
};

}  // namespace pipitpond::retry
