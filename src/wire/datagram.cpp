#include "wire/datagram.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/system/system_error.hpp>

namespace pipitpond::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

core::Error no_socket(const boost::system::system_error& error) {
  return core::Error{core::ErrorKind::kUnavailable,
                     "No socket for datagrams can be had: " + error.code().message() + ".",
                     "Free the port, or raise the limit of open files."};
}

class UdpSender : public DatagramSender {
 public:
  explicit UdpSender(asio::io_context& io) : socket_(io, udp::v4()) { socket_.non_blocking(true); }

  void send(const core::Endpoint& to, const std::string& bytes) override {
    error_code error;
    const auto address = asio::ip::make_address(to.address, error);
    if (!error) {
      // A full buffer or an unreachable machine loses the datagram, as the way there may.
      socket_.send_to(asio::buffer(bytes), udp::endpoint(address, to.port), 0, error);
    }
  }

 private:
  udp::socket socket_;
};

/// Shared with the operation in progress, which ends after the listener.
class ListenerState : public std::enable_shared_from_this<ListenerState> {
 public:
  ListenerState(asio::io_context& io, const udp::endpoint& at, DatagramListener::Receive receive)
      : socket_(io, at), receive_(std::move(receive)) {}

  void listen() {
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [self = shared_from_this()](const error_code& error, std::size_t length) {
          if (self->stopped_) {
            return;
          }
          if (!error) {
            self->receive_(std::string(self->buffer_.data(), length));
          }
          self->listen();  // An error tells of one datagram only: a peer without a listener.
        });
  }

  void stop() {
    stopped_ = true;
    error_code ignored;
    socket_.close(ignored);
  }

  [[nodiscard]] std::uint16_t port() const { return socket_.local_endpoint().port(); }

 private:
  udp::socket socket_;
  DatagramListener::Receive receive_;
  udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  bool stopped_ = false;
};

class UdpListener : public DatagramListener {
 public:
  explicit UdpListener(std::shared_ptr<ListenerState> state) : state_(std::move(state)) {}
  UdpListener(const UdpListener&) = delete;
  UdpListener& operator=(const UdpListener&) = delete;
  ~UdpListener() override { state_->stop(); }

  [[nodiscard]] std::uint16_t port() const override { return state_->port(); }

 private:
  std::shared_ptr<ListenerState> state_;
};

}  // namespace

core::Result<std::unique_ptr<DatagramSender>> DatagramSender::open(boost::asio::io_context& io) {
  try {
    return std::unique_ptr<DatagramSender>(std::make_unique<UdpSender>(io));
  } catch (const boost::system::system_error& error) {
    return no_socket(error);
  }
}

core::Result<std::unique_ptr<DatagramListener>> DatagramListener::open(boost::asio::io_context& io,
                                                                       const core::Endpoint& at,
                                                                       Receive receive) {
  try {
    const udp::endpoint endpoint(asio::ip::make_address(at.address), at.port);
    auto state = std::make_shared<ListenerState>(io, endpoint, std::move(receive));
    state->listen();
    return std::unique_ptr<DatagramListener>(std::make_unique<UdpListener>(std::move(state)));
  } catch (const boost::system::system_error& error) {
    return no_socket(error);
  }
}

}  // namespace pipitpond::wire
