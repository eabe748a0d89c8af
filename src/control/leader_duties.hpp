// What only the control leader does: leases of daemons, changes of primary, planned stops. Drives the
// decision logic of failover/ with clock, calls and proposals.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "configuration/command.hpp"
#include "control/daemon_changes.hpp"
#include "control/database_calls.hpp"
#include "control/replica.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "failover/coordinator.hpp"
#include "failover/daemon_leases.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::control {

/// What the leader last heard of a daemon, for the status.
struct DaemonReport {
  std::uint64_t incarnation = 0;
  protocol::Revision applied = 0;
  protocol::Revision settled = 0;
  core::Instant heard{};
  std::vector<protocol::SuspicionReport> suspicions;
};

/// Duties of a leader; idle on a follower.
class LeaderDuties {
 public:
  LeaderDuties(boost::asio::io_context& io, Replica& replica, core::Duration daemon_lease,
               const MakeDatabaseCalls& make_calls);
  LeaderDuties(const LeaderDuties&) = delete;
  LeaderDuties& operator=(const LeaderDuties&) = delete;

  void start();
  void stop();

  void on_leadership(bool leading);
  void on_configuration(const protocol::Configuration& configuration);

  /// Answers a heartbeat. Call on the leader only.
  protocol::HeartbeatReply on_heartbeat(const protocol::Heartbeat& heartbeat);
  /// Removes a daemon that has drained; returns when that is committed.
  boost::asio::awaitable<core::Result<void>> on_departure(protocol::Departure departure);

  /// Proposes a command of control itself. `subject` names what it is about: while a command for a subject is
  /// in progress, further ones for it are dropped, for the duties ask again.
  void propose(const std::string& subject, configuration::Operation operation);

  [[nodiscard]] const std::map<core::DaemonId, DaemonReport>& reports() const { return reports_; }
  /// Owners by the applied configuration.
  [[nodiscard]] const ownership::OwnerTable& owner_table() const { return coordinator_.owner_table(); }
  [[nodiscard]] protocol::Revision settled_everywhere() const { return leases_.settled_everywhere(); }

 private:
  boost::asio::awaitable<core::Result<configuration::CommandResult>> propose_daemon_changes(
      configuration::ChangeDaemons changes);
  boost::asio::awaitable<void> run_proposal(std::string subject, configuration::Command command);
  DatabaseCallCallbacks make_answers();
  void tick();
  void schedule_tick();
  void admit(const protocol::Heartbeat& heartbeat);
  void drain_leaving_databases(const protocol::Heartbeat& heartbeat);
  void remove_lost_daemons(core::Instant now);
  void align_controls();
  void hand_over_when_leaving(core::Instant now);
  void carry_out_effects();
  void log_change(const failover::Effect& effect) const;
  void carry_out(const failover::Effect& effect);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  Replica& replica_;
  failover::DaemonLeases leases_;
  failover::Coordinator coordinator_;
  std::unique_ptr<DatabaseCalls> calls_;
  DaemonChanges daemon_changes_;
  bool running_ = false;
  bool leading_ = false;
  core::Instant next_hand_over_{};
  std::map<core::DaemonId, DaemonReport> reports_;
  std::map<std::string, bool> in_progress_;
};

}  // namespace pipitpond::control
