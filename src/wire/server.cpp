#include "wire/server.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <unordered_map>
#include <utility>

#include "net/listening_socket.hpp"
#include "wire/codec.hpp"
#include "wire/frame_stream.hpp"

namespace pipitpond::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Calls of one connection that may be handled at the same time.
constexpr std::size_t kMaxCallsInProgress = 10'000;
constexpr std::uint32_t kOverloadRetryMillis = 100;
/// Pause after a failed accept, which mostly means that file descriptors ran out.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);
constexpr core::Duration kDrainPoll = std::chrono::milliseconds(10);

/// One accepted connection.
struct Peer {
  PeerId id = 0;
  std::shared_ptr<FrameStream> stream;
  std::size_t calls_in_progress = 0;
};

/// Shared by the server and its coroutines, which may outlive it for a moment.
class ServerState : public std::enable_shared_from_this<ServerState> {
 public:
  ServerState(asio::io_context& io, Handler handler, PeerClosed closed)
      : io_(io), acceptor_(io), handler_(std::move(handler)), closed_(std::move(closed)) {}

  /// Throws boost::system::system_error.
  void listen(const std::string& address, std::uint16_t port) {
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(io_, accept(shared_from_this()), asio::detached);
  }

  void shut_down() {
    stopped_ = true;
    handler_ = {};
    closed_ = {};
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& [id, peer] : peers_) {
      peer->stream->close();
    }
  }

  static asio::awaitable<void> drain(std::shared_ptr<ServerState> self, core::Duration limit) {
    const core::Instant begun = core::BootClock::now();
    const core::Instant handshakes_end = begun + std::min(limit, net::kHandshakeTime);
    net::drop_new_connections(self->acceptor_.native_handle());
    self->draining_ = true;
    for (const auto& [id, peer] : self->peers_) {
      self->say_goodbye_when_answered(peer);
    }
    while (core::BootClock::now() < handshakes_end ||
           (!self->peers_.empty() && core::BootClock::now() < begun + limit)) {
      co_await pause(self, kDrainPoll);
    }
    error_code ignored;
    self->acceptor_.close(ignored);
  }

  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  [[nodiscard]] const ByteCounters& counters() const { return *counters_; }

  void notify(PeerId id, MessageType type, std::string body) {
    const auto found = peers_.find(id);
    if (found != peers_.end()) {
      found->second->stream->send({FrameKind::kNotify, 0, type, std::move(body)});
    }
  }

 private:
  using Self = std::shared_ptr<ServerState>;
  using PeerPointer = std::shared_ptr<Peer>;

  static asio::awaitable<void> accept(Self self) {
    while (!self->stopped_ && self->acceptor_.is_open()) {
      error_code error;
      tcp::socket socket =
          co_await self->acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (self->stopped_) {
        co_return;
      }
      if (error) {
        asio::steady_timer timer(self->io_, kAcceptPause);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      self->add(std::move(socket));
    }
  }

  static asio::awaitable<void> pause(Self self, core::Duration duration) {
    asio::steady_timer timer(self->io_, duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  /// The peer's calls that were answered are answered before the goodbye. What it still sends is read and
  /// dropped: a close with unread bytes would reset the connection, and the reset could overtake the goodbye.
  void say_goodbye_when_answered(const PeerPointer& peer) {
    if (draining_ && peer->calls_in_progress == 0) {
      peer->stream->send({FrameKind::kGoodbye, 0, MessageType::kRaft, {}});
      peer->stream->end();
    }
  }

  void add(tcp::socket socket) {
    auto peer = std::make_shared<Peer>();
    peer->id = ++last_peer_;
    peer->stream = std::make_shared<FrameStream>(std::move(socket), counters_);
    peers_.emplace(peer->id, peer);
    say_goodbye_when_answered(peer);
    asio::co_spawn(io_, serve(shared_from_this(), peer), asio::detached);
  }

  static asio::awaitable<void> serve(Self self, PeerPointer peer) {
    while (true) {
      std::optional<Frame> frame = co_await peer->stream->read();
      if (!frame || self->stopped_) {
        break;
      }
      self->take(peer, std::move(*frame));
    }
    peer->stream->close();
    self->peers_.erase(peer->id);
    if (self->closed_) {
      self->closed_(peer->id);
    }
  }

  void take(const PeerPointer& peer, Frame frame) {
    if (draining_) {
      return;
    }
    if (frame.kind == FrameKind::kPing) {
      peer->stream->send({FrameKind::kPong, frame.call, frame.type, {}});
    } else if (frame.kind == FrameKind::kNotify) {
      begin(peer, std::move(frame));
    } else if (frame.kind != FrameKind::kCall) {
      peer->stream->close();  // No client sends anything else.
    } else if (peer->calls_in_progress >= kMaxCallsInProgress) {
      const auto overload =
          core::Error{core::ErrorKind::kOverloaded, "Too many calls are in progress on one connection.",
                      "Retry after a moment.", kOverloadRetryMillis};
      answer(peer, frame, core::Result<std::string>(core::outcome::failure(overload)));
    } else {
      begin(peer, std::move(frame));
    }
  }

  void begin(const PeerPointer& peer, Frame frame) {
    if (handler_) {
      ++peer->calls_in_progress;
      asio::co_spawn(io_, handle(shared_from_this(), peer, std::move(frame)), asio::detached);
    }
  }

  static asio::awaitable<void> handle(Self self, PeerPointer peer, Frame frame) {
    core::Result<std::string> result = core::fail(core::ErrorKind::kInternal, "The handler failed.",
                                                  "See the log of the machine that handled the call.");
    try {
      // Copied, because the server may be destroyed while its handler runs.
      const Handler handler = self->handler_;
      result = co_await handler(peer->id, frame.type, std::move(frame.body));
    } catch (const std::exception& error) {
      result = core::fail(core::ErrorKind::kInternal, std::string("The handler failed: ") + error.what(),
                          "Report this as a fault of pipitpond.");
    }
    --peer->calls_in_progress;
    if (frame.kind == FrameKind::kCall) {
      answer(peer, frame, std::move(result));
    }
    self->say_goodbye_when_answered(peer);
  }

  static void answer(const PeerPointer& peer, const Frame& call, core::Result<std::string> result) {
    Frame frame{FrameKind::kReply, call.call, call.type, {}};
    if (result.has_value()) {
      frame.body = std::move(result.value());
    } else {
      frame.kind = FrameKind::kFailure;
      frame.body = pack(Failure{std::move(result.error())});
    }
    if (peer->stream->send(frame)) {
      return;
    }
    // Calls that wait for other answers on this connection are not to suffer for a large one.
    const auto overload =
        core::Error{core::ErrorKind::kOverloaded, "Too many answers wait to be sent on one connection.",
                    "Ask for the outcome before a retry.", kOverloadRetryMillis};
    // A caller must not wait for an answer that will never come: it learns of the loss by the close.
    if (!peer->stream->send({FrameKind::kFailure, call.call, call.type, pack(Failure{overload})})) {
      peer->stream->close();
    }
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  Handler handler_;
  PeerClosed closed_;
  std::shared_ptr<ByteCounters> counters_ = std::make_shared<ByteCounters>();
  std::unordered_map<PeerId, PeerPointer> peers_;
  PeerId last_peer_ = 0;
  bool draining_ = false;
  bool stopped_ = false;
};

class TcpServer : public Server {
 public:
  explicit TcpServer(std::shared_ptr<ServerState> state) : state_(std::move(state)), port_(state_->port()) {}
  TcpServer(const TcpServer&) = delete;
  TcpServer& operator=(const TcpServer&) = delete;
  ~TcpServer() override { state_->shut_down(); }

  [[nodiscard]] std::uint16_t port() const override { return port_; }
  void notify(PeerId peer, MessageType type, std::string body) override {
    state_->notify(peer, type, std::move(body));
  }
  asio::awaitable<void> drain(core::Duration limit) override { return ServerState::drain(state_, limit); }
  [[nodiscard]] std::uint64_t bytes_received() const override { return state_->counters().received; }
  [[nodiscard]] std::uint64_t bytes_sent() const override { return state_->counters().sent; }

 private:
  std::shared_ptr<ServerState> state_;
  std::uint16_t port_;
};

}  // namespace

core::Result<std::unique_ptr<Server>> Server::start(boost::asio::io_context& io, const std::string& address,
                                                    std::uint16_t port, Handler handler, PeerClosed closed) {
  try {
    auto state = std::make_shared<ServerState>(io, std::move(handler), std::move(closed));
    state->listen(address, port);
    return std::unique_ptr<Server>(std::make_unique<TcpServer>(std::move(state)));
  } catch (const boost::system::system_error& error) {
    return core::fail(
        core::ErrorKind::kUnavailable,
        "Can't listen on " + address + ":" + std::to_string(port) + ": " + error.code().message() + ".",
        "Choose a free port and an address of this machine.");
  }
}

}  // namespace pipitpond::wire
