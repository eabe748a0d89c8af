// Client side of the internal protocol: one TCP connection to a peer, reconnecting by itself, with many
// calls in flight. Each call carries an identifier; answers are matched by it, late ones are dropped.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "wire/message_type.hpp"

namespace pipitpond::wire {

/// Receives one-way messages that the peer pushes.
using PushHandler = std::function<void(MessageType, std::string)>;

/// A lasting channel to one peer.
class Channel {
 public:
  /// Creates a channel; connects at the first call and again after a loss, with backoff.
  static std::unique_ptr<Channel> create(boost::asio::io_context& io, core::Endpoint peer,
                                         PushHandler push = {});
  virtual ~Channel() = default;

  /// Calls the peer. Fails with kConnectionRefused (nothing was sent), kConnectionLost or kTimeout (it may
  /// have been handled), or the Error that the peer's handler returned.
  virtual boost::asio::awaitable<core::Result<std::string>> call(MessageType type, std::string body,
                                                                 core::Duration timeout) = 0;
  /// Begins to connect, unless it is connected or resting after a failed attempt. One-way messages that are
  /// sent before the connection is there are dropped.
  virtual void connect() = 0;
  /// Asks the peer for a sign of life, and closes the connection when nothing comes for 3 s. A call that runs
  /// into its time limit does so by itself; use it for calls that may last longer than the peer should be
  /// silent.
  virtual void check_alive() = 0;
  /// Sends a one-way message; dropped when not connected (a connect is then started) or the queue is full.
  virtual void notify(MessageType type, std::string body) = 0;

  [[nodiscard]] virtual std::uint64_t bytes_received() const = 0;
  [[nodiscard]] virtual std::uint64_t bytes_sent() const = 0;
};

}  // namespace pipitpond::wire
