#include "pooling/idle_connections.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace pipitpond::pooling {

void IdleConnections::add(std::unique_ptr<PooledConnection> connection) {
  connections_.push_back(std::move(connection));
}

std::unique_ptr<PooledConnection> IdleConnections::take(const std::optional<core::TenantName>& tenant,
                                                        const SessionState* session) {
  const auto belongs = [&](const auto& connection) { return !tenant || connection->tenant == *tenant; };
  auto chosen = std::find_if(connections_.rbegin(), connections_.rend(), belongs);
  if (chosen == connections_.rend()) {
    return nullptr;
  }
  if (session != nullptr) {
    const auto fitting =
        std::find_if(connections_.rbegin(), connections_.rend(), [&](const auto& connection) {
          return belongs(connection) && has_values_of(connection->state, *session);
        });
    chosen = fitting != connections_.rend() ? fitting : chosen;
  }
  std::unique_ptr<PooledConnection> connection = std::move(*chosen);
  connections_.erase(std::prev(chosen.base()));
  return connection;
}

bool IdleConnections::has_connection_for(const std::optional<core::TenantName>& tenant) const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [&](const auto& connection) { return !tenant || connection->tenant == *tenant; });
}

void IdleConnections::drop_closed() {
  std::erase_if(connections_, [](const auto& connection) { return !connection->backend->is_open(); });
}

void IdleConnections::close_least_demanded(core::Instant now, const TenantDemand& demand) {
  std::map<core::TenantName, double> held_by;
  for (const auto& connection : connections_) {
    ++held_by[connection->tenant];
  }
  std::map<core::TenantName, double> worth;
  for (const auto& [tenant, count] : held_by) {
    worth[tenant] = demand.current_demand(now, tenant) / count;
  }
  const auto least = std::min_element(
      connections_.begin(), connections_.end(),
      [&](const auto& left, const auto& right) { return worth.at(left->tenant) < worth.at(right->tenant); });
  connections_.erase(least);
}

}  // namespace pipitpond::pooling
