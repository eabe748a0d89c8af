// A pool's connections that nobody uses, in the order of their last use. Single-threaded.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "pooling/pooled_connection.hpp"
#include "pooling/session_state.hpp"
#include "pooling/tenant_demand.hpp"

namespace pipitpond::pooling {

/// Idle connections. As many as are added: its user bounds them.
class IdleConnections {
 public:
  /// The connection was used just now, at its `idle_since`.
  void add(std::unique_ptr<PooledConnection> connection);
  /// An open connection of the tenant (nothing: anybody's), one that has the session's values if there is
  /// one, otherwise the one used last. Null: none.
  std::unique_ptr<PooledConnection> take(const std::optional<core::TenantName>& tenant,
                                         const SessionState* session);
  [[nodiscard]] bool has_for(const std::optional<core::TenantName>& tenant) const;
  /// Forgets those that the database has closed.
  void drop_closed();
  /// Closes the one whose tenant asks least for each that it holds; of those that are alike, the one used
  /// least lately. There must be one.
  void close_least_wanted(core::Instant now, const TenantDemand& demand);
  /// Closes the one used least lately. There must be one.
  void close_oldest() { connections_.pop_front(); }
  /// Since when that one is idle. There must be one.
  [[nodiscard]] core::Instant oldest_since() const { return connections_.front()->idle_since; }
  void clear() { connections_.clear(); }
  [[nodiscard]] bool empty() const { return connections_.empty(); }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }

 private:
  std::deque<std::unique_ptr<PooledConnection>> connections_;  ///< The one used last is at the back.
};

}  // namespace pipitpond::pooling
