// A single-use, single-threaded channel: one coroutine waits for a value that other code delivers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

#include "core/clock.hpp"

namespace pipitpond::control {

/// Both sides hold it by shared_ptr, because the waiter may time out before the value is delivered.
template <typename Value>
class OneShot {
 public:
  explicit OneShot(boost::asio::io_context& io) : timer_(io) {}

  /// Delivers the value. Further values are ignored.
  void deliver(Value value) {
    if (value_) {
      return;
    }
    value_ = std::move(value);
    timer_.cancel();
  }

  /// Waits for the value; returns nothing after the timeout. `self` keeps the object alive during the wait.
  static boost::asio::awaitable<std::optional<Value>> wait(std::shared_ptr<OneShot> self,
                                                           core::Duration timeout) {
    if (!self->value_) {
      boost::system::error_code ignored;
      self->timer_.expires_after(timeout);
      co_await self->timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return std::move(self->value_);
  }

 private:
  boost::asio::steady_timer timer_;
  std::optional<Value> value_;
};

}  // namespace pipitpond::control
