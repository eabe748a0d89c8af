#include "control_world/oracle.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <variant>

#include "wire/codec.hpp"

namespace pipitpond::control_world {

namespace {

template <typename Message>
std::uint64_t hash_of(const Message& message) {
  const auto bytes = wire::pack(message);
  return XXH64(bytes.data(), bytes.size(), 0);
}

const configuration::PutZone* zone_change(const configuration::Command& command) {
  return std::get_if<configuration::PutZone>(&command.operation);
}

std::string describe(const raft::Membership& membership) {
  std::string text;
  for (const auto& member : membership.members) {
    text += member.id.value() + (member.role == raft::MemberRole::kVoter ? " " : "(learner) ");
    if (!member.replaces.empty()) text += "in place of " + member.replaces.value() + " ";
  }
  return text;
}

}  // namespace

void Oracle::require(bool holds, const std::string& otherwise) {
  if (holds) return;
  violations_.push_back(otherwise);
  trace_.line("oracle", "VIOLATION: {}", otherwise);
}

void Oracle::on_leader(const core::ControlId& replica, raft::Term term,
                       const std::vector<core::ControlId>& others) {
  const auto [known, is_new] = leaders_.emplace(term, replica);
  require(known->second == replica,
          fmt::format("Term {} has two leaders, {} and {}.", term, known->second.value(), replica.value()));
  if (!is_new) return;
  for (const auto& other : others) {
    require(false, fmt::format("{} was elected in term {} while {} was still sure of its quorum.",
                               replica.value(), term, other.value()));
  }
  newest_leader_term_ = std::max(newest_leader_term_, term);
  trace_.line(replica.value(), "leads term {}", term);
}

void Oracle::on_message(const raft::Message& message) {
  if (const auto* request = std::get_if<raft::VoteRequest>(&message.body)) {
    candidates_[{message.from, message.term}] = request->last;
    note_vote(message.from, message.term, message.from);
  } else if (const auto* vote = std::get_if<raft::VoteReply>(&message.body)) {
    if (vote->granted) note_vote(message.from, message.term, message.to);
  } else if (const auto* reply = std::get_if<raft::AppendReply>(&message.body)) {
    auto& index = acknowledged_[message.from][message.term];
    if (reply->matched) index = std::max(index, reply->match);
  }
}

void Oracle::note_vote(const core::ControlId& voter, raft::Term term, const core::ControlId& candidate) {
  const auto [known, is_new] = votes_.emplace(std::pair(voter, term), candidate);
  require(known->second == candidate, fmt::format("{} voted in term {} for {} and for {}.", voter.value(),
                                                  term, known->second.value(), candidate.value()));
  check_vote(voter, term, candidate);
}

void Oracle::check_vote(const core::ControlId& voter, raft::Term term, const core::ControlId& candidate) {
  const auto last = candidates_.find({candidate, term});
  if (last == candidates_.end()) return;
  for (const auto& [acknowledged_term, index] : acknowledged_[voter]) {
    // Entries of that very term: its leader wrote one at each index, and never overwrote it.
    const auto span = committed_.find(acknowledged_term);
    if (acknowledged_term >= term || span == committed_.end()) continue;
    const core::LogPosition held{acknowledged_term, std::min(index, span->second.last)};
    if (held.index < span->second.first) continue;
    require(
        last->second >= held,
        fmt::format("{} voted in term {} for {}, whose log lacks the committed entry {} that the voter had "
                    "acknowledged.",
                    voter.value(), term, candidate.value(), held.index));
  }
}

void Oracle::on_applied(const core::ControlId& replica, const raft::Entry& entry,
                        const protocol::Configuration& configuration) {
  const auto [known, is_new] = entries_.emplace(entry.index, hash_of(entry));
  require(
      known->second == hash_of(entry),
      fmt::format("{} applied another entry at index {} than was committed.", replica.value(), entry.index));
  if (is_new) {
    require(entry.index == last_index_ + 1,
            fmt::format("{} applied entry {} after {}.", replica.value(), entry.index, last_index_));
    last_index_ = entry.index;
    committed_.emplace(entry.term, Span{entry.index, entry.index}).first->second.last = entry.index;
    model_entry(entry, configuration.revision);
  }
  note_configuration(replica.value(), configuration);
}

void Oracle::on_restored(const core::ControlId& replica, raft::Index index,
                         const protocol::Configuration& configuration) {
  require(index <= last_index_,
          fmt::format("{} took over a snapshot of index {}, which nobody applied.", replica.value(), index));
  note_configuration(replica.value(), configuration);
}

void Oracle::note_configuration(const std::string& who, const protocol::Configuration& configuration) {
  const auto hash = hash_of(configuration);
  const auto [known, is_new] = configurations_.emplace(configuration.revision, hash);
  require(known->second == hash,
          fmt::format("{} has another configuration of revision {} than the one committed.", who,
                      configuration.revision));
}

void Oracle::model_entry(const raft::Entry& entry, protocol::Revision revision_after) {
  if (entry.kind == raft::EntryKind::kMembership)
    trace_.line("oracle", "members: {}", describe(entry.membership));
  if (entry.kind == raft::EntryKind::kCommand) {
    const auto command = wire::unpack<configuration::Command>(entry.command);
    require(command.has_value(), "A committed command can't be read.");
    const auto* put = command ? zone_change(command.value()) : nullptr;
    if (put != nullptr) model_zone(entry.index, command.value(), *put, revision_after);
  }
  require(revision_after >= revision_, "The revision went back.");
  revision_ = revision_after;
}

void Oracle::model_zone(raft::Index index, const configuration::Command& command,
                        const configuration::PutZone& put, protocol::Revision revision_after) {
  const ChangeTag& tag = put.region.value();
  if (outcomes_.contains(tag)) {
    require(revision_after == revision_, fmt::format("Change {} was applied twice.", tag));
    return;
  }
  require(index > sent_after_[tag],
          fmt::format("Change {} was ordered before one that was answered before it was sent.", tag));
  auto& zone = zones_[put.name];
  Outcome outcome{index, command.expected_revision == zone.revision, zone.revision};
  const auto expected = outcome.accepted ? revision_ + 1 : revision_;
  require(revision_after == expected,
          fmt::format("Change {} of {} at {} led to revision {}; the model has it at {} and expects {}.", tag,
                      put.name.value(), command.expected_revision, revision_after, zone.revision, expected));
  if (outcome.accepted) {
    zone = ZoneModel{tag, revision_after};
    outcome.revision = revision_after;
  }
  outcomes_.emplace(tag, outcome);
}

void Oracle::on_lease_granted(const core::ControlId& replica, raft::Term term, const core::DaemonId& daemon) {
  require(term >= newest_leader_term_,
          fmt::format("{} granted {} a lease in term {} although term {} has a leader.", replica.value(),
                      daemon.value(), term, newest_leader_term_));
}

void Oracle::on_daemon_applied(const core::DaemonId& daemon, const protocol::Configuration& configuration) {
  auto& last = daemon_revisions_[daemon];
  require(configuration.revision >= last,
          fmt::format("{} applied revision {} after {}.", daemon.value(), configuration.revision, last));
  last = std::max(last, configuration.revision);
  const auto known = configurations_.find(configuration.revision);
  const bool committed = known != configurations_.end() && known->second == hash_of(configuration);
  require(committed || configuration.revision == 0,
          fmt::format("{} applied a configuration of revision {} that was not committed.", daemon.value(),
                      configuration.revision));
  trace_.line(daemon.value(), "applied revision {}", configuration.revision);
}

void Oracle::on_change_sent(const configuration::Command& command) {
  const auto* put = zone_change(command);
  sent_after_[put->region.value()] = answered_index_;
}

void Oracle::on_change_answered(const configuration::Command& command,
                                const configuration::CommandResult& result, const Answerer& answerer) {
  const ChangeTag& tag = zone_change(command)->region.value();
  const Answer answer{!result.error.has_value(), result.error ? result.current_revision : result.revision};
  trace_.line("operator", "{} is {} at revision {}", tag, answer.accepted ? "accepted" : "refused",
              answer.revision);
  const auto outcome = outcomes_.find(tag);
  require(outcome != outcomes_.end(), fmt::format("Change {} was answered but not committed.", tag));
  if (outcome == outcomes_.end()) return;
  const bool typed = answer.accepted || result.error->kind == core::ErrorKind::kConflict;
  require(typed, fmt::format("Change {} was refused with another error than a conflict.", tag));
  require(answer == Answer{outcome->second.accepted, outcome->second.revision},
          fmt::format("Change {} was answered with {} at {}; its first outcome is {} at {}.", tag,
                      answer.accepted ? "accepted" : "refused", answer.revision,
                      outcome->second.accepted ? "accepted" : "refused", outcome->second.revision));
  const auto [first, is_new] = answers_.emplace(tag, FirstAnswer{answer, answerer});
  require(first->second.answer == answer, fmt::format("Change {} got two different answers.", tag));
  if (!is_new) note_resend(first->second.answerer, answerer);
  if (is_new && !answer.accepted) ++conflicts_;
  answered_index_ = std::max(answered_index_, outcome->second.index);
  if (answer.accepted) answered_revision_ = std::max(answered_revision_, answer.revision);
}

void Oracle::note_resend(const Answerer& first, const Answerer& again) {
  const bool same_machine = first.machine == again.machine;
  if (!same_machine) ++resends_.to_another_machine;
  if (again.elections > first.elections) ++resends_.after_leader_change;
  if (same_machine && again.life > first.life) ++resends_.after_restart;
}

void Oracle::on_read_answered(const ReadAnswer& answer, protocol::Revision least) {
  const auto revision = answer.configuration.revision;
  require(
      revision >= least,
      fmt::format("A read showed revision {} as current although {} was answered before.", revision, least));
  require(revision <= revision_, fmt::format("A read showed revision {}, which is not committed.", revision));
  answered_revision_ = std::max(answered_revision_, revision);
}

void Oracle::check_final(const core::ControlId& replica, const protocol::Configuration& configuration) {
  require(configuration.revision == revision_,
          fmt::format("{} ends at revision {} and not at {}.", replica.value(), configuration.revision,
                      revision_));
  for (const auto& [name, model] : zones_) {
    const auto zone = configuration.zones.find(name);
    const bool same = zone != configuration.zones.end() && zone->second.revision == model.revision &&
                      zone->second.region.value() == model.region;
    require(same || model.revision == 0,
            fmt::format("{} has lost the last change of zone {}.", replica.value(), name.value()));
  }
}

}  // namespace pipitpond::control_world
