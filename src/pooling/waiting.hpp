// Timed waits in coroutines. Single-threaded.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// Suspends the calling coroutine for `duration`.
inline boost::asio::awaitable<void> pause_for(boost::asio::io_context& io, core::Duration duration) {
  boost::asio::steady_timer timer(io, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace pipitpond::pooling
