#include "http/server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <exception>
#include <restinio/http_server.hpp>
#include <restinio/message_builders.hpp>
#include <string_view>
#include <utility>

#include "http/closing_answer.hpp"
#include "http/connection_table.hpp"
#include "net/listening_socket.hpp"

namespace pipitpond::http {

/// The socket that is being handed to RESTinio right now, for the listener that learns of it next.
static TrackedSocket* accepted_socket = nullptr;  // NOLINT(readability-identifier-naming)

/// RESTinio's extension point, found through the socket's type: called once for each new connection, whose
/// state listener runs within start_read.
template <typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(TrackedSocket& socket, Connection& /*connection*/,
                                       StartRead start_read, Failed /*failed*/) {
  accepted_socket = &socket;
  start_read();
}

namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxUrlBytes = 8UL * 1024;
constexpr std::size_t kMaxHeaderNameBytes = 256;
constexpr std::size_t kMaxHeaderValueBytes = 32UL * 1024;
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kReadBufferBytes = 8UL * 1024;
// Handlers keep their own deadlines: a responder that is dropped closes the connection.
constexpr auto kHandlingLimit = std::chrono::hours(24);

constexpr core::Duration kDrainPoll = std::chrono::milliseconds(10);

constexpr unsigned kBadRequest = 400;
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kUriTooLong = 414;
constexpr unsigned kHeadersTooLarge = 431;

/// Status for a message of RESTinio that names an error code of its HTTP parser; the limits of
/// incoming_http_msg_limits_t show up as failed callbacks.
unsigned status_of_parser_error(std::string_view message) {
  const auto names = [&](std::string_view code) { return message.find(code) != std::string_view::npos; };
  if (names("HPE_CB_body") || names("HPE_CB_headers_complete")) {
    return kPayloadTooLarge;
  }
  if (names("HPE_CB_url")) {
    return kUriTooLong;
  }
  if (names("HPE_CB_header") || names("HPE_HEADER_OVERFLOW")) {
    return kHeadersTooLarge;
  }
  return kBadRequest;
}

/// RESTinio closes a connection with a malformed request silently. It logs the reason just before, in the
/// same call, so the logger arranges for an answer.
class ParserErrorLogger {
 public:
  explicit ParserErrorLogger(std::shared_ptr<ConnectionTable> table) : table_(std::move(table)) {}

  template <typename Builder>
  void trace(Builder&& /*builder*/) {}
  template <typename Builder>
  void info(Builder&& /*builder*/) {}
  template <typename Builder>
  void warn(Builder&& /*builder*/) {}
  template <typename Builder>
  void error(Builder&& builder) {
    const std::string message = builder();
    table_->take_rejection();
    if (message.find("] parser error ") != std::string::npos) {
      table_->reject_next(status_of_parser_error(message));
    }
  }

 private:
  std::shared_ptr<ConnectionTable> table_;
};

/// Learns of new and closed connections.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<ConnectionTable> table) : table_(std::move(table)) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    const auto cause = notice.cause();
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
      std::exchange(accepted_socket, nullptr)->attach(table_, notice.connection_id());
    } else {
      table_->remove(notice.connection_id());
    }
  }

 private:
  std::shared_ptr<ConnectionTable> table_;
};

/// Turns away connections over the limit at once, so that their clients need not wait for a timeout.
class ConnectionLimiter {
 public:
  explicit ConnectionLimiter(std::shared_ptr<ConnectionTable> table) : table_(std::move(table)) {}

  restinio::ip_blocker::inspection_result_t inspect(
      const restinio::ip_blocker::incoming_info_t& /*info*/) noexcept {
    return table_->has_room() ? restinio::ip_blocker::inspection_result_t::allow
                              : restinio::ip_blocker::inspection_result_t::deny;
  }

 private:
  std::shared_ptr<ConnectionTable> table_;
};

struct ServerTraits
    : public restinio::traits_t<restinio::asio_timer_manager_t, ParserErrorLogger,
                                restinio::default_request_handler_t, restinio::noop_strand_t, TrackedSocket> {
  using connection_state_listener_t = ConnectionListener;  // NOLINT(readability-identifier-naming)
  using ip_blocker_t = ConnectionLimiter;                  // NOLINT(readability-identifier-naming)
};

using RestinioServer = restinio::http_server_t<ServerTraits>;

/// One request that has no response yet. Closes the connection when dropped without one.
class PendingRequest {
 public:
  PendingRequest(restinio::request_handle_t request, std::shared_ptr<ConnectionTable> table)
      : request_(std::move(request)), table_(std::move(table)) {}
  PendingRequest(const PendingRequest&) = delete;
  PendingRequest& operator=(const PendingRequest&) = delete;
  ~PendingRequest() {
    if (request_) {
      table_->close(request_->connection_id());
    }
  }

  /// Sends the response; the second and later ones are ignored.
  void respond(Response response) {
    const auto request = std::exchange(request_, nullptr);
    if (!request) {
      return;
    }
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
    const restinio::http_status_code_t code(static_cast<std::uint16_t>(response.status));
    auto builder = request->create_response(restinio::http_status_line_t(code, std::string(reason)));
    if (!response.content_type.empty()) {
      builder.append_header(restinio::http_field::content_type, response.content_type);
    }
    for (const Header& header : response.headers) {
      builder.append_header(header.name, header.value);
    }
    if (request->header().method() != restinio::http_method_head()) {
      builder.set_body(std::move(response.body));
    }
    const ConnectionId connection = request->connection_id();
    const bool server_ends = response.close_connection || table_->closes_after_answers();
    if (server_ends) {
      table_->end_after_answer(connection);
    }
    if (server_ends || !request->header().should_keep_alive()) {
      builder.connection_close();
    }
    builder.done([table = table_, connection](const auto& /*written*/) { table->end_request(connection); });
  }

 private:
  restinio::request_handle_t request_;
  std::shared_ptr<ConnectionTable> table_;
};

Request to_request(const restinio::request_handle_t& received) {
  Request request;
  request.method = received->header().method().c_str();
  request.path = std::string(received->header().path());
  request.query = std::string(received->header().query());
  for (const auto& field : received->header()) {
    request.headers.push_back({field.name(), field.value()});
  }
  request.body = received->body();
  request.connection = received->connection_id();
  request.remote_address = received->remote_endpoint().address().to_string();
  return request;
}

auto make_request_handler(Handler handler, std::shared_ptr<ConnectionTable> table) {
  return
      [handler = std::move(handler), table = std::move(table)](const restinio::request_handle_t& received) {
        if (!table->begin_request(received->connection_id())) {
          return restinio::request_rejected();
        }
        auto pending = std::make_shared<PendingRequest>(received, table);
        handler(to_request(received),
                [pending = std::move(pending)](Response response) { pending->respond(std::move(response)); });
        return restinio::request_accepted();
      };
}

class RestinioBackedServer : public Server {
 public:
  RestinioBackedServer(asio::io_context& io, const ServerOptions& options, Handler handler,
                       ConnectionClosed closed)
      : io_(io),
        table_(std::make_shared<ConnectionTable>(io, options.max_connections, std::move(closed))),
        server_(restinio::external_io_context(io),
                [&](auto& settings) { configure(settings, options, std::move(handler)); }) {
    server_.open_sync();
  }
  RestinioBackedServer(const RestinioBackedServer&) = delete;
  RestinioBackedServer& operator=(const RestinioBackedServer&) = delete;
  ~RestinioBackedServer() override { table_->shut_down(); }

  [[nodiscard]] std::uint16_t port() const override { return port_; }
  [[nodiscard]] std::size_t connections() const override { return table_->size(); }
  [[nodiscard]] std::size_t connections_with_unread_bytes() const override {
    return table_->with_unread_bytes();
  }
  [[nodiscard]] std::size_t connections_to_accept() const override {
    return accepting_ ? net::waiting_in_queue(listening_socket_) : 0;
  }
  void close_after_answers() override { table_->close_after_answers(); }
  asio::awaitable<void> drain(core::Duration limit, IdleEnd idle) override {
    const core::Instant give_up = core::BootClock::now() + limit;
    close_after_answers();
    co_await close_listener(give_up);
    const std::string answer = idle == IdleEnd::kRequestTimeout ? closing_answer(kRequestTimeout) : "";
    // Again and again: a connection that was accepted last may have come after the first time.
    while (core::BootClock::now() < give_up) {
      table_->end_idle(answer);
      if (table_->size() == 0 && table_->lingering() == 0) {
        co_return;
      }
      co_await pause(kDrainPoll);
    }
  }
  void close(ConnectionId connection) override { table_->close(connection); }

 private:
  /// Closing a listening socket resets the connections that wait in its queue, whose clients may have sent a
  /// request already. So no new ones are let in first, and those in the queue are accepted.
  asio::awaitable<void> close_listener(core::Instant give_up) {
    if (!accepting_) {
      co_return;
    }
    if (net::drop_new_connections(listening_socket_)) {
      co_await pause(net::kHandshakeTime);
    }
    while (net::waiting_in_queue(listening_socket_) > 0 && core::BootClock::now() < give_up) {
      co_await pause(kDrainPoll);
    }
    accepting_ = false;
    server_.close_sync();
  }

  asio::awaitable<void> pause(core::Duration duration) {
    asio::steady_timer timer(io_, duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  template <typename Settings>
  void configure(Settings& settings, const ServerOptions& options, Handler handler) {
    settings.address(asio::ip::make_address(options.address))
        .port(options.port)
        .buffer_size(kReadBufferBytes)
        .max_pipelined_requests(1)
        .read_next_http_message_timelimit(options.read_timeout)
        .write_http_response_timelimit(options.write_timeout)
        .handle_request_timeout(kHandlingLimit)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(kMaxUrlBytes)
                                      .max_field_name_size(kMaxHeaderNameBytes)
                                      .max_field_value_size(kMaxHeaderValueBytes)
                                      .max_field_count(kMaxHeaders)
                                      .max_body_size(options.max_body_bytes))
        .socket_options_setter([](auto& socket) { socket.set_option(asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          port_ = acceptor.local_endpoint().port();
          listening_socket_ = acceptor.native_handle();
        })
        .connection_state_listener(std::make_shared<ConnectionListener>(table_))
        .ip_blocker(std::make_shared<ConnectionLimiter>(table_))
        .logger(table_)
        .request_handler(make_request_handler(std::move(handler), table_));
  }

  asio::io_context& io_;
  std::uint16_t port_ = 0;
  int listening_socket_ = -1;
  bool accepting_ = true;
  std::shared_ptr<ConnectionTable> table_;
  RestinioServer server_;
};

}  // namespace

core::Result<std::unique_ptr<Server>> Server::start(boost::asio::io_context& io, const ServerOptions& options,
                                                    Handler handler, ConnectionClosed closed) {
  try {
    return std::unique_ptr<Server>(
        std::make_unique<RestinioBackedServer>(io, options, std::move(handler), std::move(closed)));
  } catch (const std::exception& error) {
    return core::fail(
        core::ErrorKind::kUnavailable,
        "Can't listen on " + options.address + ":" + std::to_string(options.port) + ": " + error.what() + ".",
        "Choose a free port and an address of this machine.");
  }
}

}  // namespace pipitpond::http
