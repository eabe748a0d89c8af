// raft::Node: replication on followers.
#include <algorithm>

#include "raft/node.hpp"

namespace pipitpond::raft {

void Node::accept_leader(const Message& message) {
  if (role_ != Role::kFollower || leader_ != message.from) become_follower(message.term, message.from);
  last_leader_contact_ = now_;
  reset_election_timer();
}

void Node::handle(const Message& message, const AppendRequest& request) {
  if (role_ == Role::kLeader) return;  // A term has only one leader; never overwrite this leader's log.
  accept_leader(message);
  reported_contacts_.update(now_, request.silent);
  const auto previous = request.previous.index;
  if (previous < hard_state_.commit) {
    // Committed entries are in the log of every later leader, so both logs agree up to the commit index.
    send(message.from, AppendReply{true, previous, hard_state_.commit, 0, request.round});
    return;
  }
  if (!log_.contains(request.previous)) {
    const auto before = previous == 0 ? 0 : previous - 1;
    const auto hint = log_.last_index_up_to_term(before, request.previous.term);
    send(message.from, AppendReply{false, previous, 0, hint, request.round});
    return;
  }
  const auto first_new = log_.merge(request.entries);
  if (first_new) persisted_ = std::min(persisted_, *first_new - 1);
  const auto match = previous + request.entries.size();
  commit_to(std::min(request.commit, match));
  send(message.from, AppendReply{true, previous, match, 0, request.round});
}

void Node::handle(const Message& message, const SnapshotRequest& request) {
  if (role_ == Role::kLeader) return;
  accept_leader(message);
  const auto& snapshot = request.snapshot;
  const bool has_snapshot_entry = log_.contains({snapshot.term, snapshot.index});
  if (snapshot.index > hard_state_.commit && !has_snapshot_entry) {
    log_.restore(snapshot);
    snapshot_changed_ = true;
    restore_ = true;
    persisted_ = snapshot.index;
  }
  commit_to(snapshot.index);
  send(message.from, AppendReply{true, snapshot.index, hard_state_.commit, 0, request.round});
}

}  // namespace pipitpond::raft
