// HTTP client connection on Boost.Beast, with keep-alive and one request at a time.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <optional>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "http/message.hpp"

namespace pipitpond::http {

/// How to connect, and how long a request may be on its way.
struct ConnectOptions {
  core::Duration timeout{};
  /// For a request that must not arrive late. The kernel gives up what the peer has not acknowledged this
  /// long after the first retransmission, also while this process stands still; a process that ends, a client
  /// that is closed, or one that is destroyed before the answer, resets the connection. Without it the kernel
  /// goes on sending for minutes. The last byte leaves after this and one or two retransmission timeouts
  /// (200 ms and a round trip each) at most.
  std::optional<core::Duration> unacknowledged_limit;
};

/// One TCP connection to a server.
class Client {
 public:
  using Connected = core::Result<std::unique_ptr<Client>>;

  /// Connects. Fails with kConnectionRefused (also on timeout: nothing was sent).
  static boost::asio::awaitable<Connected> connect(boost::asio::io_context& io, core::Endpoint endpoint,
                                                   ConnectOptions options);
  static boost::asio::awaitable<Connected> connect(boost::asio::io_context& io, core::Endpoint endpoint,
                                                   core::Duration timeout) {
    return connect(io, std::move(endpoint), ConnectOptions{timeout, std::nullopt});
  }
  virtual ~Client() = default;

  /// Sends one request and reads its whole response. Fails with kTimeout or kConnectionLost; from then on the
  /// request may have run and the connection is closed, so that no late answer can reach a later request.
  /// A connection found closed before the first byte was written, or ended by the peer with a 408 (it read no
  /// request), fails with kConnectionRefused.
  virtual boost::asio::awaitable<core::Result<Response>> send(Request request, core::Duration timeout) = 0;

  /// False once the connection was closed by either side.
  [[nodiscard]] virtual bool is_open() const = 0;
  /// Ends the stream to the peer at once. A send in progress fails with kConnectionLost. What the peer still
  /// sends is not read; the socket itself is closed with the client.
  virtual void close() = 0;
  /// Call after close(), or when is_open() is false: returns when the peer has closed its side as well, or
  /// the client is destroyed. A peer that is gone without a word is noticed by the system's own timeouts
  /// only.
  virtual boost::asio::awaitable<void> closed_by_peer() = 0;
};

/// Largest response body that a client accepts.
inline constexpr std::size_t kMaxResponseBytes = 64UL * 1024 * 1024;

}  // namespace pipitpond::http
