// How a replica that is in no membership becomes a learner, at both ends, of raft::Node.
#include <algorithm>
#include <utility>

#include "raft/node.hpp"

namespace pipitpond::raft {
namespace {

/// Named replicas that are remembered; more than a membership has.
constexpr std::size_t kMostNamedReplicas = 64;
/// In units of the longest election timeout: a member that hears no leader for so long may have been removed.
constexpr int kForgottenAfter = 4;

void add_once(std::vector<core::Endpoint>& endpoints, const core::Endpoint& endpoint) {
  if (std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end()) {
    endpoints.push_back(endpoint);
  }
}

}  // namespace

bool Node::wants_to_join() const {
  const auto* self = membership().find(config_.id);
  if (self == nullptr) return true;
  // It may have been removed while it was out of touch: then nobody sends it anything, not even that news.
  const bool forgotten = config_.open_membership && role_ != Role::kLeader &&
                         now_ - last_leader_contact_ >= kForgottenAfter * config_.election_timeout_max;
  if (forgotten) return true;
  return self->role == MemberRole::kLearner && !leader_.has_value();
}

Message Node::join_request(const Member& self) const {
  return Message{config_.cluster, config_.id, {}, hard_state_.term, JoinRequest{self}};
}

std::vector<core::Endpoint> Node::join_endpoints() const {
  std::vector<core::Endpoint> contacts;
  for (const auto& member : membership().members) {
    if (member.id != config_.id) add_once(contacts, member.internal);
  }
  for (const auto& named : named_replicas_) add_once(contacts, named);
  return contacts;
}

void Node::handle(const Message& message, const JoinReply& reply) {
  if (!wants_to_join()) return;
  last_join_reply_ = LastJoinReply{message.from, reply.refusal, reply.leader, now_};
  for (const auto& member : reply.members) add_once(named_replicas_, member.internal);
  if (named_replicas_.size() <= kMostNamedReplicas) return;
  const auto excess = named_replicas_.size() - kMostNamedReplicas;
  named_replicas_.erase(named_replicas_.begin(),
                        named_replicas_.begin() + static_cast<std::ptrdiff_t>(excess));
}

void Node::handle(const Message& message, const JoinRequest& request) {
  const auto refusal = admit(request.member);
  if (!refusal) return;
  JoinReply reply{*refusal, leader_.value_or(core::ControlId()), {}};
  // A member knows the others itself.
  if (membership().find(message.from) == nullptr) reply.members = membership().members;
  send(message.from, std::move(reply));
}

std::optional<JoinRefusal> Node::admit(const Member& joiner) {
  if (role_ != Role::kLeader || transfer_target_) return JoinRefusal::kNotLeader;
  if (membership().find(joiner.id) != nullptr) return std::nullopt;
  if (may_change_membership().has_failure()) return JoinRefusal::kChangePending;
  const auto& members = membership().members;
  const auto same_place = std::find_if(members.rbegin(), members.rend(), [&](const Member& member) {
    return member.internal == joiner.internal;
  });
  if (same_place == members.rend()) {
    // Otherwise strangers are let in by operators only.
    if (!config_.open_membership) return JoinRefusal::kNotAllowed;
    admit_stranger(joiner);
    return std::nullopt;
  }
  // At the place of a known member the newcomer stands in its stead, provided that the known one is silent:
  // as long as makes a follower doubt its leader, for a member that lives answers several heartbeats in that
  // time. A longer wait can outlast a short reign, and a second disk that is lost meanwhile leaves no
  // majority. Letting it in early is safe: it is a learner, which counts in no majority, until it holds all
  // that is committed.
  if (same_place->id == config_.id) return JoinRefusal::kPlaceIsTaken;
  if (silence_of(same_place->id) < config_.election_timeout_min) return JoinRefusal::kPlaceIsTaken;
  const auto& known = *same_place;
  auto changed = membership();
  const bool known_learns = known.role == MemberRole::kLearner;
  if (known_learns) {
    std::erase_if(changed.members, [&](const Member& member) { return member.id == known.id; });
  }
  changed.members.push_back(joiner);
  changed.members.back().role = MemberRole::kLearner;
  changed.members.back().replaces = known_learns ? known.replaces : known.id;
  changed.members.back().replaces_only_silent = known_learns && known.replaces_only_silent;
  const Member learner = changed.members.back();
  append_membership(std::move(changed));
  note_decision(MembershipReason::kJoins, learner);
  return std::nullopt;
}

core::ControlId Node::unreplaced_silent_voter() const {
  const auto& members = membership().members;
  for (const auto& member : members) {
    const bool silent = member.role == MemberRole::kVoter && member.id != config_.id &&
                        silence_of(member.id) >= config_.election_timeout_min;
    const bool replaced = std::any_of(members.begin(), members.end(),
                                      [&](const Member& other) { return other.replaces == member.id; });
    if (silent && !replaced) return member.id;
  }
  return {};
}

void Node::admit_stranger(const Member& joiner) {
  auto changed = membership();
  changed.members.push_back(joiner);
  changed.members.back().role = MemberRole::kLearner;
  changed.members.back().replaces = unreplaced_silent_voter();
  changed.members.back().replaces_only_silent = !changed.members.back().replaces.empty();
  const Member learner = changed.members.back();
  append_membership(std::move(changed));
  note_decision(MembershipReason::kJoins, learner);
}

}  // namespace pipitpond::raft
