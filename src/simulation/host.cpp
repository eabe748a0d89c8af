#include "simulation/host.hpp"

#include <utility>

namespace pipitpond::simulation {

namespace {

constexpr std::int64_t kMillion = 1'000'000;

}  // namespace

Host::Host(Scheduler& scheduler, std::string name, ClockDrift drift)
    : scheduler_(scheduler), name_(std::move(name)), drift_(drift), origin_(scheduler.now()) {}

core::Instant Host::local(core::Instant true_time) const {
  const auto passed = (true_time - origin_).count();
  const auto gained = passed * drift_.rate_ppm / kMillion;
  return origin_ + drift_.ahead + core::Duration(passed + gained);
}

core::Instant Host::true_time(core::Instant local) const {
  const auto passed = (local - origin_ - drift_.ahead).count();
  auto guess = origin_ + core::Duration(passed * kMillion / (kMillion + drift_.rate_ppm));
  while (this->local(guess) < local) guess += core::Duration(1);
  return guess;
}

void Host::start() {
  if (up_) return;
  up_ = true;
  frozen_ = false;
  ++life_;
}

void Host::stop() {
  up_ = false;
  frozen_ = false;
  held_.clear();
}

void Host::thaw() {
  if (!frozen_) return;
  frozen_ = false;
  // As events, so that what an action schedules or stops takes effect between them.
  for (auto& action : std::exchange(held_, {})) {
    scheduler_.after({}, [this, life = life_, action = std::move(action)] {
      if (up_ && life == life_) run_or_hold(action);
    });
  }
}

void Host::at(core::Instant local, Action action) {
  scheduler_.at(true_time(local), [this, life = life_, action = std::move(action)] {
    if (up_ && life == life_) run_or_hold(action);
  });
}

void Host::deliver(Action action) {
  if (up_) run_or_hold(std::move(action));
}

void Host::run_or_hold(Action action) {
  if (frozen_) {
    held_.push_back(std::move(action));
  } else {
    action();
  }
}

}  // namespace pipitpond::simulation
