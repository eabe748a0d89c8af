// Raft messages between control replicas. Messages may be lost, duplicated, delayed or reordered.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "raft/silence.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

/// Number of a heartbeat round of one leader; increases by one with each round. The first round of a term
/// is 1.
using Round = std::uint64_t;
/// Round of an AppendReply that answers no round of its term.
inline constexpr Round kNoRound = 0;

/// Asks whether the receiver would vote for the sender, without raising any replica's term.
struct PreVoteRequest {
  core::LogPosition last;  ///< Last entry of the sender's log.

  MSGPACK_DEFINE(last);
};

struct PreVoteReply {
  bool granted = false;

  MSGPACK_DEFINE(granted);
};

/// Asks for the receiver's vote in the term of the message.
struct VoteRequest {
  core::LogPosition last;  ///< Last entry of the sender's log.
  bool transfer = false;   ///< Election that the leader itself requested by TimeoutNow.

  MSGPACK_DEFINE(last, transfer);
};

struct VoteReply {
  bool granted = false;

  MSGPACK_DEFINE(granted);
};

/// Leader to follower: entries that follow `previous`. Without entries it is a heartbeat.
struct AppendRequest {
  core::LogPosition previous;
  std::vector<Entry> entries;
  Index commit = 0;
  Round round = 0;
  std::vector<SilentMember> silent;  ///< Voters that do not answer the leader.

  MSGPACK_DEFINE(previous, entries, commit, round, silent);
};

/// Follower's reply, sent after the entries are synced.
struct AppendReply {
  bool matched = false;
  Index previous = 0;  ///< Copied from the request.
  Index match = 0;     ///< If matched: last index known to agree with the leader's log.
  Index hint = 0;      ///< If not matched: index at which the leader should probe next.
  /// Copied from the request; kNoRound if that was of an earlier term than this reply.
  Round round = kNoRound;

  MSGPACK_DEFINE(matched, previous, match, hint, round);
};

/// Leader to a follower that needs entries which the leader has compacted: the whole snapshot.
struct SnapshotRequest {
  Snapshot snapshot;
  Round round = 0;

  MSGPACK_DEFINE(snapshot, round);
};

/// Leader to the target of a leadership transfer: start an election without waiting for the timeout.
struct TimeoutNow {
  std::uint8_t unused = 0;

  MSGPACK_DEFINE(unused);
};

/// Sent by a replica that is not a member, to be added as a learner. The leader adds it; a receiver that
/// can't or may not add it answers with a JoinReply.
struct JoinRequest {
  Member member;

  MSGPACK_DEFINE(member);
};

/// Why a JoinRequest was refused.
enum class JoinRefusal : std::uint8_t {
  kNotLeader,      ///< Retry at the leader named in the reply; an empty name means that none is known.
  kChangePending,  ///< Another membership change is not committed yet: retry.
  kPlaceIsTaken,   ///< The member at this endpoint still answers: retry when it has stopped.
  kNotAllowed,     ///< Only operators may add members at new endpoints.
};

/// Refusal of a JoinRequest, with the members that the sender of the reply knows. Not tied to a term: the
/// sender may itself be partitioned, lagging or removed.
struct JoinReply {
  JoinRefusal refusal = JoinRefusal::kNotLeader;
  core::ControlId leader;       ///< Empty: the sender knows no leader.
  std::vector<Member> members;  ///< Members in the sender's log.

  MSGPACK_DEFINE(refusal, leader, members);
};

/// Asks where the receiver's log ends. See LeaderlessReads.
struct LogEndRequest {
  Round round = 0;  ///< Of the sender's own count, which no other life of it shares.

  MSGPACK_DEFINE(round);
};

/// Not tied to the terms of the messages: whoever asks or answers from another term disturbs no leader.
struct LogEndReply {
  Round round = 0;         ///< Copied from the request.
  Term term = 0;           ///< Of the sender, durable.
  core::LogPosition last;  ///< Last entry of the sender's log, durable.

  MSGPACK_DEFINE(round, term, last);
};

using MessageBody =
    std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotRequest, TimeoutNow, JoinRequest, JoinReply, LogEndRequest, LogEndReply>;

/// A message body with its addressing and term.
struct Message {
  std::string cluster;  ///< Messages of other clusters are ignored.
  core::ControlId from;
  core::ControlId to;
  Term term = 0;  ///< Sender's term; in a PreVoteRequest the term that it would be a candidate in.
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
