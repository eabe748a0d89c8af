// Last moments of a connection that the server ends: a closing answer, if there is one, is written, this side
// of the stream is ended, and what the client still sends is read and dropped until it closes too (RFC 9112,
// section 9.6). Closing at once would reset the connection of a client that has just sent something, and the
// reset could destroy an answer before the client has read it.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace pipitpond::net {

/// Owns itself through its pending operations until closed.
class LingeringConnection : public std::enable_shared_from_this<LingeringConnection> {
 public:
  /// Called once, when the connection is closed.
  using Ended = std::function<void(const std::shared_ptr<LingeringConnection>&)>;

  /// `last_words` may be empty.
  LingeringConnection(boost::asio::ip::tcp::socket socket, std::string last_words, Ended ended);

  /// Writes the last words and begins to drop input.
  void start();
  /// Closes at once.
  void close();

 private:
  /// Longest that a client's end is waited for.
  static constexpr auto kMaxLinger = std::chrono::seconds(2);
  static constexpr std::size_t kBufferBytes = 2UL * 1024;

  void end_stream();
  void drop_input();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string last_words_;
  Ended ended_;
  std::array<char, kBufferBytes> buffer_{};
};

}  // namespace pipitpond::net
