// A simulated daemon: the real decision objects of agent, failover, ownership, routing, session and retry,
// with the simulated network in place of sockets.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>

#include "agent/session.hpp"
#include "protocol/forward.hpp"
#include "proxy/database_views.hpp"
#include "retry/budget.hpp"
#include "retry/decider.hpp"
#include "session/token.hpp"
#include "simulation_group/caller_messages.hpp"
#include "simulation_group/control_node.hpp"
#include "simulation_group/database_link.hpp"

namespace pipitpond::simulation::group {

class DaemonNode;

/// Where a daemon finds the others.
struct Directory {
  ControlNode* control = nullptr;
  std::map<core::DatabaseId, DatabaseNode*> databases;
  std::map<core::DaemonId, DaemonNode*> daemons;
};

/// Counters of one daemon over all its lives.
struct DaemonCounters {
  std::uint64_t confirmations = 0;
  std::uint64_t settlements = 0;
  std::uint64_t suspicions = 0;
};

class DaemonNode {
 public:
  using Answer = std::function<void(const CallerReply&)>;
  using ForwardDone = std::function<void(const protocol::ForwardReply&)>;

  DaemonNode(Fabric& fabric, const Directory& directory, core::DaemonId id, core::ZoneName zone,
             ClockDrift drift);

  /// What control commits to admit this daemon's first life.
  [[nodiscard]] configuration::AdmitDaemon admission() const;
  /// Puts a configuration on its disk.
  void preset(const protocol::Configuration& configuration) { durable_ = configuration; }
  /// Starts a new life with the configuration that is on disk.
  void start();
  /// The process ends. With `silently` its machine is gone as well: nobody closes its connections.
  void stop(bool silently);
  /// A caller's request; call in the daemon's own process.
  void serve(const CallerRequest& request, Answer answer);
  /// An attempt that another daemon passes on to this owner.
  void serve_forward(const protocol::ForwardRequest& request, ForwardDone done);

  /// Makes one attempt through an owner, this daemon or another.
  void attempt(protocol::ForwardRequest request, core::Instant deadline, ForwardDone done);
  /// Asks the group's databases whether a majority has promised no later term.
  void confirm(const protocol::Group& group, core::Term term, std::function<void(bool)> done);
  [[nodiscard]] retry::Standing standing(const core::GroupName& group) const;
  [[nodiscard]] const protocol::Group* find_group(const core::GroupName& name) const;

  [[nodiscard]] Host& host() { return host_; }
  [[nodiscard]] Fabric& fabric() { return fabric_; }
  [[nodiscard]] const core::DaemonId& id() const { return id_; }
  [[nodiscard]] const core::ZoneName& zone() const { return zone_; }
  [[nodiscard]] const agent::Session& session() const { return *session_; }
  [[nodiscard]] proxy::DatabaseViews& views() { return *views_; }
  [[nodiscard]] retry::RetryBudget& retry_budget(const core::GroupName& group) { return budgets_[group]; }
  [[nodiscard]] pcg32& random() { return random_; }
  [[nodiscard]] const session::FleetKey& fleet_key() const { return fleet_key_; }
  [[nodiscard]] DaemonCounters& counters() { return counters_; }
  core::RequestId next_request_id();

 private:
  void tick();
  void probe(const std::shared_ptr<DatabaseLink>& link);
  void judge();
  void refresh_budgets();
  void carry_out();
  void send(const agent::SendHeartbeat& effect);
  void send(const agent::SendFetch& effect);
  void store_and_apply(const protocol::Configuration& next);
  void release();
  void apply();
  void apply_group(const protocol::Group& group, std::map<core::DatabaseId, bool>& owned);
  std::shared_ptr<DatabaseLink> take_up(const core::DatabaseId& database);
  void execute_here(const std::shared_ptr<DatabaseLink>& link, const protocol::ForwardRequest& request,
                    core::Instant deadline, ForwardDone done);
  void pass_on(const core::DaemonId& owner, const protocol::ForwardRequest& request, core::Instant deadline,
               ForwardDone done);

  Fabric& fabric_;
  const Directory& directory_;
  core::DaemonId id_;
  core::ZoneName zone_;
  Host host_;
  session::FleetKey fleet_key_;
  pcg32 random_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t last_request_ = 0;
  protocol::Configuration durable_;
  std::unique_ptr<agent::Session> session_;
  std::unique_ptr<proxy::DatabaseViews> views_;
  std::map<core::GroupName, retry::RetryBudget> budgets_;
  std::map<core::DatabaseId, std::shared_ptr<DatabaseLink>> links_;
  /// Of databases that it owns no longer, while it may still hold connections to them.
  std::map<core::DatabaseId, std::shared_ptr<DatabaseLink>> former_links_;
  DaemonCounters counters_;
};

}  // namespace pipitpond::simulation::group
