#include "control/membership_log.hpp"

#include "logging/logging.hpp"

namespace pipitpond::control {
namespace {

const char* name_of(raft::MembershipReason reason) {
  switch (reason) {
    case raft::MembershipReason::kOperator:
      return "operator";
    case raft::MembershipReason::kJoins:
      return "joins";
    case raft::MembershipReason::kCaughtUp:
      return "caught_up";
    case raft::MembershipReason::kReplaced:
      return "replaced";
    case raft::MembershipReason::kSilent:
      return "silent";
  }
  return "unknown";
}

}  // namespace

std::string describe(const std::vector<core::ControlId>& replicas) {
  std::string text;
  for (const core::ControlId& replica : replicas) {
    text += (text.empty() ? "" : ",") + replica.value();
  }
  return logging::field(text);
}

void log_decision(const raft::MembershipDecision& decision) {
  const raft::Member& member = decision.member;
  logging::logger("control")->info(
      "event=membership_decided reason={} member={} in_place_of={} silent_ms={} voters={} in_contact={} "
      "unheard={}",
      name_of(decision.reason), logging::field(member.id.value()), logging::field(member.replaces.value()),
      core::to_millis(decision.silent_for), decision.voters, decision.voters_in_contact,
      decision.voters_unheard);
}

void log_members(raft::Index index, const raft::Membership& membership) {
  std::vector<core::ControlId> voters;
  std::vector<core::ControlId> learners;
  for (const raft::Member& member : membership.members) {
    (member.role == raft::MemberRole::kVoter ? voters : learners).push_back(member.id);
  }
  logging::logger("control")->info("event=members_in_force index={} voters={} learners={}", index,
                                   describe(voters), describe(learners));
}

void log_candidacy(const raft::Node& node) {
  const core::LogPosition last = node.log().last();
  const raft::LostCandidacy& lost = node.lost_candidacy();
  logging::logger("control")->info(
      "event=candidacy term={} count={} last={}.{} voters={} lost_before_granted={} lost_before_refused={} "
      "lost_before_unanswered={}",
      node.term(), node.candidacies(), last.term, last.index, node.membership().voter_count(),
      describe(lost.granted), describe(lost.refused), describe(lost.unanswered));
}

}  // namespace pipitpond::control
