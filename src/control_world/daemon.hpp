// A proxy daemon as control sees it: the real agent::Session with its durable configuration.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "agent/session.hpp"
#include "control_world/fleet.hpp"
#include "simulation/host.hpp"
#include "simulation/simulated_disk.hpp"

namespace pipitpond::control_world {

class ControlDaemon {
 public:
  /// `control`: where the first control machines listen.
  ControlDaemon(Fleet& fleet, std::uint16_t number, simulation::ClockDrift drift,
                std::vector<core::Endpoint> control);

  void start();
  /// The process ends and its disk loses what was not synced.
  void crash();

  [[nodiscard]] simulation::Host& host() { return host_; }
  [[nodiscard]] const core::DaemonId& id() const { return id_; }
  /// Revision that is in force; 0 while the process is down.
  [[nodiscard]] protocol::Revision revision() const;
  [[nodiscard]] bool has_lease() const;

 private:
  /// Settled by the first of answer and time limit.
  using Call = std::shared_ptr<bool>;

  void tick();
  void check_obeyed();
  void carry_out_effects();
  void carry_out(const agent::SendHeartbeat& effect);
  void carry_out(const agent::SendFetch& effect);
  void take(const core::Endpoint& from, const protocol::FetchReply& reply);
  void take_whatever_came(const protocol::FetchReply& reply);
  [[nodiscard]] agent::SessionOptions session_options() const;
  protocol::Configuration stored_configuration();
  bool store(const protocol::Configuration& configuration);

  Fleet& fleet_;
  std::uint16_t number_;
  core::DaemonId id_;
  simulation::Host host_;
  simulation::SimulatedDisk disk_;
  std::vector<core::Endpoint> control_;
  std::unique_ptr<agent::Session> session_;
  protocol::Revision owed_at_start_ = 0;  ///< Greatest revision that an operator had been answered.
};

}  // namespace pipitpond::control_world
