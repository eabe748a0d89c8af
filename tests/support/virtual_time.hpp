// Acts at moments of a time that passes only by them, for tests that simulate.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/clock.hpp"

namespace pipitpond::testing {

/// Runs acts in the order of their moments; those of one moment in the order in which they were added.
class VirtualTime {
 public:
  /// Of the act that runs, or ran last.
  [[nodiscard]] core::Instant now() const { return now_; }

  void at(core::Instant moment, std::function<void()> act) {
    acts_.push({moment, ++acts_made_, std::move(act)});
  }

  /// Until no act is left; acts may add others.
  void run() {
    while (!acts_.empty()) {
      const Act next = acts_.top();
      acts_.pop();
      now_ = next.moment;
      next.run();
    }
  }

 private:
  struct Act {
    core::Instant moment;
    std::uint64_t number = 0;
    std::function<void()> run;

    bool operator>(const Act& other) const {
      return std::pair(moment, number) > std::pair(other.moment, other.number);
    }
  };

  core::Instant now_{};
  std::uint64_t acts_made_ = 0;
  std::priority_queue<Act, std::vector<Act>, std::greater<>> acts_;
};

}  // namespace pipitpond::testing
