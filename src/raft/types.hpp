// Data types of the Raft log: entries, membership, snapshots and the durable state of one replica.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::raft {

/// Raft term of the control replicas. Unrelated to the term of a database group.
using Term = core::Term;
/// Position of an entry in the log; the first entry has index 1.
using Index = std::uint64_t;

/// Whether a member counts towards quorums: voters do, learners only receive the log.
enum class MemberRole : std::uint8_t { kLearner, kVoter };

/// One control replica of the cluster.
struct Member {
  core::ControlId id;
  core::Endpoint internal;   ///< Endpoint for other replicas and daemons.
  core::Endpoint operators;  ///< Endpoint for operators.
  MemberRole role = MemberRole::kVoter;
  /// The member that this one replaces and that is removed once this one is a voter. Empty: none.
  core::ControlId replaces;

  auto operator<=>(const Member&) const = default;

  MSGPACK_DEFINE(id, internal, operators, role, replaces);
};

/// The members of the cluster: all control replicas, voters and learners.
struct Membership {
  std::vector<Member> members;

  /// The member with this id; null if there is none.
  [[nodiscard]] const Member* find(const core::ControlId& id) const;
  [[nodiscard]] bool is_voter(const core::ControlId& id) const;
  [[nodiscard]] std::size_t voter_count() const;
  /// Number of voters that form a majority. 1 for an empty membership, so that zero votes never suffice.
  [[nodiscard]] std::size_t quorum() const;

  auto operator<=>(const Membership&) const = default;

  MSGPACK_DEFINE(members);
};

/// Type of a log entry.
enum class EntryKind : std::uint8_t {
  kNoOp,        ///< No-op that a new leader appends; committing it also commits all earlier entries.
  kCommand,     ///< Command for the replicated state machine.
  kMembership,  ///< New Membership; takes effect when it is appended, before it is committed.
};

/// One entry of the replicated log.
struct Entry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kCommand;
  std::string command;    ///< kCommand only.
  Membership membership;  ///< kMembership only.

  auto operator<=>(const Entry&) const = default;

  MSGPACK_DEFINE(index, term, kind, command, membership);
};

/// State of the state machine after all entries up to and including `index` are applied.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string state;

  auto operator<=>(const Snapshot&) const = default;

  MSGPACK_DEFINE(index, term, membership, state);
};

/// Raft state that must be durable before a replica answers messages.
struct HardState {
  Term term = 0;
  core::ControlId voted_for;  ///< Candidate that got this replica's vote in `term`; empty: none.
  Index commit = 0;           ///< Commit index; the durable copy may lag behind.

  auto operator<=>(const HardState&) const = default;

  MSGPACK_DEFINE(term, voted_for, commit);
};

/// Durable state that a replica starts from. A replica that joins an existing cluster starts with an empty
/// one and receives everything from the leader.
struct PersistedState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;  ///< Contiguous; may start at or before the snapshot's index.
};

/// Initial state of every voter of a new cluster: a snapshot at index 1 and term 1 with the initial
/// membership and the initial state of the state machine. All voters must pass the same arguments.
PersistedState bootstrap(Membership membership, std::string state);

}  // namespace pipitpond::raft

MSGPACK_ADD_ENUM(pipitpond::raft::MemberRole);
MSGPACK_ADD_ENUM(pipitpond::raft::EntryKind);
