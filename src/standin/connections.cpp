#include "standin/connections.hpp"

#include <algorithm>

namespace pipitpond::standin {

bool Connections::open(ConnectionId id, core::Instant now, std::uint32_t limit) {
  if (connections_.contains(id)) {
    return true;
  }
  if (connections_.size() >= limit) {
    return false;
  }
  connections_[id].last_used = now;
  return true;
}

Connection* Connections::find(ConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

void Connections::drop_transactions() {
  for (auto& [id, connection] : connections_) {
    connection.transaction.reset();
  }
}

std::vector<ConnectionId> Connections::idle(core::Instant now, core::Duration timeout) const {
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection.calls == 0 && connection.last_used + timeout <= now) {
      idle.push_back(id);
    }
  }
  return idle;
}

std::optional<core::Instant> Connections::next_idle(core::Duration timeout) const {
  std::optional<core::Instant> next;
  for (const auto& [id, connection] : connections_) {
    const auto at = connection.last_used + timeout;
    if (connection.calls == 0 && (!next || at < *next)) {
      next = at;
    }
  }
  return next;
}

std::size_t Connections::transactions() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second.transaction.has_value(); }));
}

}  // namespace pipitpond::standin
