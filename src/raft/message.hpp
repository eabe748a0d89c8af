// Messages between control replicas. Any of them may be lost, doubled, delayed or reordered.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "raft/silence.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

/// Number of a heartbeat round of one leader; grows with each round.
using Round = std::uint64_t;

/// Asks whether the sender would be elected, without raising anybody's term.
struct PreVoteRequest {
  core::LogPosition last;  ///< Last entry of the sender's log.

  MSGPACK_DEFINE(last);
};

struct PreVoteReply {
  bool granted = false;

  MSGPACK_DEFINE(granted);
};

/// Asks for the receiver's vote in the message's term.
struct VoteRequest {
  core::LogPosition last;  ///< Last entry of the sender's log.
  bool transfer = false;   ///< The leader itself asked for this election.

  MSGPACK_DEFINE(last, transfer);
};

struct VoteReply {
  bool granted = false;

  MSGPACK_DEFINE(granted);
};

/// Leader to follower: entries after `previous`. Without entries it is a heartbeat.
struct AppendRequest {
  core::LogPosition previous;
  std::vector<Entry> entries;
  Index commit = 0;
  Round round = 0;
  std::vector<SilentMember> silent;  ///< Voters that the leader does not hear.

  MSGPACK_DEFINE(previous, entries, commit, round, silent);
};

/// Follower's answer, sent once the entries are synced.
struct AppendReply {
  bool matched = false;
  Index previous = 0;  ///< Copied from the request.
  Index match = 0;     ///< Matched: last entry known to agree with the leader's log.
  Index hint = 0;      ///< Not matched: where the leader should try next.
  Round round = 0;     ///< Copied from the request.

  MSGPACK_DEFINE(matched, previous, match, hint, round);
};

/// Leader to follower that is behind the leader's log: the whole snapshot.
struct SnapshotRequest {
  Snapshot snapshot;
  Round round = 0;

  MSGPACK_DEFINE(snapshot, round);
};

/// Leader to the voter that shall lead next: hold an election at once.
struct TimeoutNow {
  std::uint8_t unused = 0;

  MSGPACK_DEFINE(unused);
};

/// A replica that is in no membership asks to be added as a learner. A leader adds it; whoever does not
/// answers with a JoinReply.
struct JoinRequest {
  Member member;

  MSGPACK_DEFINE(member);
};

/// Why a JoinRequest was not carried out.
enum class JoinRefusal : std::uint8_t {
  kNotLeader,      ///< Ask the leader that the reply names; none is known if it names nobody.
  kChangePending,  ///< Another change of the members is not committed yet: ask again.
  kPlaceIsTaken,   ///< The member at these addresses answers: ask again when it is gone.
  kNotAllowed,     ///< Operators let replicas in.
};

/// What the receiver of a JoinRequest knows of those who could carry it out. It speaks for no term: the
/// receiver may itself be cut off, behind or removed.
struct JoinReply {
  JoinRefusal refusal = JoinRefusal::kNotLeader;
  core::ControlId leader;       ///< Empty: the sender knows of none.
  std::vector<Member> members;  ///< As the sender knows them.

  MSGPACK_DEFINE(refusal, leader, members);
};

using MessageBody = std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply, AppendRequest,
                                 AppendReply, SnapshotRequest, TimeoutNow, JoinRequest, JoinReply>;

/// One message with its envelope.
struct Message {
  std::string cluster;  ///< Messages of another cluster are ignored.
  core::ControlId from;
  core::ControlId to;
  Term term = 0;  ///< Sender's term; for PreVoteRequest the term it would stand in.
  MessageBody body;

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack_array(kFieldCount);
    packer.pack(cluster);
    packer.pack(from);
    packer.pack(to);
    packer.pack(term);
    packer.pack(static_cast<std::uint32_t>(body.index()));
    std::visit([&packer](const auto& value) { packer.pack(value); }, body);
  }

  void msgpack_unpack(const msgpack::object& object);

 private:
  static constexpr std::uint32_t kFieldCount = 6;
};

}  // namespace pipitpond::raft

MSGPACK_ADD_ENUM(pipitpond::raft::JoinRefusal);
