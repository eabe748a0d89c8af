// One group with its databases, owners and replicated state, for tests of the coordinator: effects are
// answered at once or not at all, time moves in ticks.
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

/// A database as the coordinator sees it.
struct ExampleDatabase {
  core::Term term = 0;
  database::Role role = database::Role::kFenced;
  core::LogPosition received;
  bool reachable = true;              ///< By control.
  bool reachable_by_owners = true;    ///< By the daemons.
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
  /// Name of the committed primary, or "".
  [[nodiscard]] std::string primary() const;
  [[nodiscard]] core::Term term() const;
  [[nodiscard]] std::size_t begins() const { return begins_; }

  /// Runs for this long: owners report what they see with each heartbeat, effects are carried out.
  void run(core::Duration duration);
  /// Runs until the group has a primary other than `name` (empty: any); false if it takes over ten seconds.
  bool run_until_primary_differs(const std::string& name);

  /// From now on the owner reports only this, whatever it sees. Empty: nothing.
  void force_reports(int owner, std::vector<protocol::SuspicionReport> reports) { forced_[owner] = reports; }
  void silence_owner(int owner) { silent_owners_.insert(owner); }
  void set_draining(const std::string& name, bool draining);
  void drop_proposals(bool drop) { drop_proposals_ = drop; }
  /// The leader loses its leadership and another one, with the same committed state, takes over.
  void change_leader();

  static protocol::SuspicionReport report(const std::string& name, protocol::Suspicion suspicion,
                                          core::Term term) {
    return protocol::SuspicionReport{core::DatabaseId(name), suspicion, term, 0};
  }

 private:
  void step();
  void send_heartbeats();
  std::vector<protocol::SuspicionReport> seen_by_owners() const;
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
  std::map<core::Term, std::set<core::DatabaseId>> promoted_;
  std::map<int, std::vector<protocol::SuspicionReport>> forced_;
  std::set<int> silent_owners_;
  int owners_;
  std::size_t begins_ = 0;
  bool drop_proposals_ = false;
};

}  // namespace pipitpond::failover
