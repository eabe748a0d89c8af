// One machine of a simulated fleet with its process: its clock, whether the process runs, and whether it is
// frozen. What a process has scheduled is void after its end.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "core/clock.hpp"
#include "simulation/scheduler.hpp"

namespace pipitpond::simulation {

/// How a host's clock differs from true time.
struct ClockDrift {
  core::Duration ahead{0};    ///< At the start of the simulation.
  std::int32_t rate_ppm = 0;  ///< Microseconds that it gains in a second; negative when it is slow.
};

class Host {
 public:
  /// A host whose process does not run yet.
  Host(Scheduler& scheduler, std::string name, ClockDrift drift = {});
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool frozen() const { return frozen_; }
  /// Number of the process's life; grows with each start.
  [[nodiscard]] std::uint64_t life() const { return life_; }

  /// The host's own clock, which also runs while the process is down or frozen.
  [[nodiscard]] core::Instant now() const { return local(scheduler_.now()); }
  /// What the host's clock shows at a moment of true time.
  [[nodiscard]] core::Instant local(core::Instant true_time) const;
  /// True time at which the host's clock shows `local` or just passes it.
  [[nodiscard]] core::Instant true_time(core::Instant local) const;

  /// Starts the process (a new life); no effect while it runs.
  void start();
  /// Ends the process: all that it scheduled and received is void.
  void stop();
  /// The process does nothing until thaw(): timers and messages wait, and then run in the order in which they
  /// were due.
  void freeze() { frozen_ = true; }
  void thaw();

  /// Runs an action in the present life when the host's clock shows `local`.
  void at(core::Instant local, Action action);
  void after(core::Duration delay, Action action) { at(now() + delay, std::move(action)); }
  /// Runs an action in the process now, whichever life it is in: what came from outside. Void while it is
  /// down.
  void deliver(Action action);

 private:
  void run_or_hold(Action action);

  Scheduler& scheduler_;
  std::string name_;
  ClockDrift drift_;
  core::Instant origin_;
  bool up_ = false;
  bool frozen_ = false;
  std::uint64_t life_ = 0;
  std::deque<Action> held_;  ///< Due while frozen.
};

}  // namespace pipitpond::simulation
