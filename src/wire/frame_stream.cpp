#include "wire/frame_stream.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "wire/server.hpp"

namespace pipitpond::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using UnacknowledgedLimit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;

// A peer that vanished in silence is noticed after this long, also when nothing is called.
constexpr int kUnacknowledgedMillis = 10'000;
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 3;

}  // namespace

FrameStream::FrameStream(tcp::socket socket, std::shared_ptr<ByteCounters> counters)
    : socket_(std::move(socket)), counters_(std::move(counters)), decoder_(kMaxFrameBytes) {
  set_socket_options();
}

void FrameStream::set_socket_options() {
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  socket_.set_option(UnacknowledgedLimit(kUnacknowledgedMillis), ignored);
  socket_.set_option(KeepAliveIdle(kKeepAliveIdleSeconds), ignored);
  socket_.set_option(KeepAliveInterval(kKeepAliveIntervalSeconds), ignored);
}

asio::awaitable<std::optional<Frame>> FrameStream::read() {
  while (true) {
    auto next = decoder_.next();
    if (!next.has_value()) {
      close();
      co_return std::nullopt;
    }
    if (next.value().has_value()) {
      co_return std::move(next.value());
    }
    boost::system::error_code error;
    const std::size_t length = co_await socket_.async_read_some(
        asio::buffer(chunk_), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      close();
      co_return std::nullopt;
    }
    counters_->received += length;
    decoder_.feed({chunk_.data(), length});
  }
}

bool FrameStream::send(const Frame& frame) {
  if (!socket_.is_open() || ends_) {
    return false;
  }
  std::string bytes = encode(frame);
  if (waiting_bytes_ > 0 && waiting_bytes_ + bytes.size() > kMaxQueuedBytes) {
    return false;
  }
  waiting_bytes_ += bytes.size();
  queued_.push_back(std::move(bytes));
  if (writing_.empty()) {
    write_queued();
  }
  return true;
}

void FrameStream::write_queued() {
  writing_ = std::exchange(queued_, {});
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& bytes : writing_) {
    buffers.push_back(asio::buffer(bytes));
  }
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](const boost::system::error_code& error, std::size_t written) {
                      self->counters_->sent += written;
                      self->writing_.clear();
                      self->waiting_bytes_ -= written;
                      if (error) {
                        self->close();
                      } else if (!self->queued_.empty()) {
                        self->write_queued();
                      } else if (self->ends_) {
                        self->end_stream();
                      }
                    });
}

void FrameStream::end() {
  ends_ = true;
  if (writing_.empty()) {
    end_stream();
  }
}

void FrameStream::end_stream() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void FrameStream::close() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  queued_.clear();
}

}  // namespace pipitpond::wire
