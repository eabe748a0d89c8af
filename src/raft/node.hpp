// One replica of the Raft consensus protocol as a state machine without input and output.
//
// Usage, by a driver that owns the disk, the network and the clock:
//
//   auto node = raft::Node(config, persisted, seed, now);     (load persisted.snapshot.state yourself)
//   on a timer at node.next_timer():      node.tick(now);
//   on a message from a peer:             node.step(now, std::move(message));
//   on a command:                         auto position = node.propose(now, bytes);
//   after each of these (or a batch of them: one batch is one sync):
//     while (node.has_ready()) {
//       Ready ready = node.take_ready();
//       persist ready.hard_state, ready.snapshot, ready.entries and sync;     // first
//       send ready.messages;
//       if (ready.restore) load ready.snapshot into the state machine;
//       apply ready.committed in order (kCommand only; other kinds change nothing in the state machine);
//       answer ready.reads;
//       node.advance(now);                                                    // the Ready is done
//     }
//   now and then, when the log has grown: node.compact(applied_index, state);
//
// A command is committed when the entry at its index has its term; when the index is committed with another
// term, or restored over by a snapshot, the command is lost or its fate unknown: the proposer must recognise
// commands by keys of its own. The Node holds no reference to the driver and is safe to destroy at any time.
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
#include "raft/log.hpp"
#include "raft/message.hpp"
#include "raft/progress.hpp"
#include "raft/read_queue.hpp"
#include "raft/ready.hpp"
#include "raft/silence.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// What propose_membership does.
enum class MembershipAction : std::uint8_t {
  kAddLearner,  ///< Becomes a voter by itself once it has caught up.
  kRemove,
};

/// How a candidacy that was not won went.
struct LostCandidacy {
  Term term = 0;  ///< Of the votes asked for.
  std::vector<core::ControlId> granted;
  std::vector<core::ControlId> refused;
  std::vector<core::ControlId> unanswered;
};

/// The last answer to a request to join.
struct LastJoinReply {
  core::ControlId from;
  JoinRefusal refusal = JoinRefusal::kNotLeader;
  core::ControlId leader;  ///< Whom it takes for the leader; empty: nobody.
  core::Instant at{};
};

struct MembershipChange {
  MembershipAction action = MembershipAction::kAddLearner;
  Member member;  ///< kRemove: only the id counts.
};

class Node {
 public:
  /// Starts a replica from what its disk holds. `seed` drives the election timeouts only.
  Node(Config config, PersistedState persisted, std::uint64_t seed, core::Instant now);

  /// Lets time pass; call at next_timer() or later.
  void tick(core::Instant now);
  /// Handles a message. Messages for another identity or cluster are dropped.
  void step(core::Instant now, Message message);
  /// Appends a command; where it will be if it gets committed. Fails with kNotLeader (see leader()),
  /// kLeaving (leadership is being handed over) or kOverloaded.
  core::Result<core::LogPosition> propose(core::Instant now, std::string command);
  /// Asks for a linearizable read; the answer comes in Ready::reads. Fails with kNotLeader.
  core::Result<void> read_index(core::Instant now, ReadToken token);
  /// Changes the members by one. Fails with kNotLeader, kConflict (another change is in progress, or this
  /// leader has not yet committed an entry of its own term: retry), kAlreadyExists, kNotFound, or
  /// kInvalidArgument (the change would remove this leader, or leave no voter).
  core::Result<core::LogPosition> propose_membership(core::Instant now, const MembershipChange& change);
  /// Hands leadership to the most suitable voter, for a planned stop; proposals are refused meanwhile. Ends
  /// when role() is no longer kLeader: at the latest after an election timeout this replica steps down,
  /// whether or not the other one took over. Fails with kNotLeader or kUnavailable (no other voter is in
  /// contact).
  core::Result<void> transfer_leadership(core::Instant now);
  /// True while the driver should keep sending join_request: no member as far as this replica knows, or a
  /// learner that hears of no leader. The change that added it may have been lost with the leader that made
  /// it, and then nobody else knows of this replica.
  [[nodiscard]] bool wants_to_join() const;
  /// A joining replica's request, to be sent to the replicas that its settings name, to join_endpoints() and
  /// to whoever calls at its address, whatever their identities are now.
  [[nodiscard]] Message join_request(const Member& self) const;
  /// Where else to ask: the members of this replica's log, and those that others have named in their answers.
  /// The replicas of the settings alone may be any part of the members, or none.
  [[nodiscard]] std::vector<core::Endpoint> join_endpoints() const;
  [[nodiscard]] const std::optional<LastJoinReply>& last_join_reply() const { return last_join_reply_; }

  [[nodiscard]] bool has_ready() const;
  /// The work to do now; empty until the last one was advanced.
  Ready take_ready();
  /// The last Ready is persisted, sent and applied.
  void advance(core::Instant now);
  /// The state machine's state at `index`, which must be applied: entries before it may be dropped.
  void compact(Index index, std::string state);

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] Term term() const { return hard_state_.term; }
  /// Who leads in term(), as far as known.
  [[nodiscard]] const std::optional<core::ControlId>& leader() const { return leader_; }
  /// True while this replica leads and no other can have been elected: a majority of voters has answered
  /// messages that were sent less than an election timeout ago. What is granted while it is true is granted
  /// by the only leader. Always false while leadership is being handed over.
  [[nodiscard]] bool has_quorum(core::Instant now) const;
  /// True once an entry of this leader's own term is committed: the applied state is then up to date.
  [[nodiscard]] bool has_committed_in_current_term() const;
  [[nodiscard]] bool transferring() const { return transfer_target_.has_value(); }
  /// When tick() is due.
  [[nodiscard]] core::Instant next_timer() const;
  /// The membership in force (the last in the log, committed or not).
  [[nodiscard]] const Membership& membership() const { return log_.membership(); }
  [[nodiscard]] bool membership_change_pending() const;
  [[nodiscard]] Index commit_index() const { return hard_state_.commit; }
  [[nodiscard]] Index applied_index() const { return applied_; }
  [[nodiscard]] const Log& log() const { return log_; }
  [[nodiscard]] const Config& config() const { return config_; }
  /// How often this replica has stood for election since it started; asking for pre-votes counts.
  [[nodiscard]] std::uint64_t candidacies() const { return candidacies_; }
  /// The last candidacy that ended without a majority; of term 0 when there was none since the start.
  [[nodiscard]] const LostCandidacy& lost_candidacy() const { return lost_candidacy_; }
  /// Leader: voters, itself included, that answered within the shortest election timeout.
  [[nodiscard]] std::size_t voters_in_contact() const;
  /// When a member last answered this leader; empty when it never did, or when this is no leader.
  [[nodiscard]] std::optional<core::Instant> last_contact(const core::ControlId& id) const;

 private:
  // Common (node.cpp).
  /// Settles the message's term against ours; false when the message is thereby done with.
  bool accept_term(const Message& message);
  void refuse_old_term(const Message& message);
  core::LogPosition append_entry(Entry entry);
  void commit_to(Index index);
  void fail_reads();
  void send(const core::ControlId& to, MessageBody body);
  void send_with_term(const core::ControlId& to, Term term, MessageBody body);
  void collect_persistence(Ready& ready);

  // Roles (node_election.cpp).
  void become_follower(Term term, std::optional<core::ControlId> leader);
  void become_leader();
  void stand();
  void start_election(bool transfer);
  void request_votes(Term term, const MessageBody& request);
  void count_votes();
  void reset_election_timer();
  void note_lost_candidacy();
  /// The time to gather votes has passed. Votes that wait in a candidate's queue while it is frozen say
  /// nothing about now: others may have elected a leader of a newer term meanwhile.
  [[nodiscard]] bool election_is_over() const;
  [[nodiscard]] bool heard_from_leader_recently() const;
  void handle(const Message& message, const PreVoteRequest& request);
  void handle(const Message& message, const PreVoteReply& reply);
  void handle(const Message& message, const VoteRequest& request);
  void handle(const Message& message, const VoteReply& reply);
  void handle(const Message& message, const TimeoutNow& request);

  // Follower's side of replication (node_follower.cpp).
  void follow(const Message& message);
  void handle(const Message& message, const AppendRequest& request);
  void handle(const Message& message, const SnapshotRequest& request);

  // Leader's side of replication (node_leader.cpp).
  void handle(const Message& message, const AppendReply& reply);
  void lead();
  void begin_round();
  void send_append(const core::ControlId& to, Progress& progress, bool heartbeat);
  void send_entries(const core::ControlId& to, Progress& progress, bool heartbeat);
  [[nodiscard]] bool may_send_entries(const Progress& progress) const;
  void send_snapshot(const core::ControlId& to, Progress& progress);
  void send_to_all(bool heartbeat);
  void note_contact(Progress& progress, Round round);
  void note_mismatch(const core::ControlId& to, Progress& progress, const AppendReply& reply);
  void advance_commit();
  void confirm_reads();
  [[nodiscard]] Round quorum_round() const;
  /// When a majority, this leader included, was last heard: sending time of what they answered.
  [[nodiscard]] std::optional<core::Instant> quorum_contact(core::Instant now) const;

  // Joining (node_joining.cpp).
  void handle(const Message& message, const JoinRequest& request);
  void handle(const Message& message, const JoinReply& reply);
  /// Adds a learner; empty when it is one of the members now.
  std::optional<JoinRefusal> admit(const Member& joiner);
  void admit_stranger(const Member& joiner);
  /// A silent voter in whose place no newcomer stands yet; empty: none.
  [[nodiscard]] core::ControlId unreplaced_silent_voter() const;

  // Membership and transfer (node_membership.cpp).
  /// How long no leader has heard a member, earlier ones included.
  [[nodiscard]] core::Duration silence_of(const core::ControlId& id) const;
  /// Voters that this leader does not hear.
  [[nodiscard]] std::vector<SilentMember> silent_voters() const;
  [[nodiscard]] AppendRequest append_after(const core::LogPosition& previous) const;
  [[nodiscard]] core::Result<void> may_change_membership() const;
  core::LogPosition append_membership(Membership membership);
  void note_decision(MembershipReason reason, const Member& member);
  void follow_membership();
  void promote_or_remove();
  bool promote_a_learner();
  bool remove_a_replaced();
  bool remove_a_silent();
  [[nodiscard]] bool can_spare_one() const;
  void remove_member(Member removed, MembershipReason reason);
  void continue_transfer();

  Config config_;
  Log log_;
  HardState hard_state_;
  std::mt19937_64 random_;
  core::Instant now_;  ///< The latest moment that a caller has told.
  Role role_ = Role::kFollower;
  std::optional<core::ControlId> leader_;
  core::Instant election_deadline_{};
  core::Instant last_leader_contact_;
  EarlierSilence earlier_silence_;

  // Joining.
  std::vector<core::Endpoint> named_replicas_;  ///< By answers; the latest last.
  std::optional<LastJoinReply> last_join_reply_;

  // Candidates.
  std::map<core::ControlId, bool> votes_;
  std::uint64_t candidacies_ = 0;
  Term candidacy_term_ = 0;  ///< Of the votes asked for last.
  LostCandidacy lost_candidacy_;

  // Leader.
  struct RoundSent {
    Round round = 0;
    core::Instant at{};
  };
  std::map<core::ControlId, Progress> progress_;
  std::deque<RoundSent> rounds_;  ///< Recent rounds and when they were begun.
  Round round_ = 0;
  core::Instant next_heartbeat_{};
  core::Instant leader_since_{};
  ReadQueue reads_;
  std::optional<core::ControlId> transfer_target_;
  core::Instant transfer_deadline_{};
  bool timeout_now_sent_ = false;
  bool append_wanted_ = false;         ///< There are new entries to send.
  bool commit_notice_wanted_ = false;  ///< Followers should learn of a new commit index at once.

  // Work for the driver.
  struct InFlight {
    core::LogPosition persisted;  ///< Last entry that the durable log then holds.
    Index applied = 0;
  };
  std::vector<Message> messages_;
  std::vector<MembershipDecision> decisions_;
  std::vector<ReadResult> read_results_;
  HardState handed_out_hard_state_;
  Index persisted_ = 0;  ///< Entries up to here are synced.
  Index applied_ = 0;    ///< Entries up to here are applied.
  bool snapshot_changed_ = false;
  bool restore_ = false;
  std::optional<InFlight> in_flight_;
};

}  // namespace pipitpond::raft
