// The link of one machine: all of its connections share one rate, and bytes that wait for the link are
// delivered in their order.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"

namespace pipitpond::testing {

/// How fast the link is and what else uses it.
struct LinkRate {
  double bytes_per_second = 0;
  double others_share = 0;  ///< Part of the rate that other traffic takes, 0 to below 1.
  core::Duration delay{0};  ///< Each way, on top of the time that the rate costs.
};

/// Relays connections between this machine and others. Runs on the io_context of what it connects.
class MachineLink {
 public:
  MachineLink(boost::asio::io_context& io, LinkRate rate);
  ~MachineLink();
  MachineLink(const MachineLink&) = delete;
  MachineLink& operator=(const MachineLink&) = delete;

  /// Where this machine reaches `target` by way of the link. One listener for each target.
  core::Endpoint way_to(const core::Endpoint& target);
  /// Resets all connections, as when the machines at the other end lose power.
  void reset_connections();
  /// Bytes that came to this machine.
  [[nodiscard]] std::uint64_t bytes_delivered() const { return state_->delivered; }

 private:
  struct State {
    explicit State(LinkRate link_rate) : rate(link_rate) {}
    LinkRate rate;
    core::Instant free_at;  ///< When what waits for the link is through.
    std::uint64_t delivered = 0;
    bool stopped = false;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> sockets;
  };
  struct Listener {
    core::Endpoint target;
    std::uint16_t port = 0;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  };
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
  struct Packet {
    core::Instant arrives;
    std::string bytes;
  };
  /// One way of one connection.
  struct Way {
    Way(Socket source, Socket sink)
        : from(std::move(source)),
          to(std::move(sink)),
          changed(from->get_executor()),
          room(from->get_executor()),
          arrival(from->get_executor()) {}
    Socket from;
    Socket to;
    bool to_machine = false;
    bool ended = false;
    std::deque<Packet> packets;
    boost::asio::steady_timer changed;  ///< Cancelled when there is a packet, or none will follow.
    boost::asio::steady_timer room;     ///< Cancelled when a packet has left the queue.
    boost::asio::steady_timer arrival;
  };
  using WayPointer = std::shared_ptr<Way>;

  static boost::asio::awaitable<void> accept(std::shared_ptr<State> state,
                                             std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                                             core::Endpoint target);
  static boost::asio::awaitable<void> connect(std::shared_ptr<State> state, Socket machine,
                                              core::Endpoint target);
  static boost::asio::awaitable<void> read(std::shared_ptr<State> state, WayPointer way);
  static boost::asio::awaitable<void> write(std::shared_ptr<State> state, WayPointer way);

  boost::asio::io_context& io_;
  std::shared_ptr<State> state_;
  std::vector<Listener> listeners_;
};

}  // namespace pipitpond::testing
