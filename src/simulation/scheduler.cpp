#include "simulation/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::simulation {

void Scheduler::at(core::Instant when, Action action) {
  events_.push(Event{std::max(when, now_), next_number_++, std::move(action)});
}

bool Scheduler::run_one() {
  if (events_.empty()) return false;
  // The queue only shows its top as constant; the copy keeps the action alive while it runs.
  const Event event = events_.top();
  events_.pop();
  now_ = event.when;
  ++events_run_;
  event.action();
  return true;
}

void Scheduler::run_until(core::Instant end) {
  while (!events_.empty() && events_.top().when <= end) run_one();
  now_ = std::max(now_, end);
}

}  // namespace pipitpond::simulation
