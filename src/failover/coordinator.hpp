// Decides when a group's primary is replaced and drives each replacement (failover or planned switchover).
// Runs on every control replica but acts only on the Raft leader. Performs no I/O: it consumes events and
// returns effects for its driver to execute.
//
// Safety rests on four rules, see docs/design/failover.md:
//   1. Fence and promote requests of a term are sent only after the start of the term is committed.
//   2. A database is promoted only when a majority of its group is fenced at the term and none of that
//      majority has a longer log, so that the promoted database holds every acknowledged write. For
//      semi-synchronous groups see fences_needed().
//   3. At most one database is ever asked to become primary in a term. A leader never promotes in a term that
//      an earlier leadership began; it begins the next term instead. Where an external service promotes, it
//      does so only once no earlier promotion can still take effect, see promotion_orders.hpp.
//   4. Writes are routed to the new primary only after it is committed as the primary of the term.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "failover/effects.hpp"
#include "ownership/owner_table.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::failover {

class GroupCoordinator;

/// Coordinates changes of primary in all database groups.
class Coordinator {
 public:
  /// `revision_applied` must hold before a new primary is committed in a semi-synchronous group (one with
  /// `sync_replicas` > 0, which acknowledges a write once that many replicas have received it).
  explicit Coordinator(RevisionAppliedCheck revision_applied = [](core::Instant, protocol::Revision) {
    return true;
  });
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Raft leadership was gained or lost. Report a gain only after this replica has applied everything that
  /// earlier leaders committed (the first entry of its own term is committed), and a loss before passing on
  /// any configuration that a later leader committed.
  void on_leadership(core::Instant now, bool leading);
  /// Takes over the committed configuration. Call after each change.
  void on_configuration(core::Instant now, const protocol::Configuration& configuration);
  /// A heartbeat of `daemon` arrived. `suspicions` is its complete current list and may be empty. Evaluates
  /// at once only the groups named in this list or the previous one; all others are left to tick(), so that
  /// the cost of a heartbeat does not grow with the number of groups.
  void on_suspicions(core::Instant now, const core::DaemonId& daemon,
                     const std::vector<protocol::SuspicionReport>& suspicions);
  /// A daemon has shut down or was removed from the configuration.
  void on_daemon_removed(core::Instant now, const core::DaemonId& daemon);

  void on_probe_answer(core::Instant now, const database::StatusAnswer& status);
  void on_probe_failed(core::Instant now, const core::DatabaseId& database);
  void on_fence_answer(core::Instant now, const FenceDatabase& call, const database::FenceAnswer& answer);
  void on_fence_failed(core::Instant now, const core::GroupName& group, const core::DatabaseId& database,
                       core::Term term);
  void on_promote_answer(core::Instant now, const core::GroupName& group,
                         const database::PromoteAnswer& answer);
  /// The promotion had no effect in its time.
  void on_promote_failed(core::Instant now, const core::GroupName& group, const core::DatabaseId& database,
                         core::Term term);
  /// The promotion was refused by the service that carries it out, or not sent.
  void on_promote_without_effect(core::Instant now, const core::GroupName& group,
                                 const core::DatabaseId& database, core::Term term);
  /// The database refused a fence or promotion at `term` because it is already fenced at `newer_term`.
  void on_refused(core::Instant now, const core::GroupName& group, const core::DatabaseId& database,
                  core::Term term, core::Term newer_term);

  /// Call every kTickInterval or more often.
  void tick(core::Instant now);

  /// Daemons that own each database (probe it and report on it) according to the last configuration.
  [[nodiscard]] const ownership::OwnerTable& owner_table() const { return owner_table_; }

  /// Returns and clears the pending effects. Call after each event.
  std::vector<Effect> take_effects();

 private:
  GroupCoordinator* find_group(const core::GroupName& group);

  RevisionAppliedCheck revision_applied_;
  bool leading_ = false;
  std::map<core::GroupName, std::unique_ptr<GroupCoordinator>> groups_;
  std::map<core::DatabaseId, core::GroupName> group_of_;
  std::map<core::DaemonId, core::Instant> last_heartbeats_;
  /// Groups with a report in each daemon's last list. Reports missing from the next list are withdrawn.
  std::map<core::DaemonId, std::vector<core::GroupName>> reported_groups_;
  protocol::Configuration configuration_;
  ownership::OwnerTable owner_table_;
  std::vector<Effect> effects_;
};

/// Maximum time between two calls of Coordinator::tick.
inline constexpr core::Duration kTickInterval = std::chrono::milliseconds(20);

}  // namespace pipitpond::failover
