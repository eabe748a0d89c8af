// A pool's connection to its database.
#pragma once

#include <memory>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "pooling/backend.hpp"
#include "pooling/session_state.hpp"

namespace pipitpond::pooling {

/// A connection and the state that the pool keeps for it.
struct PooledConnection {
  std::unique_ptr<BackendConnection> backend;
  core::TenantName tenant;  ///< The tenant whose statements it carries.
  ConnectionState state;
  /// The statement in flight is a read outside a transaction, which can be retried at another database: the
  /// connection is closed when its database turns out unreachable.
  bool retryable = false;
  core::Instant opened_at{};
  core::Instant idle_since{};
  core::Instant in_use_since{};
  core::Duration charged_slot_time{};  ///< Slot time charged to its tenant when it was handed out.
  /// In use by a transaction, or by a statement that begins one: when it becomes free can't be predicted.
  bool in_transaction = false;
};

}  // namespace pipitpond::pooling
