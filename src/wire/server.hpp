// Accepts connections from the fleet's own processes: length-prefixed msgpack frames over TCP.
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
#include "wire/message_type.hpp"

namespace pipitpond::wire {

/// Identifies one accepted connection for its lifetime.
using PeerId = std::uint64_t;

/// Largest frame that is read; a larger one closes the connection.
inline constexpr std::size_t kMaxFrameBytes = 72UL * 1024 * 1024;

/// Answers a call with the packed body of the reply, or an Error that the caller receives as its result.
/// For one-way messages the result is ignored. Handlers of one connection run concurrently.
using Handler =
    std::function<boost::asio::awaitable<core::Result<std::string>>(PeerId, MessageType, std::string)>;

/// Called after a connection closed.
using PeerClosed = std::function<void(PeerId)>;

/// A listening server. Destroying it closes all connections.
class Server {
 public:
  /// Binds and listens; port 0 picks a free one. Fails with kUnavailable.
  static core::Result<std::unique_ptr<Server>> start(boost::asio::io_context& io, const std::string& address,
                                                     std::uint16_t port, Handler handler,
                                                     PeerClosed closed = {});
  virtual ~Server() = default;

  /// The bound port.
  [[nodiscard]] virtual std::uint16_t port() const = 0;
  /// Sends a one-way message to one connected peer; dropped if it is gone or its queue is full.
  virtual void notify(PeerId peer, MessageType type, std::string body) = 0;
  /// Ends the server so that no caller is left in doubt: calls in progress are answered, then each peer is
  /// told that all others were not handled. Returns when the peers have closed their connections, after
  /// `limit` at the latest.
  virtual boost::asio::awaitable<void> drain(core::Duration limit) = 0;
  /// Bytes received and sent since start, frames included.
  [[nodiscard]] virtual std::uint64_t bytes_received() const = 0;
  [[nodiscard]] virtual std::uint64_t bytes_sent() const = 0;
};

}  // namespace pipitpond::wire
