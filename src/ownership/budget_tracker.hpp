// A daemon's leased connection budgets while ownership moves. No input or output.
//
// Daemons apply revisions at different times, so shares of two revisions are in use at once. A daemon may
// use the smallest share that it has at any revision between `settled_everywhere` and its applied one.
// Why the sum stays within the limit: let S be the smallest settled revision of all daemons. Each daemon's
// window reaches from at most S to at least S, so each budget is at most the share at S, and the shares at
// S add up to the limit. A daemon counts as settled only once the connections it holds are within its budget.
// Revisions that the daemon has not seen, and those at which it was not admitted in its present incarnation,
// count as a share of nothing.
#pragma once

#include <cstdint>
#include <map>

#include "core/ids.hpp"
#include "ownership/owner_table.hpp"
#include "ownership/ownership.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::ownership {

/// Tracks one daemon's budgets.
class BudgetTracker {
 public:
  BudgetTracker(core::DaemonId self, std::uint64_t incarnation);

  /// A newer configuration was applied. The first one, after a start, counts nothing before it as known.
  void on_configuration(const protocol::Configuration& configuration);
  /// The same, when `change` led to the configuration: costs less.
  void on_change(const protocol::Configuration& configuration, const protocol::Change& change);
  /// Control said that every daemon has settled this revision. Smaller values than before are ignored.
  void on_settled_everywhere(protocol::Revision revision);
  /// Connections that the pool holds on a database, opening ones included.
  void report_held(const core::DatabaseId& database, std::uint32_t connections);

  /// What this daemon may use of the database now.
  [[nodiscard]] Budget allowed(const core::DatabaseId& database) const;
  /// Greatest revision for which the held connections are within the budgets; for the heartbeat.
  [[nodiscard]] protocol::Revision settled() const;
  /// Owners of all databases by the applied configuration.
  [[nodiscard]] const OwnerTable& owner_table() const { return owner_table_; }

 private:
  using Budgets = std::map<core::DatabaseId, Budget>;

  /// Works out the budgets of a configuration that the owner table has taken.
  void take(const protocol::Configuration& configuration);
  void forget_before_window();
  void update_allowed();

  core::DaemonId self_;
  std::uint64_t incarnation_;
  OwnerTable owner_table_;
  protocol::Revision settled_everywhere_ = 0;
  protocol::Revision applied_ = 0;
  /// Budgets from a revision on, until the next entry's. Begins at or before settled_everywhere_.
  std::map<protocol::Revision, Budgets> window_;
  Budgets allowed_;
  std::map<core::DatabaseId, std::uint32_t> held_;
  mutable protocol::Revision settled_ = 0;
};

}  // namespace pipitpond::ownership
