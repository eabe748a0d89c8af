#include "net/lingering_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace pipitpond::net {

LingeringConnection::LingeringConnection(boost::asio::ip::tcp::socket socket, std::string last_words,
                                         Ended ended)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      last_words_(std::move(last_words)),
      ended_(std::move(ended)) {}

void LingeringConnection::start() {
  timer_.expires_after(kMaxLinger);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) {
      self->close();
    }
  });
  if (last_words_.empty()) {
    end_stream();
    return;
  }
  boost::asio::async_write(
      socket_, boost::asio::buffer(last_words_),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*written*/) {
        if (error) {
          self->close();
        } else {
          self->end_stream();
        }
      });
}

void LingeringConnection::close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  if (const auto ended = std::exchange(ended_, {})) {
    ended(shared_from_this());
  }
}

void LingeringConnection::end_stream() {
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  drop_input();
}

void LingeringConnection::drop_input() {
  socket_.async_read_some(
      boost::asio::buffer(buffer_),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*length*/) {
        if (error) {
          self->close();
        } else {
          self->drop_input();
        }
      });
}

}  // namespace pipitpond::net
