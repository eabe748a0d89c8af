// raft::Node: reads while no leader is known, see leaderless_reads.hpp.
#include <algorithm>

#include "raft/node.hpp"

namespace pipitpond::raft {

void Node::read_without_leader(core::Instant now, ReadToken token) {
  now_ = std::max(now_, now);
  for (const auto& dropped : leaderless_reads_.add(token)) read_results_.push_back(dropped);
  begin_leaderless_round();
}

void Node::begin_leaderless_round() {
  if (!leaderless_reads_.needs_round(now_)) return;
  const Member* self = membership().find(config_.id);
  const bool is_voter = self != nullptr && self->role == MemberRole::kVoter;
  const bool is_newest_term = log_.last().term == hard_state_.term;
  if (role_ == Role::kLeader || !is_voter || !is_newest_term) {
    fail_leaderless_reads();
    return;
  }
  leaderless_reads_.begin_round(now_, log_.last());
  ask_for_log_ends();
  confirm_leaderless_reads();  // A sole voter needs no answer.
}

void Node::ask_for_log_ends() {
  leaderless_reads_.on_asked(now_);
  for (const auto& member : membership().members) {
    const bool is_asked = member.role == MemberRole::kVoter && member.id != config_.id &&
                          !leaderless_reads_.agreeing().contains(member.id);
    if (is_asked) send(member.id, LogEndRequest{leaderless_reads_.round()});
  }
}

void Node::handle(const Message& message, const LogEndRequest& request) {
  // Sent once the term and the entries are synced.
  send(message.from, LogEndReply{request.round, hard_state_.term, log_.last()});
}

void Node::handle(const Message& message, const LogEndReply& reply) {
  leaderless_reads_.on_answer(message.from, reply.round, reply.term, reply.last);
  confirm_leaderless_reads();
}

void Node::confirm_leaderless_reads() {
  const auto& end = leaderless_reads_.end();
  if (!end) return;
  const bool has_moved_on = role_ == Role::kLeader || log_.last() != *end || hard_state_.term != end->term;
  const std::size_t disagreeing = count_voters(leaderless_reads_.disagreeing());
  const bool can_succeed = membership().voter_count() - disagreeing >= membership().quorum();
  if (has_moved_on || !can_succeed) {
    fail_leaderless_reads();
    return;
  }
  const std::size_t agreeing = count_voters(leaderless_reads_.agreeing()) + 1;  // And this replica.
  if (agreeing < membership().quorum()) return;
  commit_to(end->index);
  for (const auto& result : leaderless_reads_.confirm()) read_results_.push_back(result);
  begin_leaderless_round();
}

std::size_t Node::count_voters(const std::set<core::ControlId>& replicas) const {
  const auto& members = membership().members;
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.role == MemberRole::kVoter && replicas.contains(member.id);
  }));
}

void Node::fail_leaderless_reads() {
  for (const auto& result : leaderless_reads_.fail_all()) read_results_.push_back(result);
}

}  // namespace pipitpond::raft
