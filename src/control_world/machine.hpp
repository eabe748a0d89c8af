// One control machine: host, disk and the process with the real consensus, storage, state machine and leases.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control_world/fleet.hpp"
#include "control_world/messages.hpp"
#include "control_world/process.hpp"
#include "raft/node.hpp"
#include "simulation/host.hpp"
#include "simulation/simulated_disk.hpp"

namespace pipitpond::control_world {

class ControlMachine {
 public:
  ControlMachine(Fleet& fleet, std::uint16_t number, simulation::ClockDrift drift);

  /// Writes the first state of a new cluster to the disk.
  void found(const raft::PersistedState& state);
  /// Starts the process from the disk; an empty one gets a new identity, under which the process asks to
  /// join.
  void start();
  /// The process ends and the disk loses what was not synced.
  void crash();
  /// As crash(); also the disk is gone.
  void wipe();

  [[nodiscard]] simulation::Host& host() { return host_; }
  [[nodiscard]] const core::Endpoint& endpoint() const { return endpoint_; }
  [[nodiscard]] raft::Member as_member() const;
  /// Identity on the disk; empty after wipe() until the next start.
  [[nodiscard]] const core::ControlId& identity() const { return identity_; }
  /// The running process, or null.
  [[nodiscard]] ControlProcess* process() { return process_.get(); }
  /// The process leads and a majority has confirmed that lately.
  [[nodiscard]] bool leads() const;
  /// Syncs take this long from now on, at most.
  void set_sync_time(core::Duration most) { sync_time_ = most; }

  /// Instead of by itself, the process crashes while its `writes`-th sync from now on runs, or just before
  /// what was synced is sent; `crashed` runs then. Void when it ends before.
  /// 0: it does not.
  void crash_in_write(std::uint32_t writes, simulation::Action crashed);

  // Calls of others, run in this host.
  void receive(const raft::Message& message, const core::Endpoint& from);

 private:
  core::Result<void> initialize_disk();
  void on_write();

  Fleet& fleet_;
  std::uint16_t number_;
  core::Endpoint endpoint_;
  simulation::Host host_;
  simulation::SimulatedDisk disk_;
  std::optional<raft::PersistedState> founding_state_;
  core::ControlId identity_;
  core::Duration sync_time_;
  std::uint32_t writes_until_crash_ = 0;  ///< 0: none is wanted.
  simulation::Action crashed_;
  std::unique_ptr<ControlProcess> process_;
};

}  // namespace pipitpond::control_world
