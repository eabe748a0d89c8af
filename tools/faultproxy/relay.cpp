#include "relay.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pipitpond::faultproxy {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kReadBytes = 64UL * 1024;
/// A way that holds this much reads no more, so that its sender feels it.
constexpr std::size_t kMaxHeldBytes = 4UL * 1024 * 1024;
constexpr core::Duration kLongWait = std::chrono::hours(1);

/// Waits until the moment or until the timer is cancelled. Waiters look at the state anew afterwards.
asio::awaitable<void> wait(asio::steady_timer& timer, core::Duration duration) {
  timer.expires_after(std::max(duration, core::Duration::zero()));
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

Relay::Relay(asio::io_context& io, tcp::socket client, std::shared_ptr<LinkState> state)
    : io_(io),
      client_(std::move(client)),
      target_(io),
      state_(std::move(state)),
      queues_{WayQueue(io), WayQueue(io)} {}

void Relay::start(const tcp::endpoint& target) {
  asio::co_spawn(io_, run(shared_from_this(), target), asio::detached);
}

void Relay::reset() {
  if (closed_) {
    return;
  }
  closed_ = true;
  boost::system::error_code ignored;
  for (auto* socket : {&client_, &target_}) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  state_changed();
}

void Relay::lose_client() {
  if (closed_ || client_lost_) {
    return;
  }
  client_lost_ = true;
  boost::system::error_code ignored;
  client_.close(ignored);
  for (auto& queue : queues_) {
    queue.chunks.clear();
    queue.bytes = 0;
  }
  state_changed();
  asio::co_spawn(io_, reset_after(shared_from_this(), kDarkFarEndLimit), asio::detached);
}

asio::awaitable<void> Relay::reset_after([[maybe_unused]] std::shared_ptr<Relay> self, core::Duration delay) {
  asio::steady_timer timer(io_);
  co_await wait(timer, delay);
  reset();
}

void Relay::state_changed() {
  for (auto& queue : queues_) {
    queue.data.cancel();
    queue.room.cancel();
  }
}

asio::awaitable<void> Relay::run(std::shared_ptr<Relay> self, tcp::endpoint target) {
  boost::system::error_code error;
  co_await target_.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
  if (error || closed_) {
    reset();
    co_return;
  }
  client_.set_option(tcp::no_delay(true), error);
  target_.set_option(tcp::no_delay(true), error);
  for (const auto direction : {Direction::kToTarget, Direction::kFromTarget}) {
    asio::co_spawn(io_, read(self, direction), asio::detached);
    asio::co_spawn(io_, write(self, direction), asio::detached);
  }
}

asio::awaitable<void> Relay::read([[maybe_unused]] std::shared_ptr<Relay> self, Direction direction) {
  auto& source = direction == Direction::kToTarget ? client_ : target_;
  std::string buffer(kReadBytes, '\0');
  while (!closed_) {
    if (queue(direction).bytes >= kMaxHeldBytes) {
      co_await wait(queue(direction).room, kLongWait);
      continue;
    }
    boost::system::error_code error;
    const auto size = co_await source.async_read_some(asio::buffer(buffer),
                                                      asio::redirect_error(asio::use_awaitable, error));
    if (client_lost_ && direction == Direction::kToTarget) {
      co_return;
    }
    if (error == asio::error::eof) {
      push(direction, {});
      co_return;
    }
    if (error) {
      reset();
      co_return;
    }
    push(direction, buffer.substr(0, size));
  }
}

void Relay::push(Direction direction, std::string bytes) {
  auto& way = queue(direction);
  way.lost = way.lost || client_lost_ || (!bytes.empty() && state_->draw_drop(direction));
  if (way.lost) {
    return;
  }
  auto release = core::BootClock::now() + state_->draw_delay(direction);
  if (!way.chunks.empty()) {
    release = std::max(release, way.chunks.back().release);
  }
  way.bytes += bytes.size();
  way.chunks.push_back({release, std::move(bytes)});
  way.data.cancel();
}

asio::awaitable<void> Relay::write([[maybe_unused]] std::shared_ptr<Relay> self, Direction direction) {
  auto& sink = direction == Direction::kToTarget ? target_ : client_;
  auto& way = queue(direction);
  while (!closed_ && !client_lost_) {
    const auto now = core::BootClock::now();
    if (way.chunks.empty() || state_->way(direction).held) {
      co_await wait(way.data, kLongWait);
      continue;
    }
    if (way.chunks.front().release > now) {
      co_await wait(way.data, way.chunks.front().release - now);
      continue;
    }
    const auto chunk = std::move(way.chunks.front());
    way.chunks.pop_front();
    way.bytes -= chunk.bytes.size();
    boost::system::error_code error;
    if (chunk.bytes.empty()) {
      sink.shutdown(tcp::socket::shutdown_send, error);
      way_ended();
      co_return;
    }
    co_await asio::async_write(sink, asio::buffer(chunk.bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    if (client_lost_) {
      co_return;
    }
    if (error) {
      reset();
      co_return;
    }
    way.room.cancel();
  }
}

void Relay::way_ended() {
  if (--open_ways_ == 0 && !closed_) {
    closed_ = true;
    boost::system::error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    state_changed();
  }
}

}  // namespace pipitpond::faultproxy
