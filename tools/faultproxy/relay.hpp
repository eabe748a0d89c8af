// One proxied TCP connection: two ways, each with its own queue, delay and faults. Order within a way is
// kept.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>

#include "faults.hpp"

namespace pipitpond::faultproxy {

/// A connection from a client through to the target.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  /// `state` is the link's and is shared by its relays.
  Relay(boost::asio::io_context& io, boost::asio::ip::tcp::socket client, std::shared_ptr<LinkState> state);

  /// Connects to the target and relays until both ways have ended or one fails.
  void start(const boost::asio::ip::tcp::endpoint& target);
  /// Closes both sides with a reset.
  void reset();
  /// The client's machine loses power: nothing passes any more, and the target hears no end of the connection
  /// until it finds the far end dark, kDarkFarEndLimit later.
  void lose_client();
  /// Looks at the link's state again after it was changed.
  void state_changed();
  [[nodiscard]] bool closed() const { return closed_; }

 private:
  /// Bytes that were read, and when they may be written. No bytes: the end of the stream.
  struct Chunk {
    core::Instant release;
    std::string bytes;
  };
  struct WayQueue {
    explicit WayQueue(boost::asio::io_context& io) : data(io), room(io) {}
    std::deque<Chunk> chunks;
    std::size_t bytes = 0;
    bool lost = false;               ///< Bytes were dropped: nothing of this way may follow.
    boost::asio::steady_timer data;  ///< The writer waits on it; cancelled to wake it up.
    boost::asio::steady_timer room;  ///< The reader waits on it when the queue is full.
  };

  boost::asio::awaitable<void> run(std::shared_ptr<Relay> self, boost::asio::ip::tcp::endpoint target);
  boost::asio::awaitable<void> read(std::shared_ptr<Relay> self, Direction direction);
  boost::asio::awaitable<void> write(std::shared_ptr<Relay> self, Direction direction);
  void push(Direction direction, std::string bytes);
  void way_ended();
  boost::asio::awaitable<void> reset_after(std::shared_ptr<Relay> self, core::Duration delay);
  WayQueue& queue(Direction direction) { return queues_[static_cast<std::size_t>(direction)]; }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket client_;
  boost::asio::ip::tcp::socket target_;
  std::shared_ptr<LinkState> state_;
  std::array<WayQueue, 2> queues_;
  int open_ways_ = 2;
  bool closed_ = false;
  bool client_lost_ = false;
};

/// A connection whose far end is dark is dropped after this time.
inline constexpr core::Duration kDarkFarEndLimit = std::chrono::seconds(3);

}  // namespace pipitpond::faultproxy
