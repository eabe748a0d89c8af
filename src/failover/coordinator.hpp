// Decides when a primary is replaced and drives each replacement. Runs on every control replica and acts
// on the leader only. No input or output: events in, effects out.
//
// Safety rests on four rules, see docs/design/failover.md:
//   1. Fences and promotions of a term are sent only after the term's begin is committed.
//   2. A database is promoted only when a majority of its group has promised the term and holds nothing
//      newer than it does, so that it holds every write that was ever acknowledged.
//   3. In one term, one database at most is ever asked to become primary. A leader never promotes in a term
//      that another leadership began: it begins the next one.
//   4. Callers' writes reach the new primary only after it is committed as the term's primary.
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

/// Coordinates the primaries of all groups.
class Coordinator {
 public:
  /// `revision_followed` is asked before a group that acknowledges by receipt gets its new primary.
  explicit Coordinator(RevisionFollowed revision_followed = [](core::Instant, protocol::Revision) {
    return true;
  });
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Leadership was gained or lost. Report a gain only once this replica has applied everything that earlier
  /// leaders committed (its first own entry is committed), and a loss before any configuration that a later
  /// leader committed.
  void on_leadership(core::Instant now, bool leading);
  /// The committed configuration, after each change.
  void on_configuration(core::Instant now, const protocol::Configuration& configuration);
  /// A daemon's heartbeat arrived: its full current list, also when empty. Judges the groups that this list
  /// or the one before names; all others wait for tick, so that a heartbeat's cost doesn't grow with the
  /// groups.
  void on_suspicions(core::Instant now, const core::DaemonId& daemon,
                     const std::vector<protocol::SuspicionReport>& suspicions);
  /// A daemon departed or was removed.
  void on_daemon_removed(core::Instant now, const core::DaemonId& daemon);

  void on_probe_answer(core::Instant now, const database::StatusAnswer& status);
  void on_probe_failed(core::Instant now, const core::DatabaseId& database);
  void on_fence_answer(core::Instant now, const core::GroupName& group, const database::FenceAnswer& answer);
  void on_fence_failed(core::Instant now, const core::GroupName& group, const core::DatabaseId& database,
                       core::Term term);
  void on_promote_answer(core::Instant now, const core::GroupName& group,
                         const database::PromoteAnswer& answer);
  void on_promote_failed(core::Instant now, const core::GroupName& group, const core::DatabaseId& database,
                         core::Term term);
  /// A fence or promotion of `term` was refused because the database has promised `newer`.
  void on_refused(core::Instant now, const core::GroupName& group, const core::DatabaseId& database,
                  core::Term term, core::Term newer);

  /// Call every kTickInterval or more often.
  void tick(core::Instant now);

  /// Owners by the last configuration.
  [[nodiscard]] const ownership::OwnerTable& owner_table() const { return owner_table_; }

  /// What is to be done now. Call after each input.
  std::vector<Effect> take_effects();

 private:
  GroupCoordinator* find(const core::GroupName& group);

  RevisionFollowed revision_followed_;
  bool leading_ = false;
  std::map<core::GroupName, std::unique_ptr<GroupCoordinator>> groups_;
  std::map<core::DatabaseId, core::GroupName> group_of_;
  std::map<core::DaemonId, core::Instant> heard_;
  /// Groups that each daemon's last list named, to withdraw what its next list leaves out.
  std::map<core::DaemonId, std::vector<core::GroupName>> suspected_by_;
  protocol::Configuration configuration_;
  ownership::OwnerTable owner_table_;
  std::vector<Effect> effects_;
};

/// Longest time between two calls of Coordinator::tick.
inline constexpr core::Duration kTickInterval = std::chrono::milliseconds(20);

}  // namespace pipitpond::failover
