// A connection of a pool to its database.
#pragma once

#include <memory>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "pooling/backend.hpp"
#include "pooling/session_state.hpp"

namespace pipitpond::pooling {

/// A connection and what it has been told.
struct PooledConnection {
  std::unique_ptr<BackendConnection> link;
  core::TenantName tenant;  ///< Whose statements it carries.
  ConnectionState state;
  /// A read under way on it may be run elsewhere: it is cut off when the database is found unreachable.
  bool expendable = false;
  core::Instant idle_since{};
  core::Instant in_use_since{};
  core::Duration charged{};  ///< Slot time that its tenant was charged when it was handed out.
  /// In use by a transaction, or by a statement that begins one: nobody knows when it will be free.
  bool in_transaction = false;
};

}  // namespace pipitpond::pooling
