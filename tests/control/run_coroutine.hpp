// Runs coroutines of a test on the test's io_context.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <utility>

namespace pipitpond::control {

/// Timeout of run and run_until.
inline constexpr std::chrono::seconds kTestLimit{30};

/// Runs the io_context until `done` returns true. Returns false after kTestLimit.
inline bool run_until(boost::asio::io_context& io, const std::function<bool()>& done) {
  const auto deadline = std::chrono::steady_clock::now() + kTestLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// Stores the result of a coroutine in `value`.
template <typename Value>
boost::asio::awaitable<void> store(boost::asio::awaitable<Value> coroutine, std::optional<Value>& value) {
  value.emplace(co_await std::move(coroutine));
}

/// Runs a coroutine and returns its result. Throws after kTestLimit.
template <typename Value>
Value run(boost::asio::io_context& io, boost::asio::awaitable<Value> coroutine) {
  std::optional<Value> value;
  boost::asio::co_spawn(io, store(std::move(coroutine), value), boost::asio::detached);
  if (!run_until(io, [&value] { return value.has_value(); })) {
    throw std::runtime_error("The coroutine did not finish before the time limit of the test.");
  }
  return std::move(*value);
}

}  // namespace pipitpond::control
