// raft::Node: how a replica that is not a member becomes a learner, on the joining replica and on the leader.
#include <algorithm>
#include <utility>

#include "raft/node.hpp"

namespace pipitpond::raft {
namespace {

/// Endpoints kept from JoinReplies; more than a membership has members.
constexpr std::size_t kMaxSuggestedEndpoints = 64;
/// In longest election timeouts: a member without contact with a leader for this time may have been removed.
constexpr int kPresumedRemovedTimeouts = 4;

void add_once(std::vector<core::Endpoint>& endpoints, const core::Endpoint& endpoint) {
  if (std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end()) {
    endpoints.push_back(endpoint);
  }
}

}  // namespace

bool Node::wants_to_join() const {
  const auto* self = membership().find(config_.id);
  if (self == nullptr) return true;
  // It may have been removed while it was unreachable; then it receives nothing, not even that change.
  const bool presumed_removed =
      config_.open_membership && role_ != Role::kLeader &&
      now_ - last_leader_contact_ >= kPresumedRemovedTimeouts * config_.election_timeout_max;
  if (presumed_removed) return true;
  return self->role == MemberRole::kLearner && !leader_.has_value();
}

Message Node::join_request(const Member& self) const {
  return Message{config_.cluster, config_.id, {}, hard_state_.term, JoinRequest{self}};
}

std::vector<core::Endpoint> Node::join_endpoints() const {
  std::vector<core::Endpoint> endpoints;
  for (const auto& member : membership().members) {
    if (member.id != config_.id) add_once(endpoints, member.internal);
  }
  for (const auto& suggested : suggested_endpoints_) add_once(endpoints, suggested);
  return endpoints;
}

void Node::handle(const Message& message, const JoinReply& reply) {
  if (!wants_to_join()) return;
  last_join_reply_ = LastJoinReply{message.from, reply.refusal, reply.leader, now_};
  for (const auto& member : reply.members) add_once(suggested_endpoints_, member.internal);
  if (suggested_endpoints_.size() <= kMaxSuggestedEndpoints) return;
  const auto excess = suggested_endpoints_.size() - kMaxSuggestedEndpoints;
  suggested_endpoints_.erase(suggested_endpoints_.begin(),
                             suggested_endpoints_.begin() + static_cast<std::ptrdiff_t>(excess));
}

void Node::handle(const Message& message, const JoinRequest& request) {
  const auto refusal = admit(request.member);
  if (!refusal) return;
  JoinReply reply{*refusal, leader_.value_or(core::ControlId()), {}};
  // A member already has the membership in its own log.
  if (membership().find(message.from) == nullptr) reply.members = membership().members;
  send(message.from, std::move(reply));
}

std::optional<JoinRefusal> Node::admit(const Member& joiner) {
  if (role_ != Role::kLeader || transfer_target_) return JoinRefusal::kNotLeader;
  if (membership().find(joiner.id) != nullptr) return std::nullopt;
  if (may_change_membership().has_failure()) return JoinRefusal::kChangePending;
  const auto& members = membership().members;
  const auto same_endpoint = std::find_if(members.rbegin(), members.rend(), [&](const Member& member) {
    return member.internal == joiner.internal;
  });
  if (same_endpoint == members.rend()) {
    // Without open membership only operators add replicas at new endpoints.
    if (!config_.open_membership) return JoinRefusal::kNotAllowed;
    admit_at_new_endpoint(joiner);
    return std::nullopt;
  }
  // A replica at the endpoint of an existing member replaces that member, provided that the member has been
  // silent for the shortest election timeout, after which a follower doubts its leader too; a live member
  // answers several heartbeats in that time. A longer wait can outlast the term of a short-lived leader, and
  // if a second disk is lost meanwhile, no majority is left. An early admission is safe: the replica is a
  // learner, which counts in no majority, until it holds all committed entries.
  if (same_endpoint->id == config_.id) return JoinRefusal::kPlaceIsTaken;
  if (time_since_contact(same_endpoint->id) < config_.election_timeout_min) return JoinRefusal::kPlaceIsTaken;
  const auto& existing = *same_endpoint;
  auto changed = membership();
  const bool existing_is_learner = existing.role == MemberRole::kLearner;
  if (existing_is_learner) {
    std::erase_if(changed.members, [&](const Member& member) { return member.id == existing.id; });
  }
  changed.members.push_back(joiner);
  changed.members.back().role = MemberRole::kLearner;
  changed.members.back().replaces = existing_is_learner ? existing.replaces : existing.id;
  const Member learner = changed.members.back();
  append_membership(std::move(changed));
  record_decision(MembershipReason::kJoins, learner);
  return std::nullopt;
}

void Node::admit_at_new_endpoint(const Member& joiner) {
  auto changed = membership();
  changed.members.push_back(joiner);
  changed.members.back().role = MemberRole::kLearner;
  const Member learner = changed.members.back();
  append_membership(std::move(changed));
  record_decision(MembershipReason::kJoins, learner);
}

}  // namespace pipitpond::raft
