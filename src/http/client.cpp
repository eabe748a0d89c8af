#include "http/client.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <string>
#include <utility>

#include "http/closing_answer.hpp"

namespace pipitpond::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using core::ErrorKind;
/// In ms.
using UnacknowledgedLimit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// A request's head without its path takes about this many bytes.
constexpr std::size_t kHeadBytes = 160;
/// Least and most room for one read: nearly every answer fits into the least.
constexpr std::size_t kMinReadBytes = 4UL * 1024;
constexpr std::size_t kMaxReadBytes = 64UL * 1024;
constexpr const char* kCheckPeer = "Check that the peer runs and is reachable, then retry.";
constexpr const char* kMayHaveRun = "The request may have run: ask for its outcome before a retry.";

/// Shared by the client and the request in progress, so that dropping the client is safe at any time.
struct Connection {
  Connection(asio::io_context& io, core::Endpoint endpoint)
      : socket(io), timer(io), peer(std::move(endpoint)), host(to_string(peer)) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  core::Endpoint peer;
  std::string host;
  beast::flat_buffer buffer;
  bool busy = false;
  bool timed_out = false;
  bool ended = false;            ///< Nothing is sent any more, and nothing that arrives is an answer.
  bool resets_on_close = false;  ///< Closing drops what the peer has not received, in place of sending it.

  /// Ends this side of the stream. The socket stays, so that the peer's end can be waited for, unless what it
  /// has still to send must not arrive.
  void end() {
    if (std::exchange(ended, true)) {
      return;
    }
    error_code ignored;
    socket.cancel(ignored);
    if (resets_on_close) {
      socket.close(ignored);
      return;
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  void close() {
    end();
    error_code ignored;
    socket.close(ignored);
  }

  /// Bounds the time that a request is on its way.
  void limit_unacknowledged(core::Duration limit, error_code& error) {
    socket.set_option(UnacknowledgedLimit(static_cast<int>(core::to_millis(limit))), error);
    if (!error) {
      set_reset_on_close(true, error);
    }
  }

  /// The peer has the whole request: closing need not reset any more.
  void close_in_peace() {
    error_code ignored;
    if (resets_on_close) {
      set_reset_on_close(false, ignored);
    }
  }

  /// Between requests any byte or an end of stream from the peer makes the connection useless. The kernel
  /// already knows of it, so one look without waiting suffices.
  [[nodiscard]] bool is_quiet() {
    if (ended || !socket.is_open()) {
      return false;
    }
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

 private:
  void set_reset_on_close(bool reset, error_code& error) {
    socket.set_option(asio::socket_base::linger(reset, 0), error);
    resets_on_close = reset && !error;
  }
};

using HttpResponse = beast::http::response<beast::http::string_body>;
using ResponseParser = beast::http::response_parser<beast::http::string_body>;

/// Limits the time of what is in progress on a connection: ends it at the limit, which ends the operation.
class TimeLimit {
 public:
  TimeLimit(const std::shared_ptr<Connection>& connection, core::Duration limit) : connection_(*connection) {
    connection_.timed_out = false;
    connection_.timer.expires_after(limit);
    connection_.timer.async_wait([weak = std::weak_ptr<Connection>(connection)](error_code error) {
      const auto late = weak.lock();
      // A timer that has rung already can't be cancelled any more, so look whether it still counts.
      if (!error && late && late->timer.expiry() <= asio::steady_timer::clock_type::now()) {
        late->timed_out = true;
        late->end();
      }
    });
  }
  TimeLimit(const TimeLimit&) = delete;
  TimeLimit& operator=(const TimeLimit&) = delete;
  ~TimeLimit() { connection_.timer.expires_at(asio::steady_timer::time_point::max()); }

 private:
  Connection& connection_;
};

/// The whole request as it goes over the wire.
std::string to_wire(const Request& request, const std::string& host) {
  std::string text;
  text.reserve(kHeadBytes + request.path.size() + request.query.size() + request.body.size());
  text.append(request.method).append(" ").append(request.path);
  if (!request.query.empty()) {
    text.append("?").append(request.query);
  }
  text.append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  for (const Header& header : request.headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!request.body.empty() && header_value(request.headers, "Content-Type").empty()) {
    text.append("Content-Type: application/json\r\n");
  }
  if (!request.body.empty() || request.method == "POST") {
    text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  return text.append("\r\n").append(request.body);
}

Response from_http(HttpResponse message) {
  Response response;
  response.status = message.result_int();
  response.content_type = std::string(message[beast::http::field::content_type]);
  for (const auto& field : message) {
    response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  response.close_connection = !message.keep_alive();
  return response;
}

auto failure_of(const Connection& connection, error_code error) {
  if (connection.timed_out) {
    return core::fail(ErrorKind::kTimeout, connection.host + " did not answer in time.", kMayHaveRun);
  }
  return core::fail(ErrorKind::kConnectionLost,
                    "Connection to " + connection.host + " broke: " + error.message() + ".", kMayHaveRun);
}

auto nothing_sent(const core::Endpoint& peer, const std::string& why) {
  return core::fail(ErrorKind::kConnectionRefused,
                    "Nothing was sent to " + to_string(peer) + ": " + why + ".", kCheckPeer);
}

/// Gives the parser what the buffer holds. True when the response is whole; fails when it is malformed.
bool parse_buffered(Connection& connection, ResponseParser& parser, error_code& error) {
  while (!parser.is_done() && connection.buffer.size() > 0) {
    const std::size_t consumed = parser.put(connection.buffer.data(), error);
    connection.buffer.consume(consumed);
    if (error == beast::http::error::need_more) {
      error = {};
      break;
    }
    if (error) {
      return false;
    }
  }
  return parser.is_done();
}

asio::awaitable<core::Result<Response>> exchange(std::shared_ptr<Connection> connection, Request request,
                                                 core::Duration timeout) {
  if (!connection->is_quiet()) {
    connection->end();
    co_return nothing_sent(connection->peer, "the connection was closed");
  }
  const std::string message = to_wire(request, connection->host);
  const TimeLimit limit(connection, timeout);
  error_code error;
  // Nearly always the kernel takes the whole request at once.
  std::size_t written = connection->socket.write_some(asio::buffer(message), error);
  if (error == asio::error::would_block) {
    error = {};
  }
  if (!error && written < message.size()) {
    const auto rest = asio::buffer(message) + written;
    written += co_await asio::async_write(connection->socket, rest,
                                          asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    connection->end();
    if (written == 0) {
      co_return nothing_sent(connection->peer, error.message());
    }
    co_return failure_of(*connection, error);
  }
  ResponseParser parser;
  parser.eager(true);
  parser.body_limit(kMaxResponseBytes);
  parser.skip(request.method == "HEAD");
  while (!parse_buffered(*connection, parser, error) && !error) {
    // An end that came while a read had completed cancelled nothing.
    if (connection->ended) {
      error = asio::error::operation_aborted;
      break;
    }
    const std::size_t room = std::max(kMinReadBytes, beast::read_size(connection->buffer, kMaxReadBytes));
    const auto space = connection->buffer.prepare(room);
    const std::size_t received =
        co_await connection->socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
    connection->buffer.commit(received);
    if (error == asio::error::eof && parser.got_some()) {
      error = {};
      parser.put_eof(error);
    }
  }
  if (error) {
    connection->end();
    co_return failure_of(*connection, error);
  }
  connection->close_in_peace();
  // Bytes past the response belong to no request of ours: never let them answer a later one.
  if (!parser.keep_alive() || connection->buffer.size() > 0) {
    connection->end();
  }
  Response response = from_http(parser.release());
  if (response.status == kRequestTimeout) {
    // The peer ended the idle connection while the request was on its way and read none of it.
    connection->end();
    co_return nothing_sent(connection->peer, "the peer ended the connection before it read the request");
  }
  co_return response;
}

asio::awaitable<void> wait_for_end(std::shared_ptr<Connection> connection) {
  connection->end();
  constexpr std::size_t kReadBytes = 4096;
  std::array<char, kReadBytes> unread{};
  error_code error;
  while (!error) {
    co_await connection->socket.async_read_some(asio::buffer(unread),
                                                asio::redirect_error(asio::use_awaitable, error));
  }
}

class BeastClient : public Client {
 public:
  explicit BeastClient(std::shared_ptr<Connection> connection) : connection_(std::move(connection)) {}
  BeastClient(const BeastClient&) = delete;
  BeastClient& operator=(const BeastClient&) = delete;
  ~BeastClient() override { connection_->close(); }

  asio::awaitable<core::Result<Response>> send(Request request, core::Duration timeout) override {
    const auto connection = connection_;
    if (connection->busy) {
      co_return nothing_sent(connection->peer, "another request is in progress on the connection");
    }
    connection->busy = true;
    auto result = co_await exchange(connection, std::move(request), timeout);
    connection->busy = false;
    co_return result;
  }

  [[nodiscard]] bool is_open() const override {
    return connection_->busy ? !connection_->ended : connection_->is_quiet();
  }

  void close() override { connection_->end(); }

  asio::awaitable<void> closed_by_peer() override { return wait_for_end(connection_); }

 private:
  std::shared_ptr<Connection> connection_;
};

}  // namespace

asio::awaitable<Client::Connected> Client::connect(boost::asio::io_context& io, core::Endpoint endpoint,
                                                   ConnectOptions options) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    co_return nothing_sent(endpoint, "the address is not an IP number");
  }
  const auto connection = std::make_shared<Connection>(io, endpoint);
  const TimeLimit limit(connection, options.timeout);
  co_await connection->socket.async_connect(asio::ip::tcp::endpoint(address, endpoint.port),
                                            asio::redirect_error(asio::use_awaitable, error));
  if (!error && connection->ended) {
    error = asio::error::timed_out;
  }
  if (!error) {
    connection->socket.set_option(asio::ip::tcp::no_delay(true), error);
  }
  if (!error) {
    connection->socket.non_blocking(true, error);
  }
  if (!error && options.unacknowledged_limit) {
    connection->limit_unacknowledged(*options.unacknowledged_limit, error);
  }
  if (error) {
    co_return nothing_sent(endpoint, connection->timed_out ? "it did not answer in time" : error.message());
  }
  co_return std::unique_ptr<Client>(std::make_unique<BeastClient>(connection));
}

}  // namespace pipitpond::http
