// A proxy daemon's view of all databases: the members of each group, its primary, the log position that a
// read needs, and the best database for a statement. Follows the configuration that control sends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/agent.hpp"
#include "core/clock.hpp"
#include "pooling/backend_pool.hpp"
#include "pooling/freshness.hpp"
#include "pooling/primary_proof_requests.hpp"
#include "pooling/primary_rounds.hpp"
#include "pooling/statement_forwarder.hpp"
#include "pooling/statement_lease.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::pooling {

/// The requirements of a statement on the database that runs it.
struct BackendRequirement {
  bool primary = false;  ///< Set for writes, and for reads that must see every acknowledged write.
  /// For reads at other databases: the position that the log must reach. Empty: not known, so that only the
  /// primary can serve the read.
  std::optional<core::LogPosition> after;
  std::set<core::DatabaseId> avoided;  ///< Databases at which this statement has failed before.
};

/// A database chosen for a statement.
struct BackendChoice {
  std::shared_ptr<BackendPool> pool;
  bool is_primary = false;
  core::Term term = 0;  ///< Term of the group at the time of the choice.
  /// Of a primary: the position that its log had been seen to reach by then.
  core::LogPosition reached;
};

/// False when a primary's reply shows that it has started again without its log: it held more before.
[[nodiscard]] bool kept_log(const BackendChoice& choice, const std::optional<core::LogPosition>& position);

/// A write that a database has acknowledged as the primary of its group.
struct AcknowledgedWrite {
  core::GroupName group;
  BackendChoice choice;
  core::Instant answered{};                   ///< When the acknowledgement came.
  std::optional<core::LogPosition> position;  ///< That the database told with it.
};

/// Whether an acknowledged write outlasts a failover.
enum class WriteDurability : std::uint8_t {
  kDurable,    ///< No failover drops it.
  kPending,    ///< A failover is in progress, or may be: ask again.
  kUncertain,  ///< The primary was replaced, and its successor may lack the write.
};

/// The directory of all databases, with the connection pool of each.
class Backends {
 public:
  Backends(boost::asio::io_context& io, BackendConnector& connector, agent::Agent& agent, core::DaemonId self,
           core::ZoneName zone);

  /// Applies a newer configuration.
  void apply(const protocol::Configuration& configuration);
  /// To be called every kBackendsTick: runs the pools' periodic work and reports suspicions to control.
  void tick(core::Instant now);
  /// Stops handing out connections. Those in use end with their statements.
  void close();

  /// Returns the best database for a statement; empty when none can serve it now.
  [[nodiscard]] std::optional<BackendChoice> choose(const core::GroupName& group,
                                                    const BackendRequirement& need, core::Instant now) const;
  /// Acquires a connection to the chosen database: one of this daemon's own or, where another owner serves
  /// the statement better or this daemon has none, one at another owner. Errors as BackendPool::acquire.
  boost::asio::awaitable<core::Result<std::unique_ptr<StatementLease>>> acquire(BackendChoice choice,
                                                                                ConnectionRequest request);
  /// True when the database that was chosen as the primary is certain to be it still, and to hold every
  /// acknowledged write: this daemon knows no newer term, its lease from control was valid until `now`, and
  /// the position that the database has replied with shows that it has not started again without its log.
  [[nodiscard]] bool is_certain_primary(const core::GroupName& group, const BackendChoice& choice,
                                        const std::optional<core::LogPosition>& position,
                                        core::Instant now) const;
  /// True while the database that was chosen as the primary is named the primary, in the term of the choice.
  [[nodiscard]] bool is_chosen_primary(const core::GroupName& group, const BackendChoice& choice) const;
  /// True for the group's primary according to the newest configuration.
  [[nodiscard]] bool is_primary(const core::GroupName& group, const core::DatabaseId& database) const;
  /// The position that a log must have reached for a read that may be `staleness` old.
  [[nodiscard]] std::optional<core::LogPosition> position_for(const core::GroupName& group,
                                                              core::Duration staleness,
                                                              core::Instant now) const;
  /// Records a position that a database reported in reply to a request sent at `sent`. Ignored unless the
  /// database is certain to be the primary.
  void note_position(const core::GroupName& group, const BackendChoice& choice, core::Instant sent,
                     core::Instant now, const core::LogPosition& position);
  /// Records the position with which the primary acknowledged a write sent at `sent`. Where a write is
  /// acknowledged only after a replica has received it, this holds without a lease from control too.
  void note_acknowledged_write(const core::GroupName& group, const BackendChoice& choice, core::Instant sent,
                               const core::LogPosition& position);

  /// Whether the acknowledgement of a write may be passed on to the caller. See backends_writes.cpp.
  [[nodiscard]] WriteDurability write_durability(const AcknowledgedWrite& write, core::Instant now);
  /// Lets the databases, or an owner, show that the write is durable. Call while that is pending.
  void request_write_proof(const AcknowledgedWrite& write, core::Instant now);
  /// True while a write that is acknowledged now is likely to be proven durable.
  [[nodiscard]] bool may_confirm_writes(const core::GroupName& group, core::Instant now);
  /// True when the primary of the choice has been replaced, so that a commit there would not be kept. A
  /// primary that leaves as planned may still answer commits until its successor is named.
  [[nodiscard]] bool is_replaced(const core::GroupName& group, const BackendChoice& choice) const;

  /// For a read that may be `staleness` old and for which no position is known: requests one from an owner of
  /// the group's primary, where this daemon owns no connection to the primary. Takes up to kPositionTimeout.
  /// Does nothing while such a request is in flight, or when a recent one brought no usable reply.
  ///
  /// In a fleet of 291 daemons each serves a given group only about every 2 s. What a daemon has learned from
  /// the primary is then too old for its next read, which would go to the primary again. The few owners see
  /// all replies of the primary, and their positions let replicas serve such reads.
  boost::asio::awaitable<void> request_position(core::GroupName group, core::Duration staleness);
  /// True while such a request is in flight.
  [[nodiscard]] bool awaits_position(const core::GroupName& group) const;
  /// The positions that this daemon, as an owner, returns to other daemons.
  [[nodiscard]] PositionReply known_positions(const PositionRequest& request, core::Instant now) const;
  /// The choice of the given database under the current configuration; empty when the database is unknown.
  [[nodiscard]] std::optional<BackendChoice> choice_for(const core::DatabaseId& database) const;

  /// True when a read may go to the primary because no position is known with which another database could
  /// serve it. One read in kPositionRefreshInterval is enough: its reply gives a position for all others.
  bool begin_position_refresh(const core::GroupName& group, core::Instant now);
  /// False while this daemon has no valid lease from control. A reply alone then does not prove that the
  /// database is still the primary.
  [[nodiscard]] bool has_control_lease(core::Instant now) const { return agent_.lease_valid(now); }
  /// Without a lease from control: lets the group's databases prove which one is the primary, for a read that
  /// arrived at `moment`. Asks an owner of the primary for a proof; asks the databases itself where this
  /// daemon is an owner or no owner can answer. See PrimaryProof.
  void request_primary_proof(const core::GroupName& group, core::Instant moment, core::Instant now);
  /// Obtains, as an owner, a proof of the primary for another daemon. Fails with kUnavailable when the
  /// databases give none in time.
  boost::asio::awaitable<core::Result<ShownPrimaryReply>> show_primary(ShownPrimaryRequest request);
  /// True when replies to status requests sent at or after `moment` prove that the log of the group's primary
  /// holds every write acknowledged before `moment`.
  [[nodiscard]] bool primary_proven_since(const core::GroupName& group, core::Instant moment) const;
  /// When the newest round that proved any group's primary began; the clock's epoch before the first.
  [[nodiscard]] core::Instant last_primary_proof() const { return last_proof_; }
  [[nodiscard]] const ProofRequestCounters& proof_request_counters() const {
    return proof_requests_.counters();
  }
  [[nodiscard]] const RoundCounters& rounds() const { return rounds_.counters(); }

  /// How long this daemon has had no primary of the group that is both reachable and certain; zero while it
  /// has one.
  [[nodiscard]] core::Duration without_primary(const core::GroupName& group, core::Instant now) const;

  /// Revision of the current configuration.
  [[nodiscard]] protocol::Revision revision() const { return agent_.configuration().revision; }
  [[nodiscard]] std::size_t connections() const;
  /// The pool of a database, or null.
  [[nodiscard]] std::shared_ptr<BackendPool> pool(const core::DatabaseId& database) const;
  [[nodiscard]] const ForwardCounters& forwards() const { return forwarder_.counters(); }
  /// Pools by database, for metrics.
  [[nodiscard]] std::vector<std::shared_ptr<BackendPool>> pools() const;

 private:
  struct Member {
    std::shared_ptr<BackendPool> pool;
    bool draining = false;
    bool departed = false;
    bool log_unproven = false;  ///< Its log may lack acknowledged writes, so it proves no primary.
  };

  struct GroupView {
    std::map<core::DatabaseId, Member> members;
    core::DatabaseId primary;  ///< Empty while a change of primary is in progress.
    core::Term term = 0;
    core::Instant primary_applied{};       ///< When this daemon learned of the present primary and term.
    core::LogPosition reached;             ///< The log of the present primary has been seen to reach this.
    bool synchronous_replication = false;  ///< A write is acknowledged only after a replica has received it.
    PrimaryPositions positions;
    /// When a read last went to the primary to learn a position.
    std::optional<core::Instant> last_position_refresh;
    bool position_request_in_flight = false;  ///< A position request to an owner of the primary is in flight.
    core::Instant next_position_request{};
    std::optional<core::Instant> without_primary_since;
    FailoverExclusion failover_exclusion;  ///< The newest one known; the clock's epoch if there is none.
  };

  void apply_group(const protocol::Group& group);
  static void apply_primary(GroupView& view, const protocol::Group& group);
  void set_shares(const protocol::Configuration& configuration);
  [[nodiscard]] ConnectionShare own_share(const protocol::Configuration& configuration,
                                          const protocol::Database& database,
                                          const std::vector<core::DaemonId>& owners, bool primary) const;
  [[nodiscard]] bool owns(const std::vector<core::DaemonId>& owners) const;
  void track_missing_primaries(core::Instant now);
  boost::asio::awaitable<core::Result<BackendStatus>> ask_status(std::shared_ptr<BackendPool> pool,
                                                                 core::Duration timeout);
  [[nodiscard]] std::optional<RoundSubject> round_subject(const core::GroupName& group,
                                                          core::Instant now) const;
  bool request_proof_from_owners(const core::GroupName& group, core::Instant moment, core::Instant now);
  void note_proof(const core::GroupName& group, const ShownPrimary& shown);
  void note_round_reply(const core::GroupName& group, const PrimaryProof& proof, core::Instant begun);
  [[nodiscard]] WriteDurability durability_after_failover(const AcknowledgedWrite& write) const;
  static void note_exclusion(GroupView& view, const FailoverExclusion& exclusion);
  /// Takes control's lease into account.
  void renew_exclusion(GroupView& view, core::Instant now);
  [[nodiscard]] bool primary_recently_certain(const core::GroupName& group, core::Instant now) const;
  void report_suspicions(core::Instant now);
  void log_suspicions(const std::map<core::DatabaseId, protocol::Suspicion>& suspicions);
  [[nodiscard]] const GroupView* find(const core::GroupName& group) const;
  [[nodiscard]] std::optional<BackendChoice> choose_for_read(const GroupView& view,
                                                             const BackendRequirement& need,
                                                             core::Instant now) const;
  [[nodiscard]] std::optional<BackendChoice> choose_primary(const GroupView& view,
                                                            const BackendRequirement& need,
                                                            core::Instant now) const;
  /// True when another owner of the database can be reached and may have a connection to it.
  [[nodiscard]] bool other_owners_reachable(const BackendPool& pool, core::Instant now) const;
  [[nodiscard]] bool should_forward(const BackendPool& pool, core::Instant now) const;
  [[nodiscard]] bool prefers_another_owner(const BackendPool& pool, const ConnectionRequest& request,
                                           core::Instant now) const;
  [[nodiscard]] core::Duration cost(const BackendPool& pool) const;

  boost::asio::io_context& io_;
  BackendConnector& connector_;
  agent::Agent& agent_;
  core::DaemonId self_;
  core::ZoneName zone_;
  StatementForwarder forwarder_;
  PrimaryRounds rounds_;
  PrimaryProofRequests proof_requests_;
  core::Instant last_proof_{};
  std::map<core::GroupName, GroupView> groups_;
  std::map<core::DatabaseId, protocol::Suspicion> suspicions_;  ///< As last logged.
  bool closed_ = false;
};

/// Interval of calls to Backends::tick.
inline constexpr core::Duration kBackendsTick = std::chrono::milliseconds(50);
/// Between reads that go to a primary because no position is known.
inline constexpr core::Duration kPositionRefreshInterval = std::chrono::milliseconds(40);
/// A reply to a position request takes at most two trips between zones; a later one is not worth waiting for.
inline constexpr core::Duration kPositionTimeout = std::chrono::milliseconds(60);
/// After a request that brought no positions, none is sent for this long: reads that go to the primary teach
/// this daemon positions meanwhile.
inline constexpr core::Duration kPositionRequestBackoff = std::chrono::milliseconds(250);
/// A primary counts as known for this long after the round that proved it began.
inline constexpr core::Duration kRecentProofAge = std::chrono::milliseconds(1000);
/// Cost of a database in another zone, as an equivalent wait: traffic between zones is charged for.
inline constexpr core::Duration kCrossZoneCost = std::chrono::milliseconds(40);
/// Cost of a read at the primary, as an equivalent wait: the primary's capacity is needed for writes.
inline constexpr core::Duration kPrimaryReadCost = std::chrono::milliseconds(10);

}  // namespace pipitpond::pooling
