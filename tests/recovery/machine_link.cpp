#include "recovery/machine_link.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace pipitpond::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Payload of one packet on Ethernet.
constexpr std::size_t kPacketBytes = 1448;
/// Of one connection that may be on their way.
constexpr std::size_t kMostPackets = 64;
/// Small buffers, so that what waits does so at the sender, as it does before a slow link.
constexpr int kSocketBuffer = 16 * 1024;

asio::awaitable<void> wait(asio::steady_timer& timer, core::Duration duration) {
  error_code ignored;
  timer.expires_after(duration);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void close(tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

core::Duration time_on_link(const LinkRate& rate, std::size_t bytes) {
  const double seconds = static_cast<double>(bytes) / (rate.bytes_per_second * (1 - rate.others_share));
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

MachineLink::MachineLink(asio::io_context& io, LinkRate rate)
    : io_(io), state_(std::make_shared<State>(rate)) {}

MachineLink::~MachineLink() {
  state_->stopped = true;
  reset_connections();
  for (const Listener& listener : listeners_) {
    error_code ignored;
    listener.acceptor->close(ignored);
  }
}

core::Endpoint MachineLink::way_to(const core::Endpoint& target) {
  for (const Listener& listener : listeners_) {
    if (listener.target == target) {
      return {"127.0.0.1", listener.port};
    }
  }
  auto acceptor = std::make_shared<tcp::acceptor>(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::uint16_t port = acceptor->local_endpoint().port();
  listeners_.push_back(Listener{target, port, acceptor});
  asio::co_spawn(io_, accept(state_, acceptor, target), asio::detached);
  return {"127.0.0.1", port};
}

void MachineLink::reset_connections() {
  for (const auto& weak : state_->sockets) {
    if (const auto socket = weak.lock()) {
      close(*socket);
    }
  }
  state_->sockets.clear();
}

asio::awaitable<void> MachineLink::accept(std::shared_ptr<State> state,
                                          std::shared_ptr<tcp::acceptor> acceptor, core::Endpoint target) {
  while (!state->stopped) {
    error_code error;
    auto machine = std::make_shared<tcp::socket>(
        co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error)));
    if (!error) {
      const auto executor = acceptor->get_executor();
      asio::co_spawn(executor, connect(state, std::move(machine), target), asio::detached);
    }
  }
}

asio::awaitable<void> MachineLink::connect(std::shared_ptr<State> state, Socket machine,
                                           core::Endpoint target) {
  auto other = std::make_shared<tcp::socket>(machine->get_executor());
  error_code error;
  other->open(tcp::v4(), error);
  other->set_option(asio::socket_base::receive_buffer_size(kSocketBuffer), error);
  const tcp::endpoint endpoint(asio::ip::make_address(target.address), target.port);
  co_await other->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    close(*machine);
    co_return;
  }
  state->sockets.push_back(machine);
  state->sockets.push_back(other);
  const auto executor = machine->get_executor();
  for (const bool to_machine : {true, false}) {
    const auto way = std::make_shared<Way>(to_machine ? other : machine, to_machine ? machine : other);
    way->to_machine = to_machine;
    asio::co_spawn(executor, read(state, way), asio::detached);
    asio::co_spawn(executor, write(state, way), asio::detached);
  }
}

asio::awaitable<void> MachineLink::read(std::shared_ptr<State> state, WayPointer way) {
  std::array<char, kPacketBytes> packet{};
  error_code error;
  while (!state->stopped) {
    const std::size_t size = co_await way->from->async_read_some(
        asio::buffer(packet), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    core::Instant through = core::BootClock::now();
    if (way->to_machine) {
      state->free_at = std::max(state->free_at, through) + time_on_link(state->rate, size);
      state->delivered += size;
      through = state->free_at;
    }
    way->packets.push_back(Packet{through + state->rate.delay, std::string(packet.data(), size)});
    way->changed.cancel();
    while (way->packets.size() >= kMostPackets && !state->stopped) {
      co_await wait(way->room, std::chrono::seconds(1));
    }
  }
  close(*way->from);
  way->ended = true;
  way->changed.cancel();
}

asio::awaitable<void> MachineLink::write(std::shared_ptr<State> state, WayPointer way) {
  error_code error;
  while (!error && !state->stopped) {
    if (way->packets.empty()) {
      if (way->ended) {
        break;
      }
      co_await wait(way->changed, std::chrono::seconds(1));
      continue;
    }
    const Packet packet = std::move(way->packets.front());
    way->packets.pop_front();
    way->room.cancel();
    co_await wait(way->arrival, packet.arrives - core::BootClock::now());
    co_await asio::async_write(*way->to, asio::buffer(packet.bytes),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  close(*way->from);
  close(*way->to);
}

}  // namespace pipitpond::testing
