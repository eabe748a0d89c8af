// The simulator's only time: a queue of events that run one by one, earliest first, in the order in which
// they were added when due at the same moment. Nothing else lets time pass, so that a run follows from its
// seed.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/clock.hpp"

namespace pipitpond::simulation {

using Action = std::function<void()>;

class Scheduler {
 public:
  /// True simulated time; the clocks of hosts differ from it.
  [[nodiscard]] core::Instant now() const { return now_; }
  /// Runs an action at a moment of true time; at once (after what is due already) when that has passed.
  void at(core::Instant when, Action action);
  void after(core::Duration delay, Action action) { at(now_ + delay, std::move(action)); }
  /// Runs the next event; false when there is none.
  bool run_one();
  /// Runs all events up to and including a moment, which is then now.
  void run_until(core::Instant end);
  void run_for(core::Duration duration) { run_until(now_ + duration); }
  /// Events that have run.
  [[nodiscard]] std::uint64_t events_run() const { return events_run_; }

 private:
  struct Event {
    core::Instant when;
    std::uint64_t number = 0;  ///< Order of adding.
    Action action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.when != right.when ? left.when > right.when : left.number > right.number;
    }
  };

  core::Instant now_{std::chrono::hours(1)};
  std::uint64_t next_number_ = 0;
  std::uint64_t events_run_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace pipitpond::simulation
