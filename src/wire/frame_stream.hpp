// One TCP connection that carries frames in both directions. Used by both ends of the internal protocol.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wire/frame.hpp"

namespace pipitpond::wire {

/// Bytes that may wait to be written. A frame is also taken when nothing waits, whatever its size.
inline constexpr std::size_t kMaxQueuedBytes = 16UL * 1024 * 1024;

/// Traffic of all connections of one server or channel.
struct ByteCounters {
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
};

/// An open connection. Its reader must hold a shared_ptr to it.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
 public:
  FrameStream(boost::asio::ip::tcp::socket socket, std::shared_ptr<ByteCounters> counters);

  /// Waits for the next frame; empty when the connection ended, was closed, or sent no frames (it is then
  /// closed).
  boost::asio::awaitable<std::optional<Frame>> read();
  /// Queues a frame. False when the connection is closed or its queue is full: the frame will never be sent.
  bool send(const Frame& frame);
  /// Ends this side of the stream once the queued frames are written. Reading goes on.
  void end();
  /// Closes at once; queued frames are lost.
  void close();

 private:
  static constexpr std::size_t kChunkBytes = 16UL * 1024;

  void write_queued();
  void end_stream();
  void set_socket_options();

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<ByteCounters> counters_;
  FrameDecoder decoder_;
  std::array<char, kChunkBytes> chunk_{};
  std::vector<std::string> queued_;
  std::vector<std::string> writing_;
  std::size_t waiting_bytes_ = 0;  ///< In queued_ and writing_.
  bool ends_ = false;              ///< Nothing more is queued.
};

}  // namespace pipitpond::wire
