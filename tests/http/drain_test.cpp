// A server that stops cuts no request.
//
// What happened: while a proxy stopped under load, callers met "Connection reset by peer" on requests that
// they had sent in full, and could not tell whether these had run. Why: closing a listening socket resets the
// connections in its queue, which clients believe to be open; the process ended while callers' kept
// connections were open, so that a request that arrived then met a reset; and an answer that was still being
// written counted as given. What showed it: the stopping server's lines ("3 connections wait to be accepted",
// "ended with 5 callers' connections open, 2 of them with unread bytes") and, for each of the three, a test
// below that failed before.
#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "http/server.hpp"
#include "support/coroutine.hpp"

namespace pipitpond::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::run;
using testing::run_until;

constexpr core::Duration kLimit = seconds(20);
/// More than the system's buffers of a loopback connection hold.
constexpr std::size_t kLargeBody = 32UL * 1024 * 1024;

std::string request_text(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
}

bool is_whole(const std::string& answer, const std::string& status) {
  return answer.starts_with("HTTP/1.1 " + status) && answer.find("\r\n\r\n") != std::string::npos;
}

/// A client that sends and reads bytes when the test says so.
class RawClient {
 public:
  RawClient(asio::io_context& io, std::uint16_t port) : io_(io), socket_(io) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
  }

  void send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }
  /// Reads to the end of the stream, while the server runs.
  void read_to_end() {
    asio::async_read(socket_, asio::dynamic_buffer(received), [this](error_code error, std::size_t) {
      end = error;
      ended = true;
      error_code ignored;
      socket_.close(ignored);
    });
  }
  bool wait_for_end() {
    read_to_end();
    return run_until(io_, [this] { return ended; });
  }

  std::string received;
  error_code end;
  bool ended = false;

 private:
  asio::io_context& io_;
  tcp::socket socket_;
};

/// A server that answers at once; "/hold" keeps its responder, "/large" answers with a large body.
class DrainTest : public ::testing::Test {
 protected:
  DrainTest() {
    auto started = Server::start(io, {}, [this](const Request& request, const Responder& respond) {
      ++requests;
      Response response;
      if (request.path == "/hold") {
        held.push_back(respond);
        return;
      }
      if (request.path == "/large") {
        response.body.assign(kLargeBody, 'p');
      }
      respond(response);
    });
    server = std::move(started.value());
  }

  /// Begins the server's end in the background. The server is gone with it, as when its process ends.
  void drain(IdleEnd idle = IdleEnd::kRequestTimeout) {
    asio::co_spawn(io, server->drain(kLimit, idle), [this](const std::exception_ptr& failure) {
      EXPECT_FALSE(failure);
      drained = true;
      server.reset();
    });
  }
  std::size_t connections() const { return server ? server->connections() : 0; }
  bool wait_until_drained() {
    return run_until(io, [this] { return drained; });
  }

  asio::io_context io{1};
  std::unique_ptr<Server> server;
  std::vector<Responder> held;
  int requests = 0;
  bool drained = false;
};

TEST_F(DrainTest, AConnectionThatWaitsToBeAcceptedIsServed) {
  constexpr int kClients = 50;
  std::list<RawClient> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back(io, server->port()).send(request_text("/echo"));
  }
  EXPECT_GT(server->connections_to_accept(), 0U);
  drain();
  for (RawClient& client : clients) {
    ASSERT_TRUE(client.wait_for_end());
    EXPECT_EQ(client.end, asio::error::eof) << client.end.message();
    EXPECT_TRUE(is_whole(client.received, "200")) << client.received;
  }
  EXPECT_EQ(requests, kClients);
  EXPECT_TRUE(wait_until_drained());
}

TEST_F(DrainTest, ARequestThatMeetsTheEndOfItsIdleConnectionIsToldThatItWasNotRead) {
  RawClient client(io, server->port());
  client.send(request_text("/echo"));
  ASSERT_TRUE(run_until(io, [this] { return requests == 1; }));
  drain();
  ASSERT_TRUE(run_until(io, [this] { return connections() == 0; }));
  // Sent before the client knows of the end.
  client.send(request_text("/echo"));
  ASSERT_TRUE(client.wait_for_end());
  EXPECT_EQ(client.end, asio::error::eof) << client.end.message();
  EXPECT_TRUE(is_whole(client.received, "200")) << client.received;
  EXPECT_NE(client.received.find("HTTP/1.1 408 Request Timeout"), std::string::npos) << client.received;
  EXPECT_EQ(requests, 1);
  EXPECT_TRUE(wait_until_drained());
}

TEST_F(DrainTest, OurClientTakesTheEndOfItsIdleConnectionForNothingSent) {
  auto connected = run(io, Client::connect(io, {"127.0.0.1", server->port()}, seconds(5)));
  ASSERT_TRUE(connected);
  Client& client = *connected.value();
  Request request;
  request.method = "POST";
  request.path = "/echo";
  ASSERT_TRUE(run(io, client.send(request, seconds(5))));
  drain();
  ASSERT_TRUE(run_until(io, [this] { return connections() == 0; }));
  const auto answer = run(io, client.send(request, seconds(5)));
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind, ErrorKind::kConnectionRefused);
  EXPECT_EQ(requests, 1);
  client.close();
  EXPECT_TRUE(wait_until_drained());
}

TEST_F(DrainTest, ARequestInProgressIsAnsweredAndNewConnectionsAreRefused) {
  RawClient client(io, server->port());
  client.send(request_text("/hold"));
  ASSERT_TRUE(run_until(io, [this] { return held.size() == 1; }));
  drain();
  const auto refused = run(io, Client::connect(io, {"127.0.0.1", server->port()}, seconds(5)));
  ASSERT_FALSE(refused.has_value());
  EXPECT_EQ(refused.error().kind, ErrorKind::kConnectionRefused);
  EXPECT_FALSE(drained);
  held.front()(Response{});
  ASSERT_TRUE(client.wait_for_end());
  EXPECT_TRUE(is_whole(client.received, "200")) << client.received;
  EXPECT_TRUE(wait_until_drained());
}

TEST_F(DrainTest, AnAnswerThatIsBeingWrittenIsWrittenWhole) {
  RawClient client(io, server->port());
  client.send(request_text("/large"));
  ASSERT_TRUE(run_until(io, [this] { return requests == 1; }));
  drain();
  ASSERT_FALSE(run_until(
      io, [this] { return drained; }, milliseconds(500)));
  ASSERT_TRUE(client.wait_for_end());
  EXPECT_EQ(client.end, asio::error::eof) << client.end.message();
  EXPECT_GT(client.received.size(), kLargeBody);
  EXPECT_TRUE(wait_until_drained());
}

TEST_F(DrainTest, AClientThatNeverEndsItsConnectionHoldsNothingUp) {
  const RawClient client(io, server->port());
  ASSERT_TRUE(run_until(io, [this] { return server->connections() == 1; }));
  drain(IdleEnd::kSilent);
  EXPECT_TRUE(wait_until_drained());
}

}  // namespace
}  // namespace pipitpond::http
