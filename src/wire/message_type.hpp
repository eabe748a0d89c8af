// Types of the messages between the fleet's own processes. Bodies are msgpack; see protocol/.
#pragma once

#include <cstdint>

namespace pipitpond::wire {

enum class MessageType : std::uint16_t {
  kRaft = 1,            ///< raft::Message, one-way, control to control.
  kHeartbeat = 2,       ///< protocol::Heartbeat -> protocol::HeartbeatReply, daemon to control leader.
  kFetch = 3,           ///< protocol::FetchRequest -> protocol::FetchPage, daemon to any control replica.
  kRevisionNotice = 4,  ///< protocol::RevisionNotice, one-way, control to connected daemons.
  kForward = 5,         ///< protocol::ForwardRequest -> protocol::ForwardReply, daemon to owner daemon.
  kControlForward = 6,  ///< protocol::OperatorRequest -> protocol::OperatorReply, control to leader.
  kDeparture = 7,       ///< protocol::Departure -> protocol::Acknowledgement, a daemon's planned stop.
  kStatement = 8,       ///< pooling::ForwardedStatement -> pooling::ForwardedAnswer, daemon to owner daemon.
  kTransactionEnd = 9,  ///< pooling::ForwardedEnd, one-way, daemon to owner daemon.
  kPeerProbe = 10,      ///< Empty, both ways: a sign of life, daemon to owner daemon.
  kDatabaseStatus =
      11,       ///< pooling::ForwardedStatusRequest -> pooling::BackendStatus, daemon to owner daemon.
  kQuota = 13,  ///< pooling::QuotaRequest -> pooling::QuotaReply, daemon to a tenant's home daemon.
  kPrimaryPositions = 12,  ///< pooling::PositionRequest -> pooling::PositionReply, daemon to owner daemon.
  kShownPrimary =
      14,  ///< pooling::ShownPrimaryRequest -> pooling::ShownPrimaryReply, daemon to owner daemon.
};

}  // namespace pipitpond::wire
