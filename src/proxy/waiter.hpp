// One coroutine's wait for a value that another one provides, with a deadline. Single-threaded.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

#include "core/clock.hpp"

namespace pipitpond::proxy {

/// Time left until the deadline; zero when it has passed.
inline core::Duration time_left(core::Instant deadline) {
  return std::max(core::Duration::zero(), deadline - core::BootClock::now());
}

/// Shared by the waiting coroutine and by whoever provides the value.
template <typename Value>
class Waiter {
 public:
  explicit Waiter(boost::asio::io_context& io) : timer_(io) {}

  /// Provides the value and wakes the waiting coroutine. Only the first call counts. Returns false when the
  /// coroutine has stopped waiting: the value was not taken and stays with the caller.
  bool provide(Value&& value) {
    if (value_ || ended_) {
      return false;
    }
    value_.emplace(std::move(value));
    timer_.cancel();
    return true;
  }

  /// Waits until the value is there or the deadline has passed; then it is empty.
  boost::asio::awaitable<std::optional<Value>> wait_until(core::Instant deadline) {
    if (!value_) {
      boost::system::error_code ignored;
      timer_.expires_after(time_left(deadline));
      co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    ended_ = true;
    std::optional<Value> taken = std::move(value_);
    value_.reset();
    co_return taken;
  }

  /// True once the coroutine has stopped waiting.
  [[nodiscard]] bool ended() const { return ended_; }

 private:
  boost::asio::steady_timer timer_;
  std::optional<Value> value_;
  bool ended_ = false;
};

/// Suspends the calling coroutine for a while.
inline boost::asio::awaitable<void> sleep_for(boost::asio::io_context& io, core::Duration duration) {
  boost::asio::steady_timer timer(io);
  timer.expires_after(duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace pipitpond::proxy
