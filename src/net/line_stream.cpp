#include "net/line_stream.hpp"

#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>

#include "net/lingering_connection.hpp"

namespace pipitpond::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 4096;

}  // namespace

LineStream::LineStream(tcp::socket socket)
    : shared_(std::make_shared<Shared>(std::move(socket))), deadline_(shared_->socket.get_executor()) {
  error_code ignored;
  shared_->socket.set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<core::Result<std::unique_ptr<LineStream>>> LineStream::connect(asio::io_context& io,
                                                                               core::Endpoint endpoint,
                                                                               core::Duration timeout) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    co_return core::fail(core::ErrorKind::kConnectionRefused, endpoint.address + " is no IP number.",
                         "Correct the endpoint.");
  }
  const auto socket = std::make_shared<tcp::socket>(io);
  const auto timed_out = std::make_shared<bool>(false);
  asio::steady_timer timer(io, timeout);
  timer.async_wait([socket, timed_out](const error_code& cancelled) {
    if (!cancelled) {
      *timed_out = true;
      error_code ignored;
      socket->close(ignored);
    }
  });
  co_await socket->async_connect(tcp::endpoint(address, endpoint.port),
                                 asio::redirect_error(asio::use_awaitable, error));
  const bool in_time = timer.cancel() > 0 && !*timed_out;
  if (!in_time) {
    co_return core::fail(core::ErrorKind::kTimeout, core::to_string(endpoint) + " did not answer in time.",
                         "Check that it runs and can be reached.");
  }
  if (error) {
    co_return core::fail(core::ErrorKind::kConnectionRefused,
                         core::to_string(endpoint) + " can't be reached: " + error.message() + ".",
                         "Check that it runs and can be reached.");
  }
  co_return std::make_unique<LineStream>(std::move(*socket));
}

core::Error LineStream::lost() const {
  if (shared_->timed_out) {
    return core::Error{core::ErrorKind::kTimeout, "No answer came in time.",
                       "Try again, if it may run twice.", 0};
  }
  return core::Error{core::ErrorKind::kConnectionLost, "The connection was closed.",
                     "Try again, if it may run twice.", 0};
}

asio::awaitable<core::Result<std::string>> LineStream::read_line() {
  std::size_t searched = 0;
  while (true) {
    const auto end = buffer_.find("\r\n", searched);
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      co_return line;
    }
    searched = buffer_.empty() ? 0 : buffer_.size() - 1;
    if (buffer_.size() >= kMaxLineBytes) {
      co_return core::fail(core::ErrorKind::kTooLarge, "A line is too long.",
                           "Send at most 1 MiB in a line.");
    }
    std::array<char, kReadBytes> bytes;
    error_code error;
    const std::size_t count = co_await shared_->socket.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return lost();
    }
    buffer_.append(bytes.data(), count);
  }
}

asio::awaitable<core::Result<void>> LineStream::write(std::string lines) {
  error_code error;
  co_await asio::async_write(shared_->socket, asio::buffer(lines),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return lost();
  }
  co_return core::outcome::success();
}

void LineStream::set_deadline(core::Duration timeout) {
  deadline_.expires_after(timeout);
  deadline_.async_wait([shared = shared_](const error_code& cancelled) {
    if (!cancelled) {
      shared->timed_out = true;
      error_code ignored;
      shared->socket.close(ignored);
    }
  });
}

void LineStream::clear_deadline() {
  deadline_.cancel();
}

void LineStream::close() {
  error_code ignored;
  shared_->socket.close(ignored);
}

void LineStream::end(std::string last_lines) {
  error_code ignored;
  shared_->socket.cancel(ignored);
  const auto connection = std::make_shared<LingeringConnection>(
      std::move(shared_->socket), std::move(last_lines),
      [](const std::shared_ptr<LingeringConnection>& /*connection*/) {});
  connection->start();
}

bool LineStream::is_open() {
  if (!shared_->socket.is_open() || !buffer_.empty()) {
    return false;
  }
  char byte = 0;
  const auto count = ::recv(shared_->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace pipitpond::net
