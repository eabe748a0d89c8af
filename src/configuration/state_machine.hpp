// The replicated state machine of control: the configuration, the last changes, and the first answer that
// each operator's key got. No I/O. Two machines that applied the same commands are equal byte for byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "configuration/command.hpp"
#include "configuration/plan.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::configuration {

/// Bounds of what is kept besides the configuration itself.
struct Limits {
  std::size_t recent_changes = 2'000;
  std::size_t recent_change_bytes = 8UL * 1024 * 1024;
  /// Answers kept for resent keys, oldest out. A change resent later than that is taken for a new one; its
  /// revision is then no longer the current one, so that it is refused as a conflict.
  std::size_t answers = 10'000;
  /// Removed databases that are remembered, so that a late message does not register one again.
  std::size_t removed_databases = 256;
};

/// First answer of a key.
struct KeptAnswer {
  std::uint64_t fingerprint = 0;  ///< Of the command, so that a key used for something else is noticed.
  CommandResult result;

  MSGPACK_DEFINE(fingerprint, result);
};

/// A change with its packed size.
struct KeptChange {
  protocol::Change change;
  std::size_t bytes = 0;

  MSGPACK_DEFINE(change, bytes);
};

/// Changes of fewer bytes are not weighed against a snapshot: a link of 2 Mbit/s carries them in 16 ms.
inline constexpr std::size_t kChangesAlwaysSent = 4096;

/// Replicated state.
class StateMachine {
 public:
  StateMachine() = default;
  explicit StateMachine(Limits limits) : limits_(limits) {}

  /// Applies the command at a log index. Indexes grow; one that was applied already changes nothing and is
  /// answered as a conflict.
  CommandResult apply(std::uint64_t index, const Command& command);

  /// What an operation of control itself would do now.
  [[nodiscard]] Plan plan(const Operation& operation) const;

  [[nodiscard]] const protocol::Configuration& configuration() const { return state_.configuration; }
  /// The route table in force as its author wrote it; empty before the first.
  [[nodiscard]] const std::string& route_document() const { return state_.route_document; }
  /// Log index of the last applied command.
  [[nodiscard]] std::uint64_t applied_index() const { return state_.applied_index; }

  /// What follows a revision: changes, or all of it when they are no longer kept or `revision` is unknown
  /// here.
  [[nodiscard]] protocol::FetchReply changes_after(protocol::Revision revision) const;

  /// The whole state as bytes.
  [[nodiscard]] std::string snapshot() const;
  /// Replaces the state; kCorrupt, and nothing changed, when the bytes are not a snapshot.
  core::Result<void> restore(std::string_view bytes);

 private:
  struct State {
    std::uint64_t applied_index = 0;
    protocol::Configuration configuration;
    std::deque<KeptChange> changes;  ///< Consecutive, the last being configuration.revision.
    std::size_t change_bytes = 0;
    std::map<core::RequestKey, KeptAnswer> answers;
    std::deque<core::RequestKey> answer_order;  ///< Oldest first.
    std::map<core::GroupName, Members> promoted_members;
    std::string route_document;  ///< The route table in force as its author wrote it.
    Members removed_databases;
    std::deque<core::DatabaseId> removal_order;  ///< Oldest first.
    LastBirths removed_births;                   ///< Of removed databases that said when they started.

    MSGPACK_DEFINE(applied_index, configuration, changes, change_bytes, answers, answer_order,
                   promoted_members, route_document, removed_databases, removal_order, removed_births);
  };

  [[nodiscard]] bool costs_more_than_a_snapshot(protocol::Revision revision) const;
  CommandResult execute(const Command& command);
  void accept(const Command& command, const protocol::Change& change);
  void remember_members(const CompletePrimaryChange& complete);
  /// Before a change of what databases say of themselves is applied: which of them it removes.
  void remember_removals(const protocol::Change& change);
  void remember_removal(const protocol::Database& database);
  void forget_removal(const core::DatabaseId& database);
  void keep_change(const protocol::Change& change);
  void keep_answer(const core::RequestKey& key, std::uint64_t fingerprint, const CommandResult& result);
  [[nodiscard]] Members promoted_members_for(const Operation& operation) const;
  [[nodiscard]] PlanContext context_for(const Operation& operation, protocol::Revision expected) const;

  Limits limits_;
  State state_;
};

}  // namespace pipitpond::configuration
