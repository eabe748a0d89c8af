// State machine for changes of primary in one group; see coordinator.hpp for the safety rules.
//
//   kSteady -> kBeginning -> [kQuiescing] -> kFencing -> kPromoting -> kCompleting -> kSteady
//
// Any phase returns to kSteady when a committed configuration shows a primary or a term that supersedes the
// change in progress, and the change restarts at kBeginning with a later term when the candidate can't be
// promoted or a database has seen a later term.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "failover/departed_database_removal.hpp"
#include "failover/effects.hpp"
#include "failover/member_probes.hpp"
#include "failover/primary_choice.hpp"
#include "failover/promotion_orders.hpp"
#include "failover/replaced_primary_demotion.hpp"
#include "failover/returned_log_check.hpp"
#include "failover/suspicion_tally.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// Coordinates changes of primary in one group.
class GroupCoordinator {
 public:
  GroupCoordinator(std::vector<Effect>& effects, const RevisionAppliedCheck& revision_applied)
      : effects_(effects), revision_applied_(revision_applied) {}

  /// Clears all state except the configuration, when a leadership begins or ends. A change of primary that
  /// another leadership began is not continued in its term.
  void reset(core::Instant now);
  /// Takes over the group as committed at `revision`, and the daemons that own its current primary.
  void on_configuration(core::Instant now, const protocol::Group& group, std::vector<core::DaemonId> owners,
                        protocol::Revision revision);
  void report(const core::DaemonId& daemon, std::vector<protocol::SuspicionReport> reports);
  void on_probe_answer(core::Instant now, const database::StatusAnswer& status);
  void on_probe_failed(core::Instant now, const core::DatabaseId& database);
  void on_fence_answer(core::Instant now, const FenceDatabase& call, const database::FenceAnswer& answer);
  void on_fence_failed(core::Instant now, const core::DatabaseId& database, core::Term term);
  void on_promote_answer(core::Instant now, const database::PromoteAnswer& answer);
  void on_promote_failed(core::Instant now, const core::DatabaseId& database, core::Term term);
  void on_promote_without_effect(core::Instant now, const core::DatabaseId& database, core::Term term);
  void on_refused(core::Instant now, const core::DatabaseId& database, core::Term term,
                  core::Term newer_term);
  void tick(core::Instant now, const LastHeartbeats& last_heartbeats);

 private:
  enum class Phase : std::uint8_t { kSteady, kBeginning, kQuiescing, kFencing, kPromoting, kCompleting };

  /// State of the fence request to one database.
  struct Fence {
    std::optional<core::Instant> sent;
    std::optional<core::Instant> failed;
    std::optional<database::FenceAnswer> answer;
    core::Instant requested;  ///< The request that the answer belongs to.
    core::Instant answered;
    bool is_repeated = false;    ///< The answer has become too old, and is awaited anew.
    core::LogPosition furthest;  ///< Of all answers.
  };

  [[nodiscard]] core::Term last_term() const;
  [[nodiscard]] bool has_primary() const;
  [[nodiscard]] core::DatabaseId primary() const;
  /// Of the last term that had one; empty if none had.
  [[nodiscard]] core::DatabaseId last_primary() const;
  [[nodiscard]] const protocol::Database* member(const core::DatabaseId& database) const;

  [[nodiscard]] bool is_named() const;
  /// Whether enough members answer now for a change to succeed. `excluded`: a member that is not counted.
  [[nodiscard]] bool can_fence_enough(core::Instant now, const core::DatabaseId& excluded = {}) const;
  [[nodiscard]] bool is_semi_synchronous() const { return group_.sync_replicas > 0; }
  /// Whether an external service promotes, in place of the databases themselves.
  [[nodiscard]] bool is_promoted_by_service() const { return group_.self_registered; }
  [[nodiscard]] core::Duration promote_timeout() const;
  [[nodiscard]] core::Duration planned_change_notice() const;

  void tick_steady(core::Instant now, const LastHeartbeats& last_heartbeats);
  [[nodiscard]] bool never_had_a_primary() const;
  void adopt_primary(core::Instant now);
  [[nodiscard]] bool should_probe() const;
  [[nodiscard]] bool change_is_due(core::Instant now, const LastHeartbeats& last_heartbeats) const;
  /// Whether a promotion that was ordered, perhaps by an earlier leader, may still take effect. It would end
  /// the fences of a change that begins now.
  [[nodiscard]] bool order_may_take_effect(core::Instant now) const;
  /// Whether a promotion may be ordered without overtaking one of an earlier leader.
  [[nodiscard]] bool may_order(core::Instant now) const;
  [[nodiscard]] bool leader_lost_primary(core::Instant now) const;
  [[nodiscard]] bool stall_confirmed(core::Instant now) const;
  [[nodiscard]] bool replica_acks_missing(core::Instant now) const;
  [[nodiscard]] bool planned_change_is_due(core::Instant now, const SuspicionCounts& counts);
  [[nodiscard]] bool primary_is_leaving(const SuspicionCounts& counts) const;

  void demote_replaced_primaries(core::Instant now);
  void enter_steady();
  [[nodiscard]] std::set<core::DatabaseId> started_again(const protocol::Group& next) const;
  void on_started_again(const std::set<core::DatabaseId>& databases);
  void begin(core::Instant now, bool planned);
  void propose_begin(core::Instant now);
  void start_quiescing(core::Instant now);
  void quiesce(core::Instant now);
  void start_fencing(core::Instant now);
  /// Chooses anew by fences that are not old. Call only when no order is under way.
  void fence_again(core::Instant now);
  void send_fences(core::Instant now);
  [[nodiscard]] std::vector<FencedMember> fenced_members() const;
  /// Whether the answer may date from before the release of the old primary.
  [[nodiscard]] bool is_too_early(const Fence& fence) const;
  [[nodiscard]] static bool has_lost_log(const Fence& fence);
  static void forget_answer(Fence& fence);
  static void repeat(Fence& fence);
  void choose_when_fenced(core::Instant now);
  /// An answer shows one moment in one life of the database. A later life has forgotten its hold, and perhaps
  /// its log, and control may not have heard of it yet.
  void repeat_old_fences(core::Instant now);
  /// Whether no daemon passes on any more what the old primary acknowledges: each has applied the begin of
  /// the change, or its lease has run out. Only fences that are sent after that show all that was passed on,
  /// for a replica that restarts after its fence gives receipts again.
  bool old_primary_is_released(core::Instant now);
  [[nodiscard]] bool awaits_repeated_fence() const;
  [[nodiscard]] bool should_await_more_fences(core::Instant now) const;
  /// Whether the last primary, which is fenced, is to lead again: the group would else have no primary until
  /// databases return that may be gone for good.
  [[nodiscard]] bool must_reinstate(core::Instant now, const std::vector<FencedMember>& fenced) const;
  void promote(core::Instant now);
  /// Whether the candidate was chosen so long ago that databases may have begun other lives unheard.
  [[nodiscard]] bool choice_is_old(core::Instant now) const;
  [[nodiscard]] bool awaits_promotion(const core::DatabaseId& database, core::Term term) const;
  void retry_promotion(core::Instant now);
  /// Whether a candidate's promotion has been ordered from the service, and its primary is not committed yet.
  [[nodiscard]] bool has_ordered() const;
  /// A member that is not fenced may return as a primary while another one is promoted.
  [[nodiscard]] core::Duration probe_interval(const core::DatabaseId& database) const;
  /// Demotes a primary that returns while another database is promoted, without a hold, which could come too
  /// late and would then outlast the promotion.
  void demote_returned_primary(const database::StatusAnswer& status);
  void abandon_candidate(core::Instant now);
  /// Gives the promoted database up if it has been replaced or has started again meanwhile.
  void complete(core::Instant now);
  void propose_complete(core::Instant now);

  std::vector<Effect>& effects_;
  const RevisionAppliedCheck& revision_applied_;
  protocol::Group group_;
  std::vector<core::DaemonId> owners_;
  MemberProbes probes_;
  DepartedDatabaseRemoval departed_removal_;
  ReturnedLogCheck returned_logs_;
  ReplacedPrimaryDemotion replaced_primaries_;
  SuspicionTally tally_;

  PromotionOrders orders_;
  Phase phase_ = Phase::kSteady;
  bool planned_ = false;
  core::Instant phase_since_;
  core::Instant proposed_at_;
  core::Instant earliest_planned_change_;
  std::optional<core::Instant> leaving_since_;  ///< When the primary was first seen to be leaving.
  protocol::Revision begin_revision_ = 0;       ///< Revision that committed the begin of the current change.
  core::Term proposed_term_ = 0;                ///< Last term that this leadership proposed; 0: none.
  core::Term highest_seen_term_ = 0;            ///< Highest term reported by a database.
  core::DatabaseId replaced_primary_;           ///< Primary that the current change replaces.
  std::map<core::DatabaseId, Fence> fences_;
  std::optional<core::Instant> fence_quorum_since_;
  /// When old_primary_is_released() first held in this change.
  std::optional<core::Instant> released_at_;
  std::set<core::DatabaseId> failed_candidates_;  ///< Candidates whose promotion failed during this change.
  core::DatabaseId candidate_;
  bool candidate_started_again_ = false;  ///< Since it was chosen.
  std::optional<core::Instant> promote_sent_;
  std::optional<core::Instant> promote_failed_;
  std::uint32_t promote_attempts_ = 0;
  core::LogPosition term_start_;
};

/// Once enough databases are fenced, the others get this long to answer before the new primary is chosen.
/// More answers improve the choice but do not make it safer.
inline constexpr core::Duration kFenceGracePeriod = std::chrono::milliseconds(50);
/// An answer to a fence that is older than this when the primary is chosen, or its promotion ordered, is
/// asked for once more. Longer than a retry takes, so that one database's retries don't make the others'
/// answers old.
inline constexpr core::Duration kFenceAnswerMaxAge = std::chrono::milliseconds(250);
/// A last primary that is fenced leads again if no other database could be chosen for this long.
inline constexpr core::Duration kReinstateAfter = std::chrono::milliseconds(1000);
/// Delay before a failed fence or promote request is sent again.
inline constexpr core::Duration kRetryDelay = std::chrono::milliseconds(100);
/// Time without an answer after which a fence or promote request is sent again.
inline constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(400);
/// Answer timeout of a promotion that an external service performs: longer than its driver takes.
inline constexpr core::Duration kExternalPromotionTimeout = std::chrono::milliseconds(5000);
/// Delay before a proposal that has not appeared in the committed configuration is repeated.
inline constexpr core::Duration kProposalRetryInterval = std::chrono::milliseconds(400);
/// Attempts to promote one candidate in a term before the next term is begun.
inline constexpr std::uint32_t kPromoteAttempts = 3;
/// Delay between learning that a primary is leaving and the planned change. Meanwhile daemons learn of it and
/// stop starting transactions there, and open transactions can finish.
inline constexpr core::Duration kPlannedChangeNotice = std::chrono::milliseconds(1500);
/// Minimum time that a planned change leaves the old primary unfenced, so that daemons learn of the new term
/// and stop sending writes.
inline constexpr core::Duration kMinQuiesceTime = std::chrono::milliseconds(60);
/// Maximum time that a planned change waits for the old primary to commit its log and become idle, so that
/// writes in progress are answered.
inline constexpr core::Duration kMaxQuiesceTime = std::chrono::milliseconds(500);
/// Probe interval of the group's members during that wait, and of members that may return as a primary.
inline constexpr core::Duration kShortProbeInterval = std::chrono::milliseconds(20);
/// Minimum interval between planned changes in one group.
inline constexpr core::Duration kPlannedChangeMinInterval = std::chrono::seconds(5);
/// Log entries that a replica may lag behind the primary to be eligible in a planned change.
inline constexpr std::uint64_t kPlannedChangeMaxLagEntries = 1000;

}  // namespace pipitpond::failover
