// Messages between daemons and control.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::protocol {

/// Why a daemon mistrusts a database.
enum class Suspicion : std::uint8_t {
  kUnreachable,         ///< No connection or no answer to probes.
  kReplicationStalled,  ///< Reachable primary that can't get writes to a majority.
  kNotPrimary,          ///< Control's primary says that it is not one.
  kLeaving,             ///< It says that it is being stopped.
};

/// Stable text of a suspicion, for JSON and logs.
constexpr const char* to_string(Suspicion suspicion) {
  switch (suspicion) {
    case Suspicion::kUnreachable:
      return "unreachable";
    case Suspicion::kReplicationStalled:
      return "replication_stalled";
    case Suspicion::kNotPrimary:
      return "not_primary";
    case Suspicion::kLeaving:
      return "leaving";
  }
  return "unknown";
}

/// One database that an owner mistrusts. Reported while it lasts, from the change on at once.
struct SuspicionReport {
  core::DatabaseId database;
  Suspicion suspicion = Suspicion::kUnreachable;
  core::Term term = 0;  ///< Term at which the daemon knows the group.
  std::uint32_t lasted_ms = 0;

  MSGPACK_DEFINE(database, suspicion, term, lasted_ms);
};

/// Sent by each daemon to the control leader every kHeartbeatInterval, and at once when suspicions change.
struct Heartbeat {
  core::DaemonId daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< Grows within an incarnation; a reply names the one it answers.
  core::ZoneName zone;
  core::Endpoint internal;
  core::Endpoint callers;
  bool leaving = false;
  Revision applied = 0;  ///< Last revision applied.
  /// Last revision whose ownership is settled here: no connection is held beyond its budgets.
  Revision settled = 0;
  std::vector<SuspicionReport> suspicions;

  MSGPACK_DEFINE(daemon, incarnation, sequence, zone, internal, callers, leaving, applied, settled,
                 suspicions);
};

/// Datagram of a control replica that has started, to the daemons of its configuration: it may be asked.
struct ControlAnnouncement {
  core::Endpoint internal;

  MSGPACK_DEFINE(internal);
};

/// Answer to a heartbeat. From the leader, the daemon's lease runs for lease_ms from the moment it SENT the
/// heartbeat.
struct HeartbeatReply {
  std::uint64_t sequence = 0;
  std::uint32_t lease_ms = 0;  ///< 0: no lease (not admitted, or the leader is not sure of its quorum).
  Revision current = 0;        ///< Leader's revision.
  /// Every daemon with a lease has settled this revision: new owners may use budgets of it.
  Revision settled_everywhere = 0;
  /// False: a follower answered; it has granted nothing and the fields above but `sequence` mean nothing.
  /// Only `complete` may say something then.
  bool from_leader = false;
  /// Internal endpoint of the leader as far as the answering replica knows; port 0: unknown.
  core::Endpoint leader;
  /// Internal endpoints of all control replicas, so that daemons follow changes of membership.
  std::vector<core::Endpoint> control;
  /// Set when the daemon's incarnation is older than the one that control knows.
  std::uint64_t known_incarnation = 0;
  /// Of a replica that knows no leader: its revision, if a majority of the voters has shown that it holds
  /// every change acknowledged before the heartbeat came. 0: not shown.
  Revision complete = 0;

  MSGPACK_DEFINE(sequence, lease_ms, current, settled_everywhere, from_leader, leader, control,
                 known_incarnation, complete);
};

/// Asks any control replica for a page of what follows `after`.
struct FetchRequest {
  core::DaemonId daemon;
  Revision after = 0;
  /// Revision that the answer leads to of which pages have come already; 0: none has.
  Revision transfer = 0;
  std::uint64_t offset = 0;  ///< Bytes of that answer that have come.

  MSGPACK_DEFINE(daemon, after, transfer, offset);
};

/// Part of the bytes of a FetchReply, packed by wire::pack_compact. A replica that no longer has the answer
/// of which pages were asked begins another one at offset 0.
struct FetchPage {
  Revision revision = 0;  ///< That the answer leads to.
  Revision newest = 0;    ///< The replica's revision when it sent the page.
  std::uint64_t total = 0;
  std::uint64_t offset = 0;
  std::string bytes;

  MSGPACK_DEFINE(revision, newest, total, offset, bytes);
};

/// Changes in order, or the whole configuration when `after` is too old. Both empty: nothing newer here.
struct FetchReply {
  std::vector<Change> changes;
  std::optional<Configuration> snapshot;

  MSGPACK_DEFINE(changes, snapshot);
};

/// Pushed to connected daemons when the revision grows.
struct RevisionNotice {
  Revision revision = 0;

  MSGPACK_DEFINE(revision);
};

/// Last message of a daemon that has drained: its lease ends now.
struct Departure {
  core::DaemonId daemon;
  std::uint64_t incarnation = 0;

  MSGPACK_DEFINE(daemon, incarnation);
};

/// Empty answer.
struct Acknowledgement {
  bool accepted = true;

  MSGPACK_DEFINE(accepted);
};

/// An operator's HTTP request passed on to the leader.
struct OperatorRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;

  MSGPACK_DEFINE(method, path, query, body);
};

/// The leader's HTTP answer.
struct OperatorReply {
  std::uint32_t status = 200;
  std::string body;

  MSGPACK_DEFINE(status, body);
};

}  // namespace pipitpond::protocol

MSGPACK_ADD_ENUM(pipitpond::protocol::Suspicion);
