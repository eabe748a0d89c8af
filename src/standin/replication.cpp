#include "standin/replication.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::standin {

Replication::Replication(core::Term term, core::DatabaseId self, const std::vector<database::Member>& members,
                         std::uint64_t last)
    : term_(term), self_(std::move(self)) {
  for (const auto& member : members) {
    if (member.database != self_) {
      Peer peer;
      peer.member = member;
      peer.next = last + 1;
      peers_.push_back(peer);
    }
  }
}

std::vector<ReplicateMessage> Replication::due(core::Instant now, const Log& log, std::uint64_t synced,
                                               std::uint64_t committed) {
  std::vector<ReplicateMessage> messages;
  for (auto& peer : peers_) {
    if (is_due(peer, now, synced, committed)) {
      messages.push_back(message_to(peer, now, log, synced, committed));
    }
  }
  return messages;
}

void Replication::answered(core::Instant now, const database::ReplicateAnswer& answer, std::uint64_t sequence,
                           const Log& log) {
  auto* peer = find(answer.database);
  if (peer == nullptr || peer->in_flight != sequence) {
    return;
  }
  peer->in_flight = 0;
  if (answer.matched) {
    peer->match = std::max(peer->match, peer->in_flight_match);
    peer->next = peer->match + 1;
    return;
  }
  // Entries of terms after the peer's last one can't be held there: go back to before them. Always at least
  // one step back, and never below what the peer is known to hold.
  auto next = std::min(answer.received.index + 1, std::max<std::uint64_t>(peer->next, 2) - 1);
  if (next > 1 && log.position(next - 1).term > answer.received.term) {
    next = std::min(next, log.before_term(answer.received.term + 1).index + 1);
  }
  next = std::max(next, peer->match + 1);
  if (next == peer->next) {
    // The peer denies what it had confirmed: its disk was lost. Asking again at once would be a busy loop.
    peer->not_before = now + kReplicationBackoff;
  }
  peer->next = next;
}

void Replication::failed(core::Instant now, const core::DatabaseId& peer_id, std::uint64_t sequence) {
  auto* peer = find(peer_id);
  if (peer == nullptr || peer->in_flight != sequence) {
    return;
  }
  peer->in_flight = 0;
  peer->committed_sent = 0;
  peer->not_before = now + kReplicationBackoff;
}

std::uint64_t Replication::majority_index(std::uint64_t synced) const {
  std::vector<std::uint64_t> held{synced};
  for (const auto& peer : peers_) {
    held.push_back(peer.match);
  }
  // In descending order, the element at half of the size is held by more than half of the members.
  std::sort(held.begin(), held.end(), std::greater<>());
  return held[held.size() / 2];
}

std::optional<core::Instant> Replication::next_wakeup() const {
  std::optional<core::Instant> next;
  for (const auto& peer : peers_) {
    const auto wait = peer.in_flight == 0 ? kReplicationHeartbeat : kReplicationTimeout;
    auto at = std::max(peer.sent_at + wait, peer.not_before);
    if (peer.in_flight == 0 && peer.committed_sent == 0) {
      at = peer.not_before;
    }
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

bool Replication::is_due(const Peer& peer, core::Instant now, std::uint64_t synced, std::uint64_t committed) {
  if (peer.in_flight != 0) {
    return now >= peer.sent_at + kReplicationTimeout;
  }
  if (now < peer.not_before) {
    return false;
  }
  return peer.next <= synced || peer.committed_sent < committed ||
         now >= peer.sent_at + kReplicationHeartbeat;
}

ReplicateMessage Replication::message_to(Peer& peer, core::Instant now, const Log& log, std::uint64_t synced,
                                         std::uint64_t committed) {
  ReplicateMessage message;
  message.peer = peer.member;
  message.sequence = next_sequence_++;
  message.request.term = term_;
  message.request.primary = self_;
  message.request.previous = log.position(peer.next - 1);
  if (peer.next <= synced) {
    const auto limit = std::min<std::uint64_t>(kReplicationBatch, synced - peer.next + 1);
    message.request.entries = log.copy(peer.next, limit, kReplicationBatchBytes);
  }
  message.request.committed = log.position(committed);
  peer.in_flight = message.sequence;
  peer.in_flight_match = peer.next - 1 + message.request.entries.size();
  peer.committed_sent = committed;
  peer.sent_at = now;
  return message;
}

Replication::Peer* Replication::find(const core::DatabaseId& peer_id) {
  const auto found = std::find_if(peers_.begin(), peers_.end(),
                                  [&peer_id](const Peer& peer) { return peer.member.database == peer_id; });
  return found == peers_.end() ? nullptr : &*found;
}

}  // namespace pipitpond::standin
