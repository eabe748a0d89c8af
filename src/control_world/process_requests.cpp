// Requests of daemons and operators, and the duties of a leader, of ControlProcess.
#include <utility>
#include <variant>

#include "control_world/process.hpp"
#include "wire/codec.hpp"

namespace pipitpond::control_world {

using simulation::Mechanism;

namespace {

core::Error not_leader() {
  return core::Error{core::ErrorKind::kNotLeader, "This control replica does not lead.", "Ask another one.",
                     200};
}

core::Error unknown_fate() {
  return core::Error{core::ErrorKind::kTimeout, "The change was not confirmed.",
                     "Send it again with the same key.", 500};
}

}  // namespace

configuration::Command ControlProcess::as_proposed(configuration::Command command) const {
  if (!fleet_.switches.on(Mechanism::kRequestKeys)) command.key = {};
  return command;
}

configuration::Command ControlProcess::as_applied(configuration::Command command) const {
  const auto* put = std::get_if<configuration::PutZone>(&command.operation);
  if (put == nullptr || fleet_.switches.on(Mechanism::kRevisionCheck)) return command;
  const auto& zones = machine_.configuration().zones;
  const auto zone = zones.find(put->name);
  command.expected_revision = zone == zones.end() ? 0 : zone->second.revision;
  return command;
}

void ControlProcess::change(const configuration::Command& command, AnswerChange answer) {
  if (!leading_) {
    answer(ChangeAnswer{not_leader(), {}});
    return;
  }
  const auto position = node_.propose(place_.host.now(), wire::pack(as_proposed(command)));
  if (position.has_failure()) {
    answer(ChangeAnswer{position.error(), {}});
    return;
  }
  proposals_[position.value().index] = Proposal{position.value().term, std::move(answer)};
  work();
}

void ControlProcess::propose_own(configuration::Operation operation) {
  configuration::Command command;
  command.operation = std::move(operation);
  (void)node_.propose(place_.host.now(), wire::pack(command));
}

void ControlProcess::read(AnswerRead answer) {
  const auto token = next_read_++;
  const auto asked = node_.read_index(place_.host.now(), token);
  if (asked.has_failure()) {
    answer(ReadAnswer{asked.error(), {}});
    return;
  }
  reads_[token] = std::move(answer);
  work();
}

void ControlProcess::align_controls() {
  const auto& controls = machine_.configuration().controls;
  for (const auto& member : node_.membership().members) {
    if (controls.contains(member.id)) continue;
    propose_own(configuration::RecordControl{member.id, member.internal, member.operators});
  }
  for (const auto& [id, control] : controls) {
    if (node_.membership().find(id) == nullptr) propose_own(configuration::RemoveControl{id});
  }
}

core::Result<void> ControlProcess::change_membership(const raft::MembershipChange& change) {
  const auto position = node_.propose_membership(place_.host.now(), change);
  if (position.has_failure()) return position.error();
  work();
  return core::outcome::success();
}

void ControlProcess::transfer_leadership() {
  (void)node_.transfer_leadership(place_.host.now());
  work();
}

std::optional<core::Endpoint> ControlProcess::leader_endpoint() const {
  if (!node_.leader()) return std::nullopt;
  const auto* leader = node_.membership().find(*node_.leader());
  return leader == nullptr ? std::nullopt : std::optional(leader->internal);
}

void ControlProcess::heartbeat(const protocol::Heartbeat& heartbeat, const AnswerHeartbeat& answer) {
  protocol::HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  if (leading_) answer_heartbeat_as_leader(heartbeat, reply);
  reply.leader = leader_endpoint().value_or(core::Endpoint{});
  for (const auto& member : node_.membership().members) reply.control.push_back(member.internal);
  const bool can_ask_a_majority = !leading_ && !node_.leader();
  if (can_ask_a_majority && fleet_.switches.on(Mechanism::kLeaderlessReads)) {
    answer_when_complete(reply, answer);
    return;
  }
  work();
  answer(reply);
}

void ControlProcess::answer_when_complete(const protocol::HeartbeatReply& reply,
                                          const AnswerHeartbeat& answer) {
  const auto token = next_read_++;
  reads_[token] = [told = reply, answer](const ReadAnswer& shown) mutable {
    if (!shown.failure) told.complete = shown.configuration.revision;
    answer(told);
  };
  node_.read_without_leader(place_.host.now(), token);
  work();
}

void ControlProcess::answer_heartbeat_as_leader(const protocol::Heartbeat& heartbeat,
                                                protocol::HeartbeatReply& reply) {
  const auto& daemons = machine_.configuration().daemons;
  const auto known = daemons.find(heartbeat.daemon);
  const bool outdated = known != daemons.end() && known->second.incarnation > heartbeat.incarnation;
  if (outdated) {
    reply.current = machine_.configuration().revision;
  } else {
    if (leases_.needs_admission(heartbeat)) {
      propose_own(configuration::AdmitDaemon{heartbeat.daemon, heartbeat.incarnation, heartbeat.zone,
                                             heartbeat.internal, heartbeat.callers});
    }
    const auto now = place_.host.now();
    reply = leases_.on_heartbeat(now, heartbeat, node_.has_quorum(now));
    if (reply.lease_ms > 0) {
      fleet_.oracle.on_lease_granted(place_.identity, node_.term(), heartbeat.daemon);
    }
  }
  reply.from_leader = true;
}

protocol::FetchReply ControlProcess::fetch(const protocol::FetchRequest& request) const {
  return machine_.changes_after(request.after);
}

void ControlProcess::note_leadership_loss() {
  if (node_.role() == raft::Role::kLeader) return;
  fail_pending();
  if (!leading_) return;
  leading_ = false;
  fleet_.trace.line(place_.host.name(), "leads no longer");
  leases_.on_leadership(place_.host.now(), false);
}

void ControlProcess::note_leadership_gain() {
  if (leading_ || !node_.has_committed_in_current_term()) return;
  leading_ = true;
  const auto now = place_.host.now();
  leases_.on_configuration(now, machine_.configuration());
  leases_.on_leadership(now, true);
}

void ControlProcess::on_configuration() {
  told_revision_ = machine_.configuration().revision;
  leases_.on_configuration(place_.host.now(), machine_.configuration());
}

void ControlProcess::finish_proposal(const raft::Entry& entry, const configuration::CommandResult& result) {
  const auto found = proposals_.find(entry.index);
  if (found == proposals_.end()) return;
  const auto proposal = std::move(found->second);
  proposals_.erase(found);
  proposal.answer(proposal.term == entry.term ? ChangeAnswer{std::nullopt, result}
                                              : ChangeAnswer{not_leader(), {}});
}

void ControlProcess::answer_reads(const raft::Ready& ready) {
  for (const auto& read : ready.reads) {
    const auto found = reads_.find(read.token);
    if (found == reads_.end()) continue;
    if (read.confirmed) {
      confirmed_reads_.emplace(read.index, read.token);
      continue;
    }
    found->second(ReadAnswer{not_leader(), {}});
    reads_.erase(found);
  }
  finish_reads();
}

void ControlProcess::finish_reads() {
  while (!confirmed_reads_.empty() && confirmed_reads_.begin()->first <= applied_) {
    const auto found = reads_.find(confirmed_reads_.begin()->second);
    confirmed_reads_.erase(confirmed_reads_.begin());
    if (found == reads_.end()) continue;
    found->second(ReadAnswer{std::nullopt, machine_.configuration()});
    reads_.erase(found);
  }
}

void ControlProcess::fail_pending() {
  for (const auto& [index, proposal] : std::exchange(proposals_, {})) {
    proposal.answer(ChangeAnswer{unknown_fate(), {}});
  }
  for (const auto& [token, answer] : std::exchange(reads_, {})) answer(ReadAnswer{not_leader(), {}});
}

}  // namespace pipitpond::control_world
