// Tasks of the control leader: leases of daemons, failover of primaries, planned shutdowns. Connects the
// decision logic of failover/ to the clock, to calls to databases and to Raft proposals.
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

/// Contents of a daemon's last heartbeat, for the status.
struct DaemonReport {
  std::uint64_t incarnation = 0;
  protocol::Revision applied = 0;
  protocol::Revision settled = 0;
  core::Instant heard{};
  std::vector<protocol::SuspicionReport> suspicions;
};

/// Runs the leader's tasks; idle on a follower.
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

  /// Processes a heartbeat of a daemon. Call on the leader only.
  protocol::HeartbeatReply on_heartbeat(const protocol::Heartbeat& heartbeat);
  /// Removes a daemon that has drained and waits until the removal is committed.
  boost::asio::awaitable<core::Result<void>> on_departure(protocol::Departure departure);

  /// Asks the endpoint that a database's notice names which database is there.
  boost::asio::awaitable<configuration::EndpointAnswer> identify(
      const configuration::RegisterDatabase& registration);

  /// Proposes a command that control itself has decided on. `subject` identifies what it changes: while a
  /// command for a subject is in progress, further ones are dropped, because the leader's tasks propose them
  /// again.
  void propose(const std::string& subject, configuration::Operation operation);

  [[nodiscard]] const std::map<core::DaemonId, DaemonReport>& reports() const { return reports_; }
  /// Owners according to the applied configuration.
  [[nodiscard]] const ownership::OwnerTable& owner_table() const { return coordinator_.owner_table(); }
  [[nodiscard]] protocol::Revision settled_everywhere() const { return leases_.settled_everywhere(); }

 private:
  boost::asio::awaitable<core::Result<configuration::CommandResult>> propose_daemon_changes(
      configuration::ChangeDaemons changes);
  boost::asio::awaitable<void> run_proposal(std::string subject, configuration::Command command);
  DatabaseCallCallbacks make_callbacks();
  void tick();
  void schedule_tick();
  void admit(const protocol::Heartbeat& heartbeat);
  void drain_leaving_databases(const protocol::Heartbeat& heartbeat);
  void remove_lost_daemons(core::Instant now);
  void reconcile_control_records();
  void transfer_leadership_when_leaving(core::Instant now);
  void execute_effects();
  void log_change(const failover::Effect& effect) const;
  void execute(const failover::Effect& effect);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  Replica& replica_;
  failover::DaemonLeases leases_;
  failover::Coordinator coordinator_;
  std::unique_ptr<DatabaseCalls> calls_;
  DaemonChanges daemon_changes_;
  bool running_ = false;
  bool leading_ = false;
  core::Instant next_transfer_at_{};
  std::map<core::DaemonId, DaemonReport> reports_;
  std::map<std::string, bool> proposals_in_progress_;
};

}  // namespace pipitpond::control
