// raft::Node: role changes, pre-votes and elections.
#include <algorithm>
#include <utility>

#include "raft/node.hpp"

namespace pipitpond::raft {

void Node::become_follower(Term term, std::optional<core::ControlId> leader) {
  record_lost_candidacy();
  if (role_ == Role::kLeader) reported_contacts_.update(now_, silent_voters());
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.voted_for = {};
  }
  role_ = Role::kFollower;
  leader_ = std::move(leader);
  votes_.clear();
  progress_.clear();
  rounds_.clear();
  transfer_target_.reset();
  append_pending_ = false;
  commit_broadcast_pending_ = false;
  fail_reads();
  reset_election_timer();
}

void Node::reset_election_timer() {
  const auto spread = (config_.election_timeout_max - config_.election_timeout_min).count() + 1;
  const auto jitter = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(spread));
  election_deadline_ = now_ + config_.election_timeout_min + core::Duration(jitter);
}

bool Node::has_recent_leader_contact() const {
  if (!config_.mechanisms.check_quorum) return false;
  if (role_ == Role::kLeader) return has_quorum(now_);
  return now_ < last_leader_contact_ + config_.election_timeout_min;
}

void Node::record_lost_candidacy() {
  if (role_ != Role::kPreCandidate && role_ != Role::kCandidate) return;
  lost_candidacy_ = LostCandidacy{candidacy_term_, {}, {}, {}};
  for (const auto& member : membership().members) {
    if (member.role != MemberRole::kVoter || member.id == config_.id) continue;
    const auto vote = votes_.find(member.id);
    if (vote == votes_.end()) {
      lost_candidacy_.unanswered.push_back(member.id);
    } else {
      (vote->second ? lost_candidacy_.granted : lost_candidacy_.refused).push_back(member.id);
    }
  }
}

void Node::start_candidacy() {
  record_lost_candidacy();
  reset_election_timer();
  leader_.reset();
  if (!membership().is_voter(config_.id)) return;
  ++candidacies_;
  if (!config_.mechanisms.pre_vote) {
    start_election(false);
    return;
  }
  role_ = Role::kPreCandidate;
  request_votes(hard_state_.term + 1, PreVoteRequest{log_.last()});
}

void Node::start_election(bool transfer) {
  role_ = Role::kCandidate;
  ++hard_state_.term;
  hard_state_.voted_for = config_.id;
  leader_.reset();
  reset_election_timer();
  request_votes(hard_state_.term, VoteRequest{log_.last(), transfer});
}

bool Node::election_timed_out() const {
  return now_ >= election_deadline_;
}

void Node::request_votes(Term term, const MessageBody& request) {
  votes_ = {{config_.id, true}};
  candidacy_term_ = term;
  for (const auto& member : membership().members) {
    if (member.role != MemberRole::kVoter || member.id == config_.id) continue;
    send_with_term(member.id, term, request);
  }
  count_votes();
}

void Node::count_votes() {
  std::size_t granted = 0;
  std::size_t refused = 0;
  for (const auto& [id, vote] : votes_) {
    if (!membership().is_voter(id)) continue;
    ++(vote ? granted : refused);
  }
  if (granted >= membership().quorum()) {
    if (role_ == Role::kPreCandidate) {
      start_election(false);
    } else {
      become_leader();
    }
    return;
  }
  if (refused >= membership().quorum()) become_follower(hard_state_.term, std::nullopt);
}

void Node::become_leader() {
  fail_leaderless_reads();
  role_ = Role::kLeader;
  leader_ = config_.id;
  votes_.clear();
  progress_.clear();
  rounds_.clear();
  round_ = 0;
  leader_since_ = now_;
  update_tracked_members();
  append_entry(Entry{0, 0, EntryKind::kNoOp, {}, {}});
  next_heartbeat_ = now_ + config_.heartbeat_interval;
  begin_round();
  send_to_all(true);
}

void Node::handle(const Message& message, const PreVoteRequest& request) {
  const bool term_is_newer = message.term > hard_state_.term;
  const bool log_is_up_to_date = request.last >= log_.last();
  const bool granted = term_is_newer && log_is_up_to_date && !has_recent_leader_contact();
  // A refusal carries this replica's own term, so that a candidate of an older term adopts it.
  send_with_term(message.from, granted ? message.term : hard_state_.term, PreVoteReply{granted});
}

void Node::handle(const Message& message, const PreVoteReply& reply) {
  if (role_ != Role::kPreCandidate || election_timed_out()) return;
  if (reply.granted && message.term != hard_state_.term + 1) return;
  votes_[message.from] = reply.granted;
  count_votes();
}

void Node::handle(const Message& message, const VoteRequest& request) {
  const bool may_vote = hard_state_.voted_for.empty() || hard_state_.voted_for == message.from;
  const bool log_is_up_to_date = request.last >= log_.last();
  // accept_term checks this for newer terms only; this replica may have entered the term by another message.
  const bool allowed = request.transfer || !has_recent_leader_contact();
  const bool granted = allowed && may_vote && log_is_up_to_date;
  if (granted) {
    become_follower(hard_state_.term, std::nullopt);
    hard_state_.voted_for = message.from;
  }
  send(message.from, VoteReply{granted});
}

void Node::handle(const Message& message, const VoteReply& reply) {
  if (role_ != Role::kCandidate || election_timed_out()) return;
  votes_[message.from] = reply.granted;
  count_votes();
}

void Node::handle(const Message& message, const TimeoutNow& /*request*/) {
  const bool from_leader = leader_.has_value() && *leader_ == message.from;
  if (role_ != Role::kFollower || !from_leader || !membership().is_voter(config_.id)) return;
  start_election(true);
}

}  // namespace pipitpond::raft
