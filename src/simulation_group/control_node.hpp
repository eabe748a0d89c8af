// Control as the group world sees it: one replicated state machine whose committed commands come after a
// delay, may be lost with a leadership or arrive twice, and the leader's decision objects. Consensus itself
// has its own world.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "configuration/state_machine.hpp"
#include "failover/coordinator.hpp"
#include "failover/daemon_leases.hpp"
#include "protocol/control_messages.hpp"
#include "simulation_group/database_node.hpp"
#include "simulation_group/fabric.hpp"

namespace pipitpond::simulation::group {

class ControlNode {
 public:
  /// Tells a daemon that there is a newer revision.
  using Notify = std::function<void(protocol::Revision)>;
  /// Time of commit of each term's primary, in true time: for the oracle.
  using PrimaryHistory = std::map<core::Term, core::Instant>;

  ControlNode(Fabric& fabric, ClockDrift drift);

  void add_database(DatabaseNode& database);
  /// Applies a command at once, as part of what was agreed before the run.
  void prepare(const configuration::Operation& operation);
  void start();
  /// The leader loses its leadership; another one, which knows only what is committed, leads after `gap`.
  void change_leader(core::Duration gap);

  protocol::HeartbeatReply on_heartbeat(const protocol::Heartbeat& heartbeat);
  protocol::FetchReply on_fetch(const protocol::FetchRequest& request);
  void set_notify(const core::DaemonId& daemon, Host& host, Notify notify);

  void set_release_by_owners(bool on) { release_by_owners_ = on; }
  [[nodiscard]] bool release_by_owners() const { return release_by_owners_; }
  /// A daemon serves by this revision from now on.
  void on_release(const core::DaemonId& daemon, protocol::Revision revision);

  [[nodiscard]] Host& host() { return host_; }
  [[nodiscard]] const protocol::Configuration& configuration() const { return machine_.configuration(); }
  [[nodiscard]] const PrimaryHistory& primaries(const core::GroupName& group) { return primaries_[group]; }

 private:
  struct Listener {
    Host* host = nullptr;
    Notify notify;
  };

  void tick();
  void lead();
  [[nodiscard]] bool released(const core::GroupName& group) const;
  void send_released_fences();
  void admit(const protocol::Heartbeat& heartbeat);
  void drain_leaving_databases(const protocol::Heartbeat& heartbeat);
  void propose(const std::string& subject, configuration::Operation operation);
  void commit(const configuration::Command& command);
  void note_primaries();
  void carry_out_effects();
  void carry_out(const failover::ProbeDatabase& effect);
  void carry_out(const failover::FenceDatabase& effect);
  void carry_out(const failover::PromoteDatabase& effect);
  void carry_out(const failover::DemoteDatabase&) {}  ///< Of semi-synchronous groups only.
  void carry_out(const failover::ProposeBeginPrimaryChange& effect);
  void carry_out(const failover::ProposeCompletePrimaryChange& effect);
  void carry_out(const failover::ProposeAdoptPrimary&) {}      ///< Its groups are declared by operators.
  void carry_out(const failover::ProposeRemoveDatabase&) {}    ///< The same.
  void carry_out(const failover::ProposeProveDatabaseLog&) {}  ///< The same.
  void fence(const failover::FenceDatabase& effect);
  void pretend_fence(const failover::FenceDatabase& effect);
  void promote(const failover::PromoteDatabase& effect);
  void on_fence_end(const failover::FenceDatabase& effect, const CallEnd<standin::Response>& end);
  void on_promote_end(const failover::PromoteDatabase& effect, const CallEnd<standin::Response>& end);
  void ask(DatabaseNode& database, standin::Request request,
           std::function<void(const CallEnd<standin::Response>&)> done);
  /// Wraps what concerns one leadership: void under a later one.
  std::function<void(const CallEnd<standin::Response>&)> in_this_leadership(
      std::function<void(const CallEnd<standin::Response>&)> action);

  Fabric& fabric_;
  Host host_;
  configuration::StateMachine machine_;
  std::uint64_t log_index_ = 0;
  std::unique_ptr<failover::Coordinator> coordinator_;
  failover::DaemonLeases leases_;
  bool leading_ = false;
  std::uint64_t leadership_ = 0;
  std::set<std::string> in_progress_;
  std::map<core::DatabaseId, DatabaseNode*> databases_;
  std::map<core::DaemonId, Listener> listeners_;
  std::map<core::GroupName, PrimaryHistory> primaries_;

  // Comparison of mechanisms.
  bool release_by_owners_ = false;
  std::map<core::DaemonId, protocol::Revision> releases_;
  std::map<core::DaemonId, core::Instant> heard_;
  std::map<core::DatabaseId, failover::FenceDatabase> waiting_fences_;
  std::map<core::GroupName, protocol::Revision> begun_at_;
};

}  // namespace pipitpond::simulation::group
