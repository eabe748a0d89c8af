// Open transactions of this daemon. Each holds a database connection of its own until it ends, so statements
// of different callers can never share one. How a transaction ended is remembered for a while, so that a
// caller whose answer was lost can be told.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "protocol/forward.hpp"
#include "proxy/pool.hpp"

namespace pipitpond::proxy {

/// One open transaction.
struct OpenTransaction {
  core::TransactionId id;
  core::GroupName group;
  core::DatabaseId database;
  core::TenantName tenant;
  core::Term term = 0;
  PooledConnection connection;
  core::Instant last_used;
  bool busy = false;           ///< A statement is running on it.
  bool committing = false;     ///< Its commit has been sent: it ends with the answer.
  bool keeping_alive = false;  ///< Its connection is being used to keep it; a statement waits for that.
};

/// How a transaction ended.
enum class TransactionEnd : std::uint8_t { kCommitted, kRolledBack, kUnknown };

/// Record of a transaction that has ended.
struct EndedTransaction {
  TransactionEnd end = TransactionEnd::kUnknown;
  protocol::ForwardReply commit_reply;  ///< For kCommitted.
};

/// All transactions of this daemon.
class Transactions {
 public:
  /// Adds an open transaction.
  void add(std::shared_ptr<OpenTransaction> transaction);
  /// The open transaction, or null.
  [[nodiscard]] std::shared_ptr<OpenTransaction> find(const core::TransactionId& id) const;
  /// Removes it and remembers how it ended. Its connection goes with the last user.
  void end(const core::TransactionId& id, EndedTransaction ended);
  /// How it ended; empty when it is not remembered.
  [[nodiscard]] std::optional<EndedTransaction> ended(const core::TransactionId& id) const;
  /// Those without a statement since `before`, to be rolled back.
  [[nodiscard]] std::vector<std::shared_ptr<OpenTransaction>> idle_since(core::Instant before) const;
  /// Those whose connection has not been used since `before` and is free.
  [[nodiscard]] std::vector<std::shared_ptr<OpenTransaction>> unused_since(core::Instant before) const;
  /// Number of open ones, on one database and in all.
  [[nodiscard]] std::size_t open_on(const core::DatabaseId& database) const;
  [[nodiscard]] std::size_t open() const { return open_.size(); }

 private:
  std::unordered_map<core::TransactionId, std::shared_ptr<OpenTransaction>> open_;
  std::unordered_map<core::TransactionId, EndedTransaction> ended_;
  std::deque<core::TransactionId> ended_order_;
};

}  // namespace pipitpond::proxy
