// HTTP server on RESTinio. Single-threaded: runs on the given io_context.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "http/message.hpp"

namespace pipitpond::http {

/// Limits and address of a server.
struct ServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;                      ///< 0 picks a free port; see Server::port.
  std::size_t max_body_bytes = 1024UL * 1024;  ///< Over it: 413 and the connection is closed.
  std::size_t max_connections = 10'000;
  core::Duration read_timeout = std::chrono::seconds(60);   ///< For a whole request; also idle time.
  core::Duration write_timeout = std::chrono::seconds(30);  ///< For a slow reader of the response.
};

/// Sends the response of one request. May be called later, from any callback, once. Dropping it uncalled
/// closes the connection without an answer.
using Responder = std::function<void(Response)>;

/// Called on the io_context for each whole request.
using Handler = std::function<void(Request, Responder)>;

/// Called when a connection closes, after its last request was handed over.
using ConnectionClosed = std::function<void(ConnectionId)>;

/// How the idle connections of a server that stops are ended.
enum class IdleEnd : std::uint8_t {
  kSilent,          ///< The stream ends; a client can't tell whether a request that was on its way has run.
  kRequestTimeout,  ///< A 408 goes before the end: no request was read, so one on its way is safely sent
                    ///< again.
};

/// A listening server. Destroying it closes all connections.
class Server {
 public:
  /// Binds and listens. Fails with kUnavailable when the address can't be bound.
  static core::Result<std::unique_ptr<Server>> start(boost::asio::io_context& io,
                                                     const ServerOptions& options, Handler handler,
                                                     ConnectionClosed closed = {});
  virtual ~Server() = default;

  /// The bound port.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Number of open connections.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  /// Open connections on which bytes lie that have not been read: closing these resets them.
  [[nodiscard]] virtual std::size_t connections_with_unread_bytes() const = 0;
  /// Connections that the system has accepted and this server has not taken yet; 0 once it stopped accepting.
  [[nodiscard]] virtual std::size_t connections_to_accept() const = 0;
  /// From now on every answer ends its connection, so that clients go to other servers.
  virtual void close_after_answers() = 0;
  /// Ends the server without cutting a request: connections that clients believe to be open are accepted,
  /// requests that have been read are answered, idle connections are ended as `idle` says, and the clients'
  /// ends are waited for. Returns when no connection is left, after `limit` at the latest.
  virtual boost::asio::awaitable<void> drain(core::Duration limit, IdleEnd idle) = 0;
  /// Closes the connection at once, if it is still open.
  virtual void close(ConnectionId connection) = 0;
};

}  // namespace pipitpond::http
