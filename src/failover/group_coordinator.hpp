// Drives the changes of primary of one group; see coordinator.hpp for the rules.
//
//   kSteady -> kBeginning -> [kQuiescing] -> kFencing -> kPromoting -> kCompleting -> kSteady
//
// Any state falls back to kSteady when the configuration moves on without this leader, and to kBeginning of
// a further term when the chosen database can't be promoted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "failover/departed_database_removal.hpp"
#include "failover/effects.hpp"
#include "failover/member_probes.hpp"
#include "failover/suspicion_tally.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// One group's coordinator.
class GroupCoordinator {
 public:
  GroupCoordinator(std::vector<Effect>& effects, const RevisionFollowed& revision_followed)
      : effects_(effects), revision_followed_(revision_followed) {}

  /// Forgets everything but the configuration: a change begun under another leadership is not carried on in
  /// its term.
  void reset();
  /// The group's committed state at a revision, and the owners of its current primary.
  void on_configuration(core::Instant now, const protocol::Group& group, std::vector<core::DaemonId> owners,
                        protocol::Revision revision);
  void report(const core::DaemonId& daemon, std::vector<protocol::SuspicionReport> reports);
  void on_probe_answer(core::Instant now, const database::StatusAnswer& status);
  void on_probe_failed(core::Instant now, const core::DatabaseId& database);
  void on_fence_answer(core::Instant now, const database::FenceAnswer& answer);
  void on_fence_failed(core::Instant now, const core::DatabaseId& database, core::Term term);
  void on_promote_answer(core::Instant now, const database::PromoteAnswer& answer);
  void on_promote_failed(core::Instant now, const core::DatabaseId& database, core::Term term);
  void on_refused(core::Instant now, const core::DatabaseId& database, core::Term term, core::Term newer);
  void tick(core::Instant now, const HeardTable& heard);

 private:
  enum class Phase : std::uint8_t { kSteady, kBeginning, kQuiescing, kFencing, kPromoting, kCompleting };

  /// A fence that is under way or answered.
  struct Fence {
    std::optional<core::Instant> sent;
    std::optional<core::Instant> failed;
    std::optional<database::FenceAnswer> answer;
  };

  [[nodiscard]] core::Term last_term() const;
  [[nodiscard]] bool has_primary() const;
  [[nodiscard]] core::DatabaseId primary() const;
  [[nodiscard]] const protocol::Database* member(const core::DatabaseId& database) const;

  [[nodiscard]] std::size_t fences_needed() const;
  [[nodiscard]] bool acknowledges_by_receipt() const { return group_.sync_replicas > 0; }
  [[nodiscard]] core::Duration promote_timeout() const;
  [[nodiscard]] core::Duration planned_change_notice() const;

  [[nodiscard]] bool never_had_a_primary() const;
  void adopt_primary(core::Instant now);
  [[nodiscard]] bool should_watch() const;
  [[nodiscard]] bool change_is_due(core::Instant now, const HeardTable& heard) const;
  [[nodiscard]] bool leader_lost_primary(core::Instant now) const;
  [[nodiscard]] bool stall_confirmed(core::Instant now) const;
  [[nodiscard]] bool receipts_missing(core::Instant now) const;
  [[nodiscard]] bool planned_change_is_due(core::Instant now, const Tally& tally);
  [[nodiscard]] bool primary_is_leaving(const Tally& tally) const;

  void enter_steady();
  void begin(core::Instant now, bool planned);
  void propose_begin(core::Instant now);
  void start_quiescing(core::Instant now);
  void quiesce(core::Instant now);
  void start_fencing(core::Instant now);
  void send_fences(core::Instant now);
  void choose_when_fenced(core::Instant now);
  [[nodiscard]] bool worth_waiting(core::Instant now) const;
  void promote(core::Instant now);
  void give_up_candidate(core::Instant now);
  void propose_complete(core::Instant now);

  std::vector<Effect>& effects_;
  const RevisionFollowed& revision_followed_;
  protocol::Group group_;
  std::vector<core::DaemonId> owners_;
  MemberWatch watch_;
  DepartureWatch departures_;
  SuspicionTally tally_;

  Phase phase_ = Phase::kSteady;
  bool planned_ = false;
  core::Instant phase_since_;
  core::Instant proposed_at_;
  core::Instant planned_not_before_;
  std::optional<core::Instant> leaving_since_;  ///< When the primary was first found to be leaving.
  protocol::Revision begin_revision_ = 0;       ///< At which the change that is in progress was begun.
  core::Term own_term_ = 0;                     ///< Term that this leadership has proposed to begin; 0: none.
  core::Term newest_seen_ = 0;                  ///< Greatest term that a database was found to have promised.
  core::DatabaseId replaced_;                   ///< Primary that the change replaces.
  std::map<core::DatabaseId, Fence> fences_;
  std::optional<core::Instant> majority_since_;
  std::set<core::DatabaseId> avoided_;  ///< Failed to become primary during this change.
  core::DatabaseId candidate_;
  std::optional<core::Instant> promote_sent_;
  std::optional<core::Instant> promote_failed_;
  std::uint32_t promote_attempts_ = 0;
  core::LogPosition start_;
};

/// After a majority is fenced, the others get this long to answer before one is chosen. More of them give a
/// better choice, never a safer one.
inline constexpr core::Duration kFenceGrace = std::chrono::milliseconds(50);
/// A fence or promotion that failed is sent again after this.
inline constexpr core::Duration kRetryDelay = std::chrono::milliseconds(100);
/// A fence or promotion without any answer is sent again after this.
inline constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(400);
/// A promotion of a group that acknowledges by receipt is ordered from outside and takes this long at most.
inline constexpr core::Duration kOrderedPromotionTimeout = std::chrono::milliseconds(4000);
/// A proposal that does not show up in the configuration is made again after this.
inline constexpr core::Duration kProposalRetry = std::chrono::milliseconds(400);
/// Promotions of one database in one term before the next term is begun.
inline constexpr std::uint32_t kPromoteAttempts = 3;
/// Time between the first notice that a primary leaves and the planned change: daemons learn of it and begin
/// no more transactions there, and those that are open end.
inline constexpr core::Duration kPlannedChangeNotice = std::chrono::milliseconds(1500);
/// A planned change leaves the old primary unfenced for at least this long, so that daemons learn of the new
/// term and send no further writes ...
inline constexpr core::Duration kQuiesceMin = std::chrono::milliseconds(60);
/// ... and until its log is committed, so that writes in progress get their answers, but no longer than this.
inline constexpr core::Duration kQuiesceMax = std::chrono::milliseconds(500);
/// Probing of the old primary meanwhile.
inline constexpr core::Duration kQuiesceProbeInterval = std::chrono::milliseconds(20);
/// Rest between planned changes of one group.
inline constexpr core::Duration kPlannedChangeRest = std::chrono::seconds(5);
/// A replica further behind than this many entries is not healthy enough for a planned change.
inline constexpr std::uint64_t kPlannedChangeLag = 1000;

}  // namespace pipitpond::failover
