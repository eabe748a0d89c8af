// The faults of one seed: which machine suffers what, when and for how long.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control_world/daemon.hpp"
#include "control_world/fleet.hpp"
#include "control_world/machine.hpp"

namespace pipitpond::control_world {

/// What the schedule acts upon.
struct Targets {
  std::vector<ControlMachine*> machines;  ///< The founding ones, then spares.
  std::vector<ControlDaemon*> daemons;
  std::size_t founders = 0;
};

class FaultSchedule {
 public:
  FaultSchedule(Fleet& fleet, Targets targets);

  /// Begins faults one after another, until end_all().
  void begin();
  /// Besides the others, a machine is cut off in silence for minutes. Returns when that is over, from now.
  core::Duration begin_long_silence();
  /// Ends every fault: links whole, processes running, disks fast.
  void end_all();
  /// How often each kind of fault was begun.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& counts() const { return counts_; }
  /// The leader's committed members are all there, each with the disk it had.
  [[nodiscard]] bool whole() const;
  /// The machine that leads and knows that it does; null: none.
  [[nodiscard]] ControlMachine* leader() const;

 private:
  using Fault = core::Duration (FaultSchedule::*)();
  struct Kind {
    const char* name;
    Fault fault;
    std::uint32_t weight;
  };

  static const std::vector<Kind>& kinds();
  void next();
  const Kind& draw();
  ControlMachine& any_machine();
  ControlMachine& leader_or_any();
  void end_after(core::Duration duration, simulation::Action end);

  // Each returns the time for which no other fault may begin.
  core::Duration crash();
  core::Duration crash_leaders_in_a_row();
  core::Duration crash_in_writes();
  core::Duration lose_disk();
  core::Duration long_cut();
  core::Duration cut_from_peers_only();
  core::Duration freeze();
  core::Duration one_way_cut();
  core::Duration split();
  core::Duration bad_links();
  core::Duration slow_disk();
  core::Duration restart_daemon();
  core::Duration change_members();
  core::Duration add_spares_and_split();
  core::Duration hand_over();

  void wipe(ControlMachine& machine);
  /// Waits until the members are whole again; then, at times, the next machine loses its disk at once.
  void watch_repair(ControlMachine& repaired);
  /// The machine rejoins after `cut`; at its beginning it was in `its_term`.
  void check_undisturbed(ControlMachine& rejoined, raft::Term its_term, const std::string& cut);
  void be_silent_until(core::Instant end);
  /// No further fault may begin: a machine is about to come back from a long silence, or just did.
  [[nodiscard]] bool must_be_calm() const;
  void cut(simulation::Host& from, simulation::Host& to);
  void heal(simulation::Host& from, simulation::Host& to);
  /// Cuts or heals both directions between a machine and the other machines, and daemons if wanted.
  void isolate(ControlMachine& machine, bool from_daemons);
  void reconnect(ControlMachine& machine, bool from_daemons);
  void crash_for(ControlMachine& machine, core::Duration duration);
  void add_spare(ControlMachine& spare);
  void remove_member(ControlMachine& machine);
  [[nodiscard]] bool is_member(const ControlMachine& machine) const;
  [[nodiscard]] std::vector<ControlMachine*> spares() const;
  void begin_adding(ControlMachine& spare);
  /// Cuts these from all other machines.
  void split_off(const std::vector<ControlMachine*>& side, core::Duration duration);

  Fleet& fleet_;
  Targets targets_;
  bool over_ = false;
  std::uint32_t active_ = 0;                  ///< Faults that have not ended.
  std::uint64_t begun_ = 0;                   ///< Faults in all.
  std::uint32_t member_work_ = 0;             ///< Disks that are lost and members that are being changed.
  std::optional<core::Instant> silence_end_;  ///< End of the long silence, when there is one.
  std::set<ControlMachine*> retired_;         ///< Are no members and stay off.
  std::map<std::pair<simulation::Host*, simulation::Host*>, std::uint32_t>
      cuts_;  ///< Faults that cut a link.
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace pipitpond::control_world
