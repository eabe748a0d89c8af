// Connections to databases as the pool needs them. One implementation for each protocol that databases speak
// to proxies.
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

/// The database that a connection is meant for.
struct BackendAddress {
  core::Endpoint endpoint;
  core::GroupName group;
  core::DatabaseId database;  ///< Another one at the endpoint refuses.
  core::TenantName tenant{};  ///< Whose statements the connection carries; empty: nobody's in particular.
};

/// A statement on its way to a database.
struct BackendStatement {
  Statement statement;
  std::optional<core::LogPosition> after;  ///< Reads and begins: refuse unless the log has this position.
};

/// What a database says of itself.
struct BackendStatus {
  bool primary = false;
  core::Term term = 0;
  core::LogPosition received;  ///< Last entry of its log.
  core::Term held_term = 0;    ///< Greatest term for which it was told to stop receiving; 0: none.
  std::uint32_t busy = 0;      ///< Slots in use.
  std::uint32_t connections = 0;

  MSGPACK_DEFINE(primary, term, received, held_term, busy, connections);
};

/// One connection. It carries one batch at a time.
class BackendConnection {
 public:
  virtual ~BackendConnection() = default;

  /// Sends the statements together and returns one reply for each. Fails with kConnectionRefused when nothing
  /// left this machine, and with kConnectionLost or kTimeout when something may have run; the connection is
  /// closed then.
  virtual boost::asio::awaitable<core::Result<std::vector<StatementReply>>> run(
      std::vector<BackendStatement> statements, core::Duration timeout) = 0;
  /// Asks for the status. kOverloaded: it answers, but has no slot free.
  virtual boost::asio::awaitable<core::Result<BackendStatus>> status(core::Duration timeout) = 0;
  /// Tells a replica to receive nothing more until `term` has a primary; it answers with its status then.
  virtual boost::asio::awaitable<core::Result<BackendStatus>> hold(core::Term term,
                                                                   core::Duration timeout) = 0;
  /// Turns a primary of an earlier term into a replica; it answers with its status then.
  virtual boost::asio::awaitable<core::Result<BackendStatus>> demote(core::Term term,
                                                                     core::Duration timeout) = 0;

  [[nodiscard]] virtual bool is_open() const = 0;
  /// Ends it at once; what runs on it is rolled back by the database.
  virtual void close() = 0;
};

/// Opens connections.
class BackendConnector {
 public:
  virtual ~BackendConnector() = default;

  /// Fails with kConnectionRefused (nobody answers), kOverloaded (too many connections), kNotFound (another
  /// database is there) or kTimeout.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<BackendConnection>>> connect(
      BackendAddress address, core::Duration timeout) = 0;
};

}  // namespace pipitpond::pooling
