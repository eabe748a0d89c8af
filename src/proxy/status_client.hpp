// Asks one database for its status over a kept HTTP connection outside the pool, which the database does not
// count as a database connection.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "database/protocol.hpp"
#include "http/client.hpp"

namespace pipitpond::proxy {

/// Status of one database.
class StatusClient {
 public:
  StatusClient(boost::asio::io_context& io, core::Endpoint endpoint);

  /// Asks for the status. Fails with kConnectionRefused when no connection could be made. Several may ask at
  /// once; each has a connection of its own. Keep the client alive until it returns.
  boost::asio::awaitable<core::Result<database::StatusAnswer>> ask(core::Duration timeout);

 private:
  boost::asio::io_context& io_;
  core::Endpoint endpoint_;
  std::unique_ptr<http::Client> kept_;  ///< Null while in use.
};

}  // namespace pipitpond::proxy
