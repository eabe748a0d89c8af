// Datagrams between the fleet's own processes: for hints that may be lost, to peers that need not be there.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/endpoint.hpp"
#include "core/error.hpp"

namespace pipitpond::wire {

/// Longer ones are cut off on receipt; none of ours is.
inline constexpr std::size_t kMaxDatagramBytes = 512;

/// Sends datagrams.
class DatagramSender {
 public:
  /// Fails with kUnavailable when no socket can be had.
  static core::Result<std::unique_ptr<DatagramSender>> open(boost::asio::io_context& io);
  virtual ~DatagramSender() = default;
  /// Never waits; the datagram may be lost.
  virtual void send(const core::Endpoint& to, const std::string& bytes) = 0;
};

/// Receives datagrams until it is destroyed.
class DatagramListener {
 public:
  using Receive = std::function<void(const std::string& bytes)>;

  /// Fails with kUnavailable when the address or port can't be used.
  static core::Result<std::unique_ptr<DatagramListener>> open(boost::asio::io_context& io,
                                                              const core::Endpoint& at, Receive receive);
  virtual ~DatagramListener() = default;
  [[nodiscard]] virtual std::uint16_t port() const = 0;
};

}  // namespace pipitpond::wire
