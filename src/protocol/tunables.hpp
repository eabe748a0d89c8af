// Timing that the parts of the fleet must agree on, in one place. Settings may override some of them.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/clock.hpp"

namespace pipitpond::protocol {

using std::chrono::milliseconds;

/// Daemon to control leader.
inline constexpr core::Duration kHeartbeatInterval = milliseconds(500);
/// A daemon's lease, from the sending of the heartbeat that renewed it.
inline constexpr core::Duration kDaemonLease = milliseconds(3000);
/// Control counts a daemon as lost only this long after the lease it granted has ended on its own clock:
/// room for clocks whose rates differ by up to 5%.
inline constexpr core::Duration kLeaseClockMargin = milliseconds(300);

/// Owners ask a database for its status when nothing was heard from it for this long.
inline constexpr core::Duration kProbeInterval = milliseconds(200);
/// A probe without an answer for this long has failed.
inline constexpr core::Duration kProbeTimeout = milliseconds(250);
/// Failed probes in a row before a database is suspected. A refused connection counts as two.
inline constexpr std::uint32_t kProbeFailuresToSuspect = 2;
/// A primary whose oldest write has waited this long for a majority is suspected.
inline constexpr core::Duration kReplicationStallLimit = milliseconds(800);

/// Owners per database. In a small fleet all daemons own all databases.
inline constexpr std::uint32_t kOwnersPerDatabase = 4;
/// A database closes a connection without traffic for this long (a setting of the database); owners keep
/// idle ones alive more often than this, so that only a dead or frozen owner's connections run into it.
inline constexpr core::Duration kDatabaseIdleTimeout = milliseconds(3000);
/// An idle connection that was used this lately has surely not been closed by the database.
inline constexpr core::Duration kLongestTrustedIdle = kDatabaseIdleTimeout * 4 / 5;
/// How often an owner uses an idle pooled connection to keep it.
inline constexpr core::Duration kPoolKeepAlive = milliseconds(1000);

/// A daemon that waits for another one's answer and has heard nothing from it for this long sends it a ping.
inline constexpr core::Duration kPeerPingInterval = milliseconds(50);
/// Bounds of the time without an answer to a ping after which a daemon is taken as silent; in between it
/// follows the daemon's recent answers. The lower bound is room for a busy machine, the upper one bounds the
/// wait of a request that a frozen daemon holds.
inline constexpr core::Duration kPeerSilenceMin = milliseconds(250);
inline constexpr core::Duration kPeerSilenceMax = milliseconds(1000);
/// The same for a daemon that has not answered yet: room for making the connection.
inline constexpr core::Duration kPeerFirstAnswer = milliseconds(500);
/// A silent daemon is asked for a sign of life this often at first; the time doubles up to the longest one.
inline constexpr core::Duration kPeerProbeInterval = milliseconds(100);
inline constexpr core::Duration kPeerProbeIntervalMax = milliseconds(1000);
/// When a caller may come back after its request was given up because a daemon fell silent. By then that
/// daemon refuses the request: it takes none up that waited for longer than the time of silence.
inline constexpr core::Duration kPeerSilenceRetryAfter = kPeerSilenceMax + 2 * kPeerPingInterval;

/// Raft.
inline constexpr core::Duration kRaftHeartbeatInterval = milliseconds(50);
inline constexpr core::Duration kRaftElectionTimeoutMin = milliseconds(300);
inline constexpr core::Duration kRaftElectionTimeoutMax = milliseconds(600);

}  // namespace pipitpond::protocol
