#include "configuration/state_machine.hpp"

#include <xxhash.h>

#include <utility>
#include <variant>

#include "configuration/validation.hpp"
#include "wire/codec.hpp"

namespace pipitpond::configuration {
namespace {

using protocol::Change;
using protocol::Revision;

/// First field of a snapshot; raised when the format changes.
constexpr std::uint32_t kSnapshotVersion = 1;

std::uint64_t fingerprint_of(const Command& command) {
  const std::string bytes = wire::pack(command);
  return XXH64(bytes.data(), bytes.size(), 0);
}

CommandResult refusal(core::ErrorKind kind, std::string message, std::string remedy) {
  CommandResult result;
  result.error = core::Error{kind, std::move(message), std::move(remedy), 0};
  return result;
}

}  // namespace

CommandResult StateMachine::apply(std::uint64_t index, const Command& command) {
  if (index <= state_.applied_index) {
    return refusal(core::ErrorKind::kConflict, "The log entry was applied before.",
                   "Ask for the outcome again with the same key.");
  }
  state_.applied_index = index;
  if (command.key.empty()) {
    return execute(command);
  }
  if (command.key.value().size() > kMaxKeyBytes) {
    return refusal(core::ErrorKind::kInvalidArgument, "The key is too long.",
                   "Use at most " + std::to_string(kMaxKeyBytes) + " bytes.");
  }
  const std::uint64_t fingerprint = fingerprint_of(command);
  const auto kept = state_.answers.find(command.key);
  if (kept == state_.answers.end()) {
    CommandResult result = execute(command);
    keep_answer(command.key, fingerprint, result);
    return result;
  }
  if (kept->second.fingerprint != fingerprint) {
    return refusal(core::ErrorKind::kInvalidArgument,
                   "Key " + command.key.value() + " was used for another change.", "Use a new key.");
  }
  CommandResult first = kept->second.result;
  first.replayed = true;
  return first;
}

PlanContext StateMachine::context_for(const Operation& operation, Revision expected) const {
  return PlanContext{state_.configuration, expected, promoted_members_for(operation),
                     &state_.removed_databases, &state_.removed_births};
}

Plan StateMachine::plan(const Operation& operation) const {
  return configuration::plan(context_for(operation, 0), operation);
}

CommandResult StateMachine::execute(const Command& command) {
  const Plan planned =
      configuration::plan(context_for(command.operation, command.expected_revision), command.operation);
  CommandResult result;
  result.error = planned.error;
  result.current_revision = planned.current_revision;
  if (planned.error) {
    return result;
  }
  result.revision = planned.current_revision;
  if (planned.change) {
    accept(command, *planned.change);
    result.revision = planned.change->revision;
    result.changed = true;
  }
  result.current_revision = result.revision;
  return result;
}

void StateMachine::accept(const Command& command, const Change& change) {
  if (const auto* registration = std::get_if<RegisterDatabase>(&command.operation)) {
    remember_removals(change);
    forget_removal(registration->database.id);
  } else if (std::holds_alternative<RemoveDatabase>(command.operation)) {
    remember_removals(change);
  }
  protocol::apply(state_.configuration, change);
  keep_change(change);
  if (const auto* complete = std::get_if<CompletePrimaryChange>(&command.operation)) {
    remember_members(*complete);
  } else if (const auto* put = std::get_if<PutRouteTable>(&command.operation)) {
    state_.route_document = put->document;
  }
}

void StateMachine::remember_members(const CompletePrimaryChange& complete) {
  Members members;
  for (const protocol::Database& database : state_.configuration.groups.at(complete.group).databases) {
    members.insert(database.id);
  }
  state_.promoted_members[complete.group] = std::move(members);
}

// A heartbeat that a cut has delayed may arrive after its sender has crashed and another database has taken
// the address: it must not put the sender back in its successor's place.
void StateMachine::remember_removals(const Change& change) {
  for (const protocol::Group& next : change.groups) {
    const auto current = state_.configuration.groups.find(next.name);
    if (current == state_.configuration.groups.end()) {
      continue;
    }
    for (const protocol::Database& database : current->second.databases) {
      if (protocol::find_database(next, database.id) == nullptr) {
        remember_removal(database);
      }
    }
  }
}

void StateMachine::remember_removal(const protocol::Database& database) {
  if (!state_.removed_databases.insert(database.id).second) {
    return;
  }
  if (database.born > 0) {
    state_.removed_births[database.id] = database.born;
  }
  state_.removal_order.push_back(database.id);
  while (state_.removal_order.size() > limits_.removed_databases) {
    forget_removal(core::DatabaseId(state_.removal_order.front()));
  }
}

void StateMachine::forget_removal(const core::DatabaseId& database) {
  if (state_.removed_databases.erase(database) > 0) {
    state_.removed_births.erase(database);
    std::erase(state_.removal_order, database);
  }
}

void StateMachine::keep_change(const Change& change) {
  const std::size_t bytes = wire::pack(change).size();
  state_.changes.push_back(KeptChange{change, bytes});
  state_.change_bytes += bytes;
  while (state_.changes.size() > limits_.recent_changes ||
         state_.change_bytes > limits_.recent_change_bytes) {
    state_.change_bytes -= state_.changes.front().bytes;
    state_.changes.pop_front();
  }
}

void StateMachine::keep_answer(const core::RequestKey& key, std::uint64_t fingerprint,
                               const CommandResult& result) {
  state_.answers[key] = KeptAnswer{fingerprint, result};
  state_.answer_order.push_back(key);
  while (state_.answer_order.size() > limits_.answers) {
    state_.answers.erase(state_.answer_order.front());
    state_.answer_order.pop_front();
  }
}

Members StateMachine::promoted_members_for(const Operation& operation) const {
  const auto* put = std::get_if<PutGroup>(&operation);
  if (put == nullptr) {
    return {};
  }
  const auto found = state_.promoted_members.find(put->name);
  return found == state_.promoted_members.end() ? Members{} : found->second;
}

// The changes since a daemon's start are a whole day's: each of a route table repeats the table. After a loss
// of power of 291 daemons, the 108 changes of half a minute came to daemons 0.8 s after control was up, and
// their first answers 1.0 s after.
bool StateMachine::costs_more_than_a_snapshot(Revision revision) const {
  std::size_t bytes = 0;
  for (auto kept = state_.changes.rbegin(); kept != state_.changes.rend(); ++kept) {
    if (kept->change.revision <= revision) {
      break;
    }
    bytes += kept->bytes;
  }
  return bytes > kChangesAlwaysSent && bytes > wire::pack(state_.configuration).size();
}

protocol::FetchReply StateMachine::changes_after(Revision revision) const {
  protocol::FetchReply reply;
  const Revision current = state_.configuration.revision;
  if (revision >= current) {
    return reply;
  }
  const bool kept = !state_.changes.empty() && state_.changes.front().change.revision <= revision + 1;
  if (!kept || costs_more_than_a_snapshot(revision)) {
    reply.snapshot = state_.configuration;
    return reply;
  }
  const auto first = state_.changes.size() - static_cast<std::size_t>(current - revision);
  for (std::size_t position = first; position < state_.changes.size(); ++position) {
    reply.changes.push_back(state_.changes.at(position).change);
  }
  return reply;
}

std::string StateMachine::snapshot() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(kSnapshotVersion);
  packer.pack(state_);
  return {buffer.data(), buffer.size()};
}

core::Result<void> StateMachine::restore(std::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2 ||
        object.via.array.ptr[0].as<std::uint32_t>() != kSnapshotVersion) {
      throw msgpack::type_error();
    }
    state_ = object.via.array.ptr[1].as<State>();
    return core::outcome::success();
  } catch (const std::exception& error) {
    return core::fail(core::ErrorKind::kCorrupt, std::string("The snapshot can't be read: ") + error.what(),
                      "Replace this control replica: see docs/operators/replace-control-machine.md.");
  }
}

}  // namespace pipitpond::configuration
