// Interfaces for the pool's connections to databases. There is one implementation for each protocol that
// databases offer to proxies.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "pooling/statement.hpp"

namespace pipitpond::pooling {

/// The database that a connection is to reach.
struct BackendAddress {
  core::Endpoint endpoint;
  core::GroupName group;
  core::DatabaseId database;  ///< Any other database that answers at the endpoint refuses the connection.
  core::TenantName tenant{};  ///< Tenant whose statements the connection carries; empty: none in particular.
};

/// A statement to be sent to a database.
struct BackendStatement {
  Statement statement;
  /// For reads and begins: the database refuses unless its log has reached this position.
  std::optional<core::LogPosition> after;
};

/// A database's report of its own state.
struct BackendStatus {
  bool primary = false;
  core::Term term = 0;
  core::LogPosition received;  ///< Position of the last entry in its log.
  core::Term held_term = 0;    ///< Highest term for which it was ordered to stop receiving entries; 0: none.
  std::uint32_t busy = 0;      ///< Slots in use.
  std::uint32_t connections = 0;
  /// The connection that carried the request was open for at least this long: the database has not restarted
  /// meanwhile. Set by the pool.
  std::uint32_t connection_age_ms = 0;

  MSGPACK_DEFINE(primary, term, received, held_term, busy, connections, connection_age_ms);
};

/// A connection to a database. It carries one batch at a time.
class BackendConnection {
 public:
  virtual ~BackendConnection() = default;

  /// Sends the statements as one batch and returns one reply for each. Fails with kConnectionRefused when
  /// nothing was sent, and with kConnectionLost or kTimeout when statements may have run; the connection is
  /// closed in each of these cases.
  virtual boost::asio::awaitable<core::Result<std::vector<StatementReply>>> run(
      std::vector<BackendStatement> statements, core::Duration timeout) = 0;
  /// Requests the status. Fails with kOverloaded when the database is reachable but has no slot free.
  virtual boost::asio::awaitable<core::Result<BackendStatus>> status(core::Duration timeout) = 0;
  /// Orders a replica to receive no more entries until `term` has a primary, and returns the status it then
  /// has.
  virtual boost::asio::awaitable<core::Result<BackendStatus>> hold(core::Term term,
                                                                   core::Duration timeout) = 0;
  /// Turns a primary of an earlier term into a replica, and returns the status it then has.
  virtual boost::asio::awaitable<core::Result<BackendStatus>> demote(core::Term term,
                                                                     core::Duration timeout) = 0;

  [[nodiscard]] virtual bool is_open() const = 0;
  /// Closes the connection at once; the database rolls back what was running on it.
  virtual void close() = 0;
};

/// Opens connections to databases.
class BackendConnector {
 public:
  virtual ~BackendConnector() = default;

  /// Fails with kConnectionRefused (nothing listens at the endpoint), kOverloaded (the connection limit is
  /// reached), kNotFound (another database listens there) or kTimeout.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<BackendConnection>>> connect(
      BackendAddress address, core::Duration timeout) = 0;
};

}  // namespace pipitpond::pooling
