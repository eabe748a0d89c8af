// Simulated group with its databases, owners and replicated state, for coordinator tests. Effects are
// answered immediately or never, and time advances in ticks.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "failover/coordinator.hpp"
#include "failover/effects.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// State of a simulated database.
struct ExampleDatabase {
  core::Term term = 0;
  database::Role role = database::Role::kFenced;
  core::LogPosition received;
  bool reachable = true;              ///< By the control leader.
  bool reachable_by_owners = true;    ///< By the daemons that own it.
  bool promote_answers_lost = false;  ///< Accepts promotions, but the answer never arrives.
  bool leaving = false;
  std::uint32_t stalled_ms = 0;
};

/// Runs a coordinator against the databases a, b and c of the group "g" with owners o1 to oN.
class ExampleGroup {
 public:
  explicit ExampleGroup(int owners = 4);

  ExampleDatabase& database(const std::string& name) { return databases_[core::DatabaseId(name)]; }
  [[nodiscard]] const protocol::Group& group() const;
  /// Name of the committed primary; empty without one.
  [[nodiscard]] std::string primary() const;
  [[nodiscard]] core::Term term() const;
  [[nodiscard]] std::size_t begun_terms() const { return begun_terms_; }

  /// Advances time by `duration`. Owners report their observations with each heartbeat; effects are executed.
  void run(core::Duration duration);
  /// Runs until the group has a primary other than `name` (empty: any). Returns false after 10 s of simulated
  /// time.
  bool run_until_primary_differs(const std::string& name);

  /// Makes the owner send exactly these reports from now on, instead of its observations.
  void force_reports(int owner, std::vector<protocol::SuspicionReport> reports) {
    forced_reports_[owner] = reports;
  }
  void stop_heartbeats(int owner) { owners_without_heartbeat_.insert(owner); }
  void set_draining(const std::string& name, bool draining);
  void drop_proposals(bool drop) { drop_proposals_ = drop; }
  /// Replaces the leader by a new one with the same committed configuration.
  void change_leader();

  static protocol::SuspicionReport report(const std::string& name, protocol::Suspicion suspicion,
                                          core::Term term) {
    return protocol::SuspicionReport{core::DatabaseId(name), suspicion, term, 0};
  }

 private:
  void step();
  void send_heartbeats();
  std::vector<protocol::SuspicionReport> owner_observations() const;
  void carry_out(const Effect& effect);
  void probe(const ProbeDatabase& effect);
  void fence(const FenceDatabase& effect);
  void promote(const PromoteDatabase& effect);
  void begin(const ProposeBeginPrimaryChange& effect);
  void complete(const ProposeCompletePrimaryChange& effect);
  void commit();

  core::Instant now_ = core::Instant(std::chrono::hours(1));
  core::Instant next_heartbeat_;
  std::unique_ptr<Coordinator> coordinator_;
  protocol::Configuration configuration_;
  std::map<core::DatabaseId, ExampleDatabase> databases_;
  std::map<core::Term, std::set<core::DatabaseId>> promoted_by_term_;
  std::map<int, std::vector<protocol::SuspicionReport>> forced_reports_;
  std::set<int> owners_without_heartbeat_;
  int owners_;
  std::size_t begun_terms_ = 0;
  bool drop_proposals_ = false;
};

}  // namespace pipitpond::failover
