// The primary's side of replication: what each peer holds, what to send to it, what a majority holds.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "database/protocol.hpp"
#include "standin/log.hpp"
#include "standin/types.hpp"

namespace pipitpond::standin {

/// An idle primary contacts each peer this often.
inline constexpr core::Duration kReplicationHeartbeat = std::chrono::milliseconds(100);
/// A message without an answer for this long is given up and sent anew.
inline constexpr core::Duration kReplicationTimeout = std::chrono::milliseconds(400);
/// Pause after a message that failed.
inline constexpr core::Duration kReplicationBackoff = std::chrono::milliseconds(50);
/// Most entries and about the most bytes of one message.
inline constexpr std::size_t kReplicationBatch = 1000;
inline constexpr std::size_t kReplicationBatchBytes = 512UL * 1024;

/// Replication of one term's primary. One message at a time is under way to each peer; what is appended
/// meanwhile goes with the next one.
class Replication {
 public:
  /// `last` is the primary's last entry when its term began.
  Replication(core::Term term, core::DatabaseId self, const std::vector<database::Member>& members,
              std::uint64_t last);

  /// Messages that are due. Only entries up to `synced` are sent: an entry that a peer holds is then never
  /// lost by the primary, so the primary may go on with its term after a restart.
  std::vector<ReplicateMessage> due(core::Instant now, const Log& log, std::uint64_t synced,
                                    std::uint64_t committed);
  /// Takes a peer's answer; late answers to messages given up are ignored.
  void answered(core::Instant now, const database::ReplicateAnswer& answer, std::uint64_t sequence,
                const Log& log);
  /// A message was lost or refused.
  void failed(core::Instant now, const core::DatabaseId& peer, std::uint64_t sequence);
  /// Greatest index that a majority holds, the primary itself up to `synced`.
  [[nodiscard]] std::uint64_t majority_index(std::uint64_t synced) const;
  /// When `due` has something to do if nothing happens before.
  [[nodiscard]] std::optional<core::Instant> next_wakeup() const;

 private:
  struct Peer {
    database::Member member;
    std::uint64_t next = 1;   ///< First entry to send.
    std::uint64_t match = 0;  ///< Last entry known to be held there.
    std::uint64_t committed_sent = 0;
    std::uint64_t in_flight = 0;        ///< Sequence of the message under way; 0: none.
    std::uint64_t in_flight_match = 0;  ///< `match` once that message is accepted.
    core::Instant sent_at;
    core::Instant not_before;
  };

  [[nodiscard]] static bool is_due(const Peer& peer, core::Instant now, std::uint64_t synced,
                                   std::uint64_t committed);
  ReplicateMessage message_to(Peer& peer, core::Instant now, const Log& log, std::uint64_t synced,
                              std::uint64_t committed);
  Peer* find(const core::DatabaseId& peer);

  core::Term term_;
  core::DatabaseId self_;
  std::vector<Peer> peers_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace pipitpond::standin
