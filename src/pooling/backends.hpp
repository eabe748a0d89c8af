// All databases as one proxy daemon sees them: which group has which, who is
// the primary, how fresh a log must be, and where a statement is best run.
// Follows the configuration that control sends.
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

/// What a statement needs of a database.
struct BackendRequirement {
  bool primary = false;  ///< Writes, and reads that must see every write.
  /// Reads elsewhere: the log must reach this position. Empty: not known, so
  /// that only the primary will do.
  std::optional<core::LogPosition> after;
  std::set<core::DatabaseId> avoided;  ///< Failed for this statement before.
};

/// A database chosen for a statement.
struct BackendChoice {
  std::shared_ptr<BackendPool> pool;
  bool is_primary = false;
  core::Term term = 0;  ///< Of the group, when it was chosen.
};

/// The directory of databases.
class Backends {
 public:
  Backends(boost::asio::io_context& io, BackendConnector& connector, agent::Agent& agent, core::DaemonId self,
           core::ZoneName zone);

  /// A newer configuration is in force.
  void apply(const protocol::Configuration& configuration);
  /// Call every kBackendsTick: budgets, probes, what is to be told to control.
  void tick(core::Instant now);
  /// No further connections; those in use end with their statements.
  void close();

  /// The best database for a need; empty when none will do now.
  [[nodiscard]] std::optional<BackendChoice> choose(const core::GroupName& group,
                                                    const BackendRequirement& need, core::Instant now) const;
  /// A connection to the chosen database: one of this daemon's own, or where it owns none, one at an owner.
  /// Errors as BackendPool::acquire.
  boost::asio::awaitable<core::Result<std::unique_ptr<StatementLease>>> acquire(BackendChoice choice,
                                                                                ConnectionRequest request);
  /// True when the database that was chosen as a primary surely still is: no
  /// newer term is known here, and control's lease was valid until `now`.
  [[nodiscard]] bool is_certain_primary(const core::GroupName& group, const BackendChoice& choice,
                                        core::Instant now) const;
  /// True for the group's primary by the newest configuration.
  [[nodiscard]] bool is_primary(const core::GroupName& group, const core::DatabaseId& database) const;
  /// The position that a log needs for reads that may be `staleness` old.
  [[nodiscard]] std::optional<core::LogPosition> position_for(const core::GroupName& group,
                                                              core::Duration staleness,
                                                              core::Instant now) const;
  /// A database showed a position in answer to what was sent at `sent`. Counts
  /// if it is surely the primary.
  void note_position(const core::GroupName& group, const BackendChoice& choice, core::Instant sent,
                     core::Instant now, const core::LogPosition& position);
  /// The primary acknowledged a write that was sent at `sent`, and showed a
  /// position. Counts without a lease too, where writes are acknowledged by a
  /// replica's receipt.
  void note_acknowledged_write(const core::GroupName& group, const BackendChoice& choice, core::Instant sent,
                               const core::LogPosition& position);

  /// For a read that may be `staleness` old and for which no position is known: asks an owner of the group's
  /// primary for one, where this daemon owns no connection to it. Takes up to kPositionTimeout, and does
  /// nothing while an answer is awaited or was of no use a moment ago.
  ///
  /// Of 291 daemons each serves a group so rarely (every 2 s) that what it learned from the primary is too
  /// old for its next read, which would go to the primary again: positions of the few owners, which see all
  /// of its answers, let replicas serve it.
  boost::asio::awaitable<void> request_position(core::GroupName group, core::Duration staleness);
  /// True while an owner owes such an answer.
  [[nodiscard]] bool awaits_position(const core::GroupName& group) const;
  /// What this daemon, as an owner, tells others that ask.
  [[nodiscard]] PositionReply known_positions(const PositionRequest& request, core::Instant now) const;
  /// The database as the configuration in force has it; empty when it is unknown.
  [[nodiscard]] std::optional<BackendChoice> choice_for(const core::DatabaseId& database) const;

  /// True when a read may go to the primary because no position is known that
  /// it could be served with elsewhere. One read in kSeekInterval is enough:
  /// its answer gives a position for all others.
  bool begin_position_refresh(const core::GroupName& group, core::Instant now);
  /// False while control's lease is missing: no answer of a primary is certain by itself then.
  [[nodiscard]] bool has_control_lease(core::Instant now) const { return agent_.lease_valid(now); }
  /// Asks the group's databases to show who the primary is, for want of control's lease: by an owner of the
  /// primary, or by itself where this daemon is one or no owner can tell. For a read that came at `moment`.
  /// See PrimaryProof.
  void request_primary_proof(const core::GroupName& group, core::Instant moment, core::Instant now);
  /// What this daemon, as an owner, shows to others that ask. Fails with kUnavailable when the databases
  /// don't show the primary in time.
  boost::asio::awaitable<core::Result<ShownPrimaryReply>> show_primary(ShownPrimaryRequest request);
  /// True when the databases have shown, by answers to questions sent at or after `moment`, that the log of
  /// the group's primary holds every write acknowledged before it.
  [[nodiscard]] bool primary_proven_since(const core::GroupName& group, core::Instant moment) const;
  /// The last moment at which some group's primary was shown by its databases; the clock's epoch when none
  /// was.
  [[nodiscard]] core::Instant last_primary_proof() const { return last_shown_; }
  [[nodiscard]] const QuestionCounters& primary_questions() const { return questions_.counters(); }
  [[nodiscard]] const RoundCounters& rounds() const { return rounds_.counters(); }

  /// How long the group has had no primary that this daemon can use and surely
  /// knows; zero while it has one.
  [[nodiscard]] core::Duration without_primary(const core::GroupName& group, core::Instant now) const;

  /// Revision of the configuration in force.
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
  };

  struct GroupView {
    std::map<core::DatabaseId, Member> members;
    core::DatabaseId primary;  ///< Empty while it changes.
    core::Term term = 0;
    bool acknowledges_by_receipt = false;  ///< A write is acknowledged once a replica has received it.
    PrimaryPositions positions;
    std::optional<core::Instant> last_seek;  ///< When a read last went to the primary for a position.
    bool position_asked = false;             ///< An owner of the primary owes an answer.
    core::Instant next_position_ask{};
    std::optional<core::Instant> without_primary_since;
  };

  void apply_group(const protocol::Group& group);
  void set_shares(const protocol::Configuration& configuration);
  [[nodiscard]] ConnectionShare own_share(const protocol::Configuration& configuration,
                                          const protocol::Database& database,
                                          const std::vector<core::DaemonId>& owners, bool primary) const;
  [[nodiscard]] bool owns(const std::vector<core::DaemonId>& owners) const;
  void note_missing_primaries(core::Instant now);
  boost::asio::awaitable<core::Result<BackendStatus>> ask_status(std::shared_ptr<BackendPool> pool,
                                                                 core::Duration timeout);
  [[nodiscard]] std::optional<RoundSubject> round_subject(const core::GroupName& group,
                                                          core::Instant now) const;
  bool ask_owners_of_primary(const core::GroupName& group, core::Instant moment, core::Instant now);
  void note_shown(const core::GroupName& group, const ShownPrimary& shown);
  [[nodiscard]] bool recently_certain(const core::GroupName& group, core::Instant now) const;
  void report_suspicions(core::Instant now);
  void log_suspicions(const std::map<core::DatabaseId, protocol::Suspicion>& suspicions);
  [[nodiscard]] const GroupView* find(const core::GroupName& group) const;
  [[nodiscard]] std::optional<BackendChoice> choose_for_read(const GroupView& view,
                                                             const BackendRequirement& need,
                                                             core::Instant now) const;
  [[nodiscard]] std::optional<BackendChoice> choose_primary(const GroupView& view,
                                                            const BackendRequirement& need,
                                                            core::Instant now) const;
  /// Another owner of the database may have a connection to it.
  [[nodiscard]] bool others_serve(const BackendPool& pool, core::Instant now) const;
  [[nodiscard]] bool should_pass_on(const BackendPool& pool, core::Instant now) const;
  [[nodiscard]] bool belongs_to_another(const BackendPool& pool, const ConnectionRequest& request,
                                        core::Instant now) const;
  [[nodiscard]] core::Duration cost(const BackendPool& pool) const;

  boost::asio::io_context& io_;
  BackendConnector& connector_;
  agent::Agent& agent_;
  core::DaemonId self_;
  core::ZoneName zone_;
  StatementForwarder forwarder_;
  PrimaryRounds rounds_;
  PrimaryQuestions questions_;
  core::Instant last_shown_{};
  std::map<core::GroupName, GroupView> groups_;
  std::map<core::DatabaseId, protocol::Suspicion> suspicions_;  ///< As last told.
  bool closed_ = false;
};

/// How often to call Backends::tick.
inline constexpr core::Duration kBackendsTick = std::chrono::milliseconds(50);
/// Between reads that go to a primary for want of a known position.
inline constexpr core::Duration kSeekInterval = std::chrono::milliseconds(40);
/// An owner's answer to a question for positions comes within two ways between zones, or is not worth waiting
/// for.
inline constexpr core::Duration kPositionTimeout = std::chrono::milliseconds(60);
/// After an answer that was of no use, reads that go to the primary give this daemon positions of its own.
inline constexpr core::Duration kPositionAskRest = std::chrono::milliseconds(250);
/// A primary that its databases have shown this lately counts as known.
inline constexpr core::Duration kShownRecently = std::chrono::milliseconds(1000);
/// What the way to another zone counts, in time of waiting: bytes between zones
/// have a price.
inline constexpr core::Duration kOtherZoneCost = std::chrono::milliseconds(40);
/// What a read at the primary counts, which writes need for themselves.
inline constexpr core::Duration kPrimaryReadCost = std::chrono::milliseconds(10);

}  // namespace pipitpond::pooling
