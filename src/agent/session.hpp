// A daemon's dealings with control: heartbeats, lease, revisions, budgets. No input or output: the driver
// sends what take_effects() returns and reports what came of it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "ownership/budget_tracker.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::agent {

/// Send a heartbeat; report on_heartbeat_reply, or on_heartbeat_failed after `timeout`. A reply that comes
/// later still counts.
struct SendHeartbeat {
  core::Endpoint to;
  protocol::Heartbeat heartbeat;
  core::Duration timeout{};
};

/// Fetch changes; report on_fetch_reply, or on_fetch_failed once nothing has come for `timeout`. What comes
/// later still counts.
struct SendFetch {
  core::Endpoint to;
  protocol::FetchRequest request;
  core::Duration timeout{};
  bool probe = false;  ///< Only whether it answers counts: report on_probe_ended.
};

using Effect = std::variant<SendHeartbeat, SendFetch>;

/// A process whose ticks are further apart than this stood still: shorter than any change of primary takes.
inline constexpr core::Duration kStandstillLimit = std::chrono::milliseconds(100);

/// Who the daemon is.
struct SessionOptions {
  core::DaemonId daemon;
  std::uint64_t incarnation = 0;
  core::ZoneName zone;
  core::Endpoint internal;
  core::Endpoint callers;
  std::vector<core::Endpoint> control;  ///< At least one.
  /// A process whose ticks are further apart than this stood still and gives its lease up.
  core::Duration standstill_limit = kStandstillLimit;
  /// Heartbeats are numbered from here on. A session that takes another's place within one process goes on
  /// with its numbers: a late answer to the old one must not pass for the answer to a later heartbeat, whose
  /// lease would end too late.
  std::uint64_t last_sequence = 0;
};

/// How often to call Session::tick.
inline constexpr core::Duration kSessionTick = std::chrono::milliseconds(25);

/// State of one life of a daemon towards control.
class Session {
 public:
  /// `configuration` is the one on disk, or an empty one.
  Session(SessionOptions options, protocol::Configuration configuration);

  /// Call every kSessionTick or more often.
  void tick(core::Instant now);
  [[nodiscard]] std::vector<Effect> take_effects();

  void on_heartbeat_reply(core::Instant now, const core::Endpoint& from,
                          const protocol::HeartbeatReply& reply);
  void on_heartbeat_failed(core::Instant now, const core::Endpoint& from, std::uint64_t sequence);
  void on_revision_notice(core::Instant now, const core::Endpoint& from, protocol::Revision revision);
  /// A control replica says that it is up. Matters only until the configuration is proven.
  void on_control_announced(core::Instant now, const core::Endpoint& replica);
  void on_fetch_failed(core::Instant now, const core::Endpoint& from);
  /// A replica answered a fetch: what it knows is in the reply that is taken next. Call before
  /// take_fetch_reply.
  void on_fetch_answered(const core::Endpoint& from) { informants_.insert(from); }
  /// A replica has this revision, but the reply that is taken next leads to an earlier one.
  void on_newer_revision(protocol::Revision revision) { newest_known_ = std::max(newest_known_, revision); }
  /// What came of a probe: called with false once it is overdue, and with true also after that.
  void on_probe_ended(core::Instant now, const core::Endpoint& from, bool answered);
  /// Returns what is now to be stored durably on top of configuration(), if the reply brought anything newer;
  /// it stays valid until then. Then call apply_fetched, or drop_fetched if storing failed.
  const protocol::FetchReply* take_fetch_reply(core::Instant now, protocol::FetchReply reply);
  /// The same, for a driver that stores whole configurations: the one that is now to be stored.
  std::optional<protocol::Configuration> on_fetch_reply(core::Instant now, const core::Endpoint& from,
                                                        protocol::FetchReply reply);
  void apply_fetched(core::Instant now);
  void drop_fetched(core::Instant now);

  /// Replaces the list of suspicions; true when it differs, apart from durations, and a heartbeat was asked
  /// for.
  bool set_suspicions(core::Instant now, std::vector<protocol::SuspicionReport> suspicions);
  /// Replaces the control replicas that the settings name.
  void set_configured_control(std::vector<core::Endpoint> control);
  void set_leaving(core::Instant now);
  void report_held(const core::DatabaseId& database, std::uint32_t connections);
  /// No further heartbeats: the lease is given up.
  void stop();

  /// Also false after this process stood still, until a heartbeat sent later is answered: what control said
  /// meanwhile may lie unread.
  [[nodiscard]] bool lease_valid(core::Instant now) const {
    return now < lease_end_ && now - last_tick_ <= options_.standstill_limit;
  }
  /// Every change that control acknowledged before this moment is part of configuration(). The clock's epoch
  /// while nothing proves it. A leader that is sure of its office, or a majority of control without a leader,
  /// named the revision in answer to a heartbeat that was sent then.
  [[nodiscard]] core::Instant complete_until() const { return complete_until_; }
  /// True once configuration() was complete at some moment of this life, by complete_until(). A replica alone
  /// can't know that: one that has just started, lags or lost its disk has not applied all that was
  /// acknowledged, and what a majority of them has applied may lack it too. Do not obey the configuration
  /// before.
  [[nodiscard]] bool configuration_proven() const { return complete_until_ != core::Instant{}; }
  [[nodiscard]] ownership::Budget allowed(const core::DatabaseId& database) const {
    return budgets_.allowed(database);
  }
  [[nodiscard]] const ownership::OwnerTable& owner_table() const { return budgets_.owner_table(); }
  [[nodiscard]] const protocol::Configuration& configuration() const { return configuration_; }
  /// Newest revision that any control replica has spoken of.
  [[nodiscard]] protocol::Revision newest_known() const { return newest_known_; }
  /// True once control has said that it knows a later life of this daemon, as after a jump of the clock that
  /// numbered them.
  [[nodiscard]] bool superseded() const { return newest_incarnation_ > options_.incarnation; }
  [[nodiscard]] std::uint64_t newest_incarnation() const { return newest_incarnation_; }
  /// Number of the last heartbeat.
  [[nodiscard]] std::uint64_t last_sequence() const { return sequence_; }
  /// The replica to which messages for the leader go.
  [[nodiscard]] core::Endpoint leader_guess() const;
  [[nodiscard]] protocol::Departure departure() const;

 private:
  [[nodiscard]] protocol::Heartbeat heartbeat();
  [[nodiscard]] core::Duration heartbeat_timeout() const;
  void send_heartbeat(core::Instant now);
  void note_complete_revision(core::Instant sent_at, protocol::Revision revision);
  void prove_complete();
  void notice_standstill(core::Instant now);
  void try_next_replica(core::Instant now);
  void follow_hint(core::Instant now, const core::Endpoint& hint);
  void fetch_if_behind(core::Instant now, const core::Endpoint& from);
  /// Right after a start: finds the replicas that are up by asking all of them for nothing. What they know is
  /// fetched from one after the other, so that only the first sends the whole configuration.
  void probe_all();
  void fetch_from_heard(core::Instant now);
  /// Asks the replicas that have not told yet what they know.
  void ask_around(core::Instant now);
  /// True once asking all replicas at short intervals brings nothing more: a lease was granted, or a majority
  /// of them has told what it knows.
  [[nodiscard]] bool asked_enough() const;
  void fetch(core::Instant now, const core::Endpoint& from);
  [[nodiscard]] core::Duration pause_without_news() const;
  [[nodiscard]] bool waits_for_admission(core::Instant now) const;
  void take_control_list(const std::vector<core::Endpoint>& control);
  /// The leader if it answers, else one replica after another.
  [[nodiscard]] core::Endpoint next_fetch_source(core::Instant now);

  SessionOptions options_;
  std::vector<core::Endpoint> control_;
  protocol::Configuration configuration_;
  ownership::BudgetTracker budgets_;
  std::vector<Effect> effects_;

  bool stopped_ = false;
  bool leaving_ = false;
  std::vector<protocol::SuspicionReport> suspicions_;

  std::optional<core::Endpoint> leader_;  ///< Last replica that answered as a leader, or a hint to it.
  std::size_t next_replica_ = 0;
  std::uint32_t hints_followed_ = 0;  ///< Since the last pause; two replicas may point at each other.
  std::uint64_t sequence_ = 0;
  std::uint64_t answered_ = 0;  ///< Greatest sequence that the leader has answered.
  std::vector<std::pair<std::uint64_t, core::Instant>> sent_;  ///< Unanswered heartbeats: sequence, time.
  core::Duration reply_delay_{0};                              ///< Of the leader's last reply.
  core::Instant next_heartbeat_;
  core::Instant lease_end_;
  core::Instant last_tick_;
  core::Instant complete_until_{};
  /// Revisions that were named as complete and are not in force here yet, oldest first, and when it was
  /// asked.
  std::deque<std::pair<protocol::Revision, core::Instant>> awaited_revisions_;

  protocol::Revision newest_known_ = 0;
  std::uint64_t newest_incarnation_ = 0;  ///< Of this daemon, that control knows.
  bool fetching_ = false;
  core::Instant next_fetch_;
  std::size_t next_fetch_source_ = 0;
  std::set<core::Endpoint> informants_;  ///< Replicas that answered a fetch in this life.
  std::set<core::Endpoint> probes_;      ///< Replicas that owe an answer to a probe.
  std::set<core::Endpoint> heard_;       ///< Replicas that answered a probe and were not asked yet.
  bool had_lease_ = false;
  std::optional<core::Endpoint> last_failed_source_;  ///< Of the last fetch that failed.
  std::optional<protocol::FetchReply> fetched_;
};

/// A heartbeat without an answer for this long, or for twice the time of the last answer if that is longer,
/// is overdue; the next replica is tried.
inline constexpr core::Duration kHeartbeatTimeout = std::chrono::milliseconds(400);
/// Half of a lease: enough room for another replica's answer before the lease ends.
inline constexpr core::Duration kMaxHeartbeatTimeout = protocol::kDaemonLease / 2;
/// Leaders' revisions that are awaited at once: 8 s of heartbeats; later ones take the place of earlier ones.
inline constexpr std::size_t kMostAwaitedRevisions = 16;
/// Replicas that announced themselves are taken up to this number of known ones: control has 9 at most today.
inline constexpr std::size_t kMostKnownReplicas = 32;
/// Another replica is asked when nothing has come for this long.
inline constexpr core::Duration kFetchTimeout = std::chrono::milliseconds(1500);
/// Pause before the next replica is asked after a failure.
inline constexpr core::Duration kReplicaRetryPause = std::chrono::milliseconds(50);
/// Hints that are followed at once before a pause.
inline constexpr std::uint32_t kMaxHintsAtOnce = 2;
/// A daemon that hears of no leader asks any replica for changes this often.
inline constexpr core::Duration kIdleFetchInterval = std::chrono::seconds(1);
/// Right after a start, control may be starting too: replicas that have not answered are asked this often.
inline constexpr core::Duration kReplicaProbeInterval = std::chrono::milliseconds(25);
/// Pause before all are asked again, when none had anything to tell.
inline constexpr core::Duration kReplicaProbeRest = std::chrono::milliseconds(100);
/// A probe without an answer for this long is sent again; the first answer counts.
inline constexpr core::Duration kReplicaProbeTimeout = std::chrono::milliseconds(250);

}  // namespace pipitpond::agent
