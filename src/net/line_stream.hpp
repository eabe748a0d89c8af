// Lines over one TCP connection.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"

namespace pipitpond::net {

/// Longest line in bytes, its end included.
inline constexpr std::size_t kMaxLineBytes = 1024UL * 1024;

/// A connection. One read and one write at a time.
class LineStream {
 public:
  explicit LineStream(boost::asio::ip::tcp::socket socket);
  ~LineStream() { close(); }
  LineStream(const LineStream&) = delete;
  LineStream& operator=(const LineStream&) = delete;

  /// Connects. Fails with kConnectionRefused, or kTimeout when nobody said anything.
  static boost::asio::awaitable<core::Result<std::unique_ptr<LineStream>>> connect(
      boost::asio::io_context& io, core::Endpoint endpoint, core::Duration timeout);

  /// The next line without its CR LF. Fails with kConnectionLost, kTimeout (see set_deadline) or kTooLarge.
  boost::asio::awaitable<core::Result<std::string>> read_line();
  /// Fails with kConnectionLost or kTimeout.
  boost::asio::awaitable<core::Result<void>> write(std::string lines);

  /// Closes the connection after `timeout`, unless clear_deadline comes first.
  void set_deadline(core::Duration timeout);
  void clear_deadline();

  void close();
  /// Writes the lines, ends the stream and reads nothing more; the peer's end is waited for in the
  /// background.
  void end(std::string last_lines);
  /// False once it was closed by this side, or, as far as can be seen, by the other.
  [[nodiscard]] bool is_open();
  /// Bytes of a further line have come already.
  [[nodiscard]] bool has_buffered() const { return !buffer_.empty(); }

 private:
  [[nodiscard]] core::Error lost() const;

  /// Shared with the deadline's callback, which may run after the stream is gone.
  struct Shared {
    explicit Shared(boost::asio::ip::tcp::socket connected) : socket(std::move(connected)) {}
    boost::asio::ip::tcp::socket socket;
    bool timed_out = false;
  };

  std::shared_ptr<Shared> shared_;
  boost::asio::steady_timer deadline_;
  std::string buffer_;
};

}  // namespace pipitpond::net
