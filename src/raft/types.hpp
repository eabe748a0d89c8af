// What Raft keeps: log entries, membership, snapshots and the durable state of one replica.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::raft {

/// Number of a leader's reign over the control replicas. Not the term of a database group.
using Term = core::Term;
/// Number of a log entry; the first is 1.
using Index = std::uint64_t;

/// Whether a member counts towards quorums.
enum class MemberRole : std::uint8_t { kLearner, kVoter };

/// One control replica of the membership.
struct Member {
  core::ControlId id;
  core::Endpoint internal;   ///< Where the other replicas and the daemons reach it.
  core::Endpoint operators;  ///< Where operators reach it.
  MemberRole role = MemberRole::kVoter;
  /// The member in whose place this one was let in, which is removed once this one votes. Empty: none.
  core::ControlId replaces;
  /// Nobody asked for that removal, and that member's disk may be whole: it stays while it is heard.
  bool replaces_only_silent = false;

  auto operator<=>(const Member&) const = default;

  MSGPACK_DEFINE(id, internal, operators, role, replaces, replaces_only_silent);
};

/// All control replicas.
struct Membership {
  std::vector<Member> members;

  /// The member of this identity, or null.
  [[nodiscard]] const Member* find(const core::ControlId& id) const;
  [[nodiscard]] bool is_voter(const core::ControlId& id) const;
  [[nodiscard]] std::size_t voter_count() const;
  /// Voters that make a majority; 1 for an empty membership, so that nothing is ever decided by none.
  [[nodiscard]] std::size_t quorum() const;

  auto operator<=>(const Membership&) const = default;

  MSGPACK_DEFINE(members);
};

/// What a log entry holds.
enum class EntryKind : std::uint8_t {
  kTermOpening,  ///< Empty; the first entry of a leader, whose commitment commits those before it.
  kCommand,      ///< A command of the replicated state machine.
  kMembership,   ///< The new Membership, in force from the moment it is in the log.
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

/// The state machine's state once it has applied all entries up to `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string state;

  auto operator<=>(const Snapshot&) const = default;

  MSGPACK_DEFINE(index, term, membership, state);
};

/// What a replica must never forget.
struct HardState {
  Term term = 0;
  core::ControlId voted_for;  ///< Vote given in `term`; empty: none.
  Index commit = 0;           ///< A hint; may be older than the truth.

  auto operator<=>(const HardState&) const = default;

  MSGPACK_DEFINE(term, voted_for, commit);
};

/// Durable state from which a replica starts. A replica that joins an existing cluster starts from an empty
/// one and gets everything from the leader.
struct PersistedState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;  ///< Contiguous; may begin at or before the snapshot's index.
};

/// What every voter of a new cluster starts from: a snapshot at index 1 with the first membership and the
/// state machine's first state. All of them must be given the same arguments.
PersistedState bootstrap(Membership membership, std::string state);

}  // namespace pipitpond::raft

MSGPACK_ADD_ENUM(pipitpond::raft::MemberRole);
MSGPACK_ADD_ENUM(pipitpond::raft::EntryKind);
