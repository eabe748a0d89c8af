// A pool's idle connections, in the order of their last use. Single-threaded.
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

/// A pool's idle connections. The caller bounds their number.
class IdleConnections {
 public:
  /// Adds a connection that has just been used, at its `idle_since`.
  void add(std::unique_ptr<PooledConnection> connection);
  /// Removes and returns a connection of the tenant (nullopt: of any): one that has the session's values if
  /// there is one, otherwise the most recently used one. Null only if has_connection_for() is false. Call
  /// drop_closed() before, not in between: a database may close a connection at any moment.
  std::unique_ptr<PooledConnection> take(const std::optional<core::TenantName>& tenant,
                                         const SessionState* session);
  [[nodiscard]] bool has_connection_for(const std::optional<core::TenantName>& tenant) const;
  /// Removes connections that the database has closed.
  void drop_closed();
  /// Closes a connection of the tenant with the least demand for each idle connection; among equals the least
  /// recently used one. The container must not be empty.
  void close_least_demanded(core::Instant now, const TenantDemand& demand);
  /// Closes the least recently used connection. The container must not be empty.
  void close_oldest() { connections_.pop_front(); }
  /// When the least recently used connection became idle. The container must not be empty.
  [[nodiscard]] core::Instant oldest_since() const { return connections_.front()->idle_since; }
  void clear() { connections_.clear(); }
  [[nodiscard]] bool empty() const { return connections_.empty(); }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }

 private:
  std::deque<std::unique_ptr<PooledConnection>> connections_;  ///< The most recently used one is at the back.
};

}  // namespace pipitpond::pooling
