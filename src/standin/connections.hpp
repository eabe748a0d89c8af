// Database connections of callers: limit, idle timeout and the transaction buffered on each.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/log_position.hpp"
#include "standin/types.hpp"

namespace pipitpond::standin {

/// Writes of an open transaction; they reach the log only with the commit.
struct Transaction {
  core::Term term = 0;
  std::vector<nlohmann::json> statements;
};

/// One open database connection.
struct Connection {
  core::Instant last_used;
  std::uint32_t calls = 0;  ///< Calls without an answer yet; such a connection is not idle.
  std::optional<Transaction> transaction;
};

/// All open database connections.
class Connections {
 public:
  /// Counts a new connection; false when `limit` is reached. Connecting twice is allowed and changes nothing.
  bool open(ConnectionId id, core::Instant now, std::uint32_t limit);
  /// Forgets the connection and drops its transaction.
  void close(ConnectionId id) { connections_.erase(id); }
  /// The connection, or null when it is not open.
  [[nodiscard]] Connection* find(ConnectionId id);
  /// Drops the transactions of all connections.
  void drop_transactions();
  /// Connections without traffic for `timeout`.
  [[nodiscard]] std::vector<ConnectionId> idle(core::Instant now, core::Duration timeout) const;
  /// When the next connection becomes idle if nothing happens; empty when none can.
  [[nodiscard]] std::optional<core::Instant> next_idle(core::Duration timeout) const;
  /// Number of open transactions.
  [[nodiscard]] std::size_t transactions() const;
  [[nodiscard]] std::size_t size() const { return connections_.size(); }

 private:
  std::unordered_map<ConnectionId, Connection> connections_;
};

}  // namespace pipitpond::standin
