// A whole simulated fleet of the group world: groups of three databases, control, daemons and callers.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "simulation_group/caller_node.hpp"
#include "simulation_group/control_node.hpp"
#include "simulation_group/daemon_node.hpp"
#include "simulation_group/database_node.hpp"
#include "simulation_group/oracle.hpp"

namespace pipitpond::simulation::group {

/// Size and behaviour of a fleet.
struct FleetOptions {
  std::uint32_t groups = 1;
  std::uint32_t daemons = 4;
  std::uint32_t callers_per_group = 5;
  std::uint32_t connection_limit = 35;
  std::uint32_t slots = 5;
  core::Duration connection_cost = std::chrono::milliseconds(10);
  core::Duration work = std::chrono::milliseconds(2);
  core::Duration apply_lag = std::chrono::milliseconds(5);
  CallerOptions caller;
  std::int32_t max_drift_ppm = 20'000;
  /// Daemons are admitted before the run and know the configuration, as in a fleet that has long been
  /// running.
  bool admitted = false;
  /// For comparison only: a fence waits until each owner of the primary has released its term or lost its
  /// lease.
  bool release_by_owners = false;
};

class Fleet {
 public:
  Fleet(Fabric& fabric, const FleetOptions& options);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything but the callers.
  void start();
  void start_callers();
  void stop_callers();
  /// Ends every fault: links are whole, every process runs.
  void heal();

  [[nodiscard]] ControlNode& control() { return *control_; }
  [[nodiscard]] std::deque<DatabaseNode>& databases() { return databases_; }
  [[nodiscard]] std::deque<DaemonNode>& daemons() { return daemons_; }
  [[nodiscard]] const History& history() const { return history_; }
  [[nodiscard]] std::size_t group_count() const { return options_.groups; }
  /// Databases of a group.
  [[nodiscard]] std::vector<DatabaseNode*> members(std::size_t group);
  /// The committed primary; null while there is none.
  [[nodiscard]] DatabaseNode* primary(std::size_t group);
  /// The group's other databases; all of them while there is no primary.
  [[nodiscard]] std::vector<DatabaseNode*> replicas(std::size_t group);
  [[nodiscard]] static core::GroupName group_name(std::size_t group);
  /// A write that was sent after `moment` was acknowledged in each group.
  [[nodiscard]] bool writes_landed_since(core::Instant moment) const;

  /// What the oracle needs; call at the end.
  [[nodiscard]] Evidence evidence(core::Instant faults_ended);

 private:
  void add_group(std::size_t number);
  void add_daemons();
  void add_callers();
  void admit_daemons();
  ClockDrift drift();

  Fabric& fabric_;
  FleetOptions options_;
  History history_;
  Directory directory_;
  std::unique_ptr<ControlNode> control_;
  std::deque<DatabaseNode> databases_;
  std::deque<DaemonNode> daemons_;
  std::deque<CallerNode> callers_;
};

}  // namespace pipitpond::simulation::group
