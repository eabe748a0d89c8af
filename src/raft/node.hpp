// One replica of the Raft consensus protocol, as a deterministic state machine that does no I/O.
//
// Usage, by a driver that owns the disk, the network and the clock:
//
//   auto node = raft::Node(config, persisted, seed, now);     (the driver loads persisted.snapshot.state)
//   on a timer at node.next_timer():      node.tick(now);
//   on a message from a peer:             node.step(now, std::move(message));
//   on a command:                         auto position = node.propose(now, bytes);
//   after each of these calls (or after a batch of them, which then shares one sync):
//     while (node.has_ready()) {
//       Ready ready = node.take_ready();
//       persist ready.hard_state, ready.snapshot, ready.entries and sync;     // before anything else
//       send ready.messages;
//       if (ready.restore) load ready.snapshot into the state machine;
//       apply ready.committed in order (kCommand only; other kinds do not concern the state machine);
//       complete ready.reads;
//       node.advance(now);                                                    // this Ready is done
//     }
//   whenever the log has grown enough: node.compact(applied_index, state);
//
// A command is committed once the committed entry at its index has its term. If that index is committed with
// another term, the command is lost; if a snapshot replaces that index, the outcome is unknown. Proposers
// must identify their commands by keys of their own. The Node holds no reference to the driver and may be
// destroyed at any time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "raft/config.hpp"
#include "raft/leaderless_reads.hpp"
#include "raft/log.hpp"
#include "raft/message.hpp"
#include "raft/progress.hpp"
#include "raft/read_queue.hpp"
#include "raft/ready.hpp"
#include "raft/silence.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// Kind of a membership change.
enum class MembershipAction : std::uint8_t {
  kAddLearner,  ///< The leader promotes it to voter once it has caught up.
  kRemove,
};

/// Votes of a candidacy, pre-vote included, that ended without a majority.
struct LostCandidacy {
  Term term = 0;  ///< Term of the requested votes.
  std::vector<core::ControlId> granted;
  std::vector<core::ControlId> refused;
  std::vector<core::ControlId> unanswered;
};

/// The last JoinReply that this replica has received.
struct LastJoinReply {
  core::ControlId from;
  JoinRefusal refusal = JoinRefusal::kNotLeader;
  core::ControlId leader;  ///< Leader named in the reply; empty: none.
  core::Instant at{};
};

struct MembershipChange {
  MembershipAction action = MembershipAction::kAddLearner;
  Member member;  ///< kRemove: only the id is used.
};

class Node {
 public:
  /// Starts a replica from its durable state. `seed` randomizes the election timeouts and the numbers of
  /// rounds of reads without a leader; no other life of this replica may have the same.
  Node(Config config, PersistedState persisted, std::uint64_t seed, core::Instant now);

  /// Handles elapsed timers; call at next_timer() or later.
  void tick(core::Instant now);
  /// Handles a message. Messages for another replica id or cluster are dropped.
  void step(core::Instant now, Message message);
  /// Appends a command and returns its position in the log, which is final only once it is committed. Fails
  /// with kNotLeader (see leader()), kLeaving (a leadership transfer is in progress) or kOverloaded.
  core::Result<core::LogPosition> propose(core::Instant now, std::string command);
  /// Requests a linearizable read; the result arrives in Ready::reads. Fails with kNotLeader.
  core::Result<void> read_index(core::Instant now, ReadToken token);
  /// Requests a linearizable read of a replica that knows no leader; the result arrives in Ready::reads. Not
  /// confirmed, or never answered, where no majority of the voters can show that nothing newer was committed.
  void read_without_leader(core::Instant now, ReadToken token);
  /// Adds or removes one member. Fails with kNotLeader, kConflict (another change is in progress, or this
  /// leader has not yet committed an entry of its own term: retry), kAlreadyExists, kNotFound, or
  /// kInvalidArgument (no id, or the change would remove this leader).
  core::Result<core::LogPosition> propose_membership(core::Instant now, const MembershipChange& change);
  /// Transfers leadership, before a planned stop, to the reachable voter with the longest matching log;
  /// proposals fail meanwhile. The transfer is over when role() is no longer kLeader: after the longest
  /// election timeout this replica steps down, whether or not the target was elected. Fails with kNotLeader
  /// or kUnavailable (no other voter is reachable).
  core::Result<void> transfer_leadership(core::Instant now);
  /// True while the driver should keep sending join_request: this replica is not a member as far as it knows,
  /// or is a learner without a known leader. The change that added it may have been lost with its leader;
  /// then no other replica knows this one.
  [[nodiscard]] bool wants_to_join() const;
  /// The request of a joining replica. The driver sends it to the configured replicas, to join_endpoints()
  /// and to every replica that connects to this one. It names no receiver: their ids may have changed.
  [[nodiscard]] Message join_request(const Member& self) const;
  /// Further endpoints to send join_request to: the members in this replica's log and those named in
  /// JoinReplies. Needed because the configured replicas may be only some of the members, or none of them.
  [[nodiscard]] std::vector<core::Endpoint> join_endpoints() const;
  [[nodiscard]] const std::optional<LastJoinReply>& last_join_reply() const { return last_join_reply_; }

  [[nodiscard]] bool has_ready() const;
  /// Takes the pending work; empty until advance() was called for the previous Ready.
  Ready take_ready();
  /// Confirms that the last Ready is persisted, sent and applied.
  void advance(core::Instant now);
  /// Sets the snapshot: the state of the state machine at `index`, which must be applied. May drop entries up
  /// to `index`.
  void compact(Index index, std::string state);

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] Term term() const { return hard_state_.term; }
  /// The leader of term(), as far as known.
  [[nodiscard]] const std::optional<core::ControlId>& leader() const { return leader_; }
  /// True while this replica leads and no other can have been elected: a majority of voters has answered
  /// messages that were sent less than the shortest election timeout ago (a leader lease, with a margin for
  /// clock drift). Always false during a leadership transfer.
  [[nodiscard]] bool has_quorum(core::Instant now) const;
  /// True once this leader has committed an entry of its own term; its commit index then covers everything
  /// that earlier leaders committed.
  [[nodiscard]] bool has_committed_in_current_term() const;
  [[nodiscard]] bool transferring() const { return transfer_target_.has_value(); }
  /// When tick() has to be called next.
  [[nodiscard]] core::Instant next_timer() const;
  /// The current membership: the last one in the log, committed or not.
  [[nodiscard]] const Membership& membership() const { return log_.membership(); }
  [[nodiscard]] bool membership_change_pending() const;
  [[nodiscard]] Index commit_index() const { return hard_state_.commit; }
  [[nodiscard]] Index applied_index() const { return applied_; }
  [[nodiscard]] const Log& log() const { return log_; }
  [[nodiscard]] const Config& config() const { return config_; }
  /// Number of candidacies since this replica started, including those that ended at the pre-vote.
  [[nodiscard]] std::uint64_t candidacies() const { return candidacies_; }
  /// The last candidacy that ended without a majority; term 0 if there was none since the start.
  [[nodiscard]] const LostCandidacy& lost_candidacy() const { return lost_candidacy_; }
  /// Leader only: number of voters, itself included, that answered within the shortest election timeout.
  [[nodiscard]] std::size_t voters_in_contact() const;
  /// Leader only: number of other voters that have not answered it yet.
  [[nodiscard]] std::size_t voters_unheard() const;
  /// When a member last answered this leader; empty if it never did, or if this replica is not the leader.
  [[nodiscard]] std::optional<core::Instant> last_contact(const core::ControlId& id) const;

 private:
  // Common (node.cpp).
  /// Compares the message's term with this replica's and adopts a newer one. False if the message must not be
  /// handled any further.
  bool accept_term(const Message& message);
  void reject_stale_term(const Message& message);
  core::LogPosition append_entry(Entry entry);
  void commit_to(Index index);
  void fail_reads();
  void send(const core::ControlId& to, MessageBody body);
  void send_with_term(const core::ControlId& to, Term term, MessageBody body);
  void collect_persistence(Ready& ready);

  // Roles (node_election.cpp).
  void become_follower(Term term, std::optional<core::ControlId> leader);
  void become_leader();
  void start_candidacy();
  void start_election(bool transfer);
  void request_votes(Term term, const MessageBody& request);
  void count_votes();
  void reset_election_timer();
  void record_lost_candidacy();
  /// True once the time for collecting votes has passed. Votes that were queued while the process was
  /// suspended are stale: the others may have elected a leader of a newer term.
  [[nodiscard]] bool election_timed_out() const;
  [[nodiscard]] bool has_recent_leader_contact() const;
  void handle(const Message& message, const PreVoteRequest& request);
  void handle(const Message& message, const PreVoteReply& reply);
  void handle(const Message& message, const VoteRequest& request);
  void handle(const Message& message, const VoteReply& reply);
  void handle(const Message& message, const TimeoutNow& request);

  // Follower's side of replication (node_follower.cpp).
  void accept_leader(const Message& message);
  void handle(const Message& message, const AppendRequest& request);
  void handle(const Message& message, const SnapshotRequest& request);

  // Leader's side of replication (node_leader.cpp).
  void handle(const Message& message, const AppendReply& reply);
  void tick_leader();
  void begin_round();
  void send_append(const core::ControlId& to, Progress& progress, bool heartbeat);
  void send_entries(const core::ControlId& to, Progress& progress, bool heartbeat);
  [[nodiscard]] bool may_send_entries(const Progress& progress) const;
  void send_snapshot(const core::ControlId& to, Progress& progress);
  void send_to_all(bool heartbeat);
  void record_contact(Progress& progress, Round round);
  void handle_mismatch(const core::ControlId& to, Progress& progress, const AppendReply& reply);
  void advance_commit();
  void confirm_reads();
  [[nodiscard]] Round quorum_round() const;
  /// The latest time such that a majority, this leader included, has answered messages sent then or later.
  [[nodiscard]] std::optional<core::Instant> quorum_contact(core::Instant now) const;

  // Joining (node_joining.cpp).
  void handle(const Message& message, const JoinRequest& request);
  void handle(const Message& message, const JoinReply& reply);
  /// Adds the replica as a learner. Empty if it is a member now, else the reason of the refusal.
  std::optional<JoinRefusal> admit(const Member& joiner);
  void admit_at_new_endpoint(const Member& joiner);

  // Reads without a leader (node_leaderless_reads.cpp).
  void begin_leaderless_round();
  void ask_for_log_ends();
  void handle(const Message& message, const LogEndRequest& request);
  void handle(const Message& message, const LogEndReply& reply);
  void confirm_leaderless_reads();
  [[nodiscard]] std::size_t count_voters(const std::set<core::ControlId>& replicas) const;
  void fail_leaderless_reads();

  // Membership and transfer (node_membership.cpp).
  /// Time since a member last answered a leader, earlier leaders included.
  [[nodiscard]] core::Duration time_since_contact(const core::ControlId& id) const;
  /// Voters that have not answered this leader within the shortest election timeout.
  [[nodiscard]] std::vector<SilentMember> silent_voters() const;
  [[nodiscard]] AppendRequest append_after(const core::LogPosition& previous) const;
  [[nodiscard]] core::Result<void> may_change_membership() const;
  core::LogPosition append_membership(Membership membership);
  void record_decision(MembershipReason reason, const Member& member);
  void update_tracked_members();
  void promote_or_remove();
  bool promote_learner();
  bool remove_replaced_member();
  bool remove_silent_member();
  [[nodiscard]] bool can_remove_voter() const;
  /// How long a voter may be silent before it is removed.
  [[nodiscard]] core::Duration max_voter_silence() const;
  void remove_member(Member removed, MembershipReason reason);
  void continue_transfer();

  Config config_;
  Log log_;
  HardState hard_state_;
  std::mt19937_64 random_;
  core::Instant now_;  ///< Latest time passed in by a caller; never goes back.
  Role role_ = Role::kFollower;
  std::optional<core::ControlId> leader_;
  core::Instant election_deadline_{};
  core::Instant last_leader_contact_;
  ReportedContacts reported_contacts_;

  LeaderlessReads leaderless_reads_;

  // Joining.
  std::vector<core::Endpoint> suggested_endpoints_;  ///< From JoinReplies; the newest last.
  std::optional<LastJoinReply> last_join_reply_;

  // Candidates.
  std::map<core::ControlId, bool> votes_;
  std::uint64_t candidacies_ = 0;
  Term candidacy_term_ = 0;  ///< Term of the votes requested last.
  LostCandidacy lost_candidacy_;

  // Leader.
  struct RoundSent {
    Round round = 0;
    core::Instant at{};
  };
  std::map<core::ControlId, Progress> progress_;
  std::deque<RoundSent> rounds_;  ///< Recent rounds and when they began.
  Round round_ = 0;
  core::Instant next_heartbeat_{};
  core::Instant leader_since_{};
  ReadQueue reads_;
  std::optional<core::ControlId> transfer_target_;
  core::Instant transfer_deadline_{};
  bool timeout_now_sent_ = false;
  bool append_pending_ = false;  ///< There are new entries to send.
  /// The new commit index is to be sent without waiting for the next heartbeat.
  bool commit_broadcast_pending_ = false;

  // Work for the driver.
  /// The Ready that was taken and is not advanced yet.
  struct TakenReady {
    core::LogPosition persisted;  ///< Last entry of the durable log once this Ready is persisted.
    Index applied = 0;
  };
  std::vector<Message> messages_;
  std::vector<MembershipDecision> decisions_;
  std::vector<ReadResult> read_results_;
  HardState last_ready_hard_state_;
  Index persisted_ = 0;  ///< Entries up to here are synced.
  Index applied_ = 0;    ///< Entries up to here are applied.
  bool snapshot_changed_ = false;
  bool restore_ = false;
  std::optional<TakenReady> taken_ready_;
};

}  // namespace pipitpond::raft
