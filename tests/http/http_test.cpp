#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
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
using core::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::run;
using testing::run_until;

constexpr std::size_t kBigBody = 5UL * 1024 * 1024;

Request post(std::string path, std::string body = {}) {
  Request request;
  request.method = "POST";
  request.path = std::move(path);
  request.body = std::move(body);
  return request;
}

/// A server that echoes bodies; "/hold" keeps its responder, "/drop" drops it.
class HttpTest : public ::testing::Test {
 protected:
  void start(ServerOptions options = {}) {
    auto started = Server::start(
        io, options, [this](Request request, Responder respond) { handle(std::move(request), respond); },
        [this](ConnectionId id) { closed.push_back(id); });
    ASSERT_TRUE(started.has_value()) << describe(started.error());
    server = std::move(started.value());
  }

  void handle(Request request, const Responder& respond) {
    requests.push_back(request);
    if (request.path == "/hold") {
      held.push_back(respond);
    } else if (request.path != "/drop") {
      Response response;
      response.body = request.method + " " + request.path + "?" + request.query + " " + request.body;
      respond(response);
    }
  }

  std::unique_ptr<Client> connect() {
    auto connected = run(io, Client::connect(io, {"127.0.0.1", server->port()}, seconds(5)));
    EXPECT_TRUE(connected.has_value());
    return std::move(connected.value());
  }

  core::Result<Response> send(Client& client, Request request, core::Duration timeout = seconds(10)) {
    return run(io, client.send(std::move(request), timeout));
  }

  /// Writes raw bytes and returns all that the server sends until it closes the connection.
  std::string exchange_raw(const std::string& bytes) {
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
    std::string received;
    bool ended = false;
    asio::async_write(socket, asio::buffer(bytes), [](boost::system::error_code, std::size_t) {});
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [&](boost::system::error_code, std::size_t) { ended = true; });
    EXPECT_TRUE(run_until(io, [&] { return ended; }));
    boost::system::error_code ignored;
    socket.close(ignored);
    io.restart();
    io.poll();
    return received;
  }

  asio::io_context io{1};
  std::unique_ptr<Server> server;
  std::vector<Request> requests;
  std::vector<Responder> held;
  std::vector<ConnectionId> closed;
};

TEST_F(HttpTest, KeepsTheConnectionAndItsIdentifier) {
  start();
  const auto client = connect();
  for (int turn = 0; turn < 3; ++turn) {
    Request request = post("/echo", std::to_string(turn));
    request.query = "a=1&b=%20";
    request.headers.push_back({"X-Pipit", "yes"});
    const auto response = send(*client, request);
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response.value().status, 200U);
    EXPECT_EQ(response.value().body, "POST /echo?a=1&b=%20 " + std::to_string(turn));
  }
  EXPECT_EQ(requests.at(0).connection, requests.at(2).connection);
  EXPECT_EQ(header_value(requests.at(0).headers, "x-pipit"), "yes");
  EXPECT_EQ(requests.at(0).remote_address, "127.0.0.1");
  EXPECT_EQ(server->connections(), 1U);
  client->close();
  EXPECT_TRUE(run_until(io, [&] { return !closed.empty(); }));
  EXPECT_EQ(closed, std::vector<ConnectionId>{requests.at(0).connection});
  EXPECT_EQ(server->connections(), 0U);
}

TEST_F(HttpTest, CarriesBigBodiesBothWays) {
  ServerOptions options;
  options.max_body_bytes = 2 * kBigBody;
  start(options);
  const auto client = connect();
  const std::string body(kBigBody, 'p');
  const auto response = send(*client, post("/echo", body));
  ASSERT_TRUE(response.has_value()) << describe(response.error());
  EXPECT_EQ(response.value().body, "POST /echo? " + body);
}

TEST_F(HttpTest, AnswersAnOversizedBodyAndCloses) {
  ServerOptions options;
  options.max_body_bytes = 1000;
  start(options);
  const auto client = connect();
  const auto response = send(*client, post("/echo", std::string(kBigBody, 'p')));
  ASSERT_TRUE(response.has_value()) << describe(response.error());
  EXPECT_EQ(response.value().status, 413U);
  EXPECT_FALSE(client->is_open());
  EXPECT_TRUE(requests.empty());
  const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n";
  EXPECT_NE(exchange_raw(chunked + std::string(2000, 'p') + "\r\n0\r\n\r\n").find(" 413 "),
            std::string::npos);
  EXPECT_TRUE(requests.empty());
}

TEST_F(HttpTest, AnswersMalformedRequestsAndCloses) {
  start();
  EXPECT_EQ(exchange_raw("no such thing\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  EXPECT_EQ(exchange_raw(std::string("\0\x01\xff\xfe garbage", 12)).substr(0, 12), "HTTP/1.1 400");
  EXPECT_EQ(exchange_raw("GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n").substr(0, 12),
            "HTTP/1.1 414");
  const std::string header = "GET / HTTP/1.1\r\nHost: a\r\nX: ";
  EXPECT_EQ(exchange_raw(header + std::string(60000, 'x') + "\r\n\r\n").substr(0, 12), "HTTP/1.1 431");
  const std::string smuggled =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nx";
  EXPECT_EQ(exchange_raw(smuggled).substr(0, 12), "HTTP/1.1 400");
  EXPECT_TRUE(requests.empty());
  EXPECT_TRUE(run_until(io, [&] { return server->connections() == 0; }));
  EXPECT_TRUE(send(*connect(), post("/echo")).has_value());
}

TEST_F(HttpTest, AnswersPipelinedRequestsInOrder) {
  start();
  const std::string first = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string last = "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  const std::string received = exchange_raw(first + last);
  EXPECT_LT(received.find("GET /1?"), received.find("GET /2?"));
  EXPECT_NE(received.find("GET /2?"), std::string::npos);
}

TEST_F(HttpTest, GarbageBehindARequestInProgressIsNoAnswerToIt) {
  start();
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
  asio::write(socket, asio::buffer(std::string("GET /hold HTTP/1.1\r\nHost: a\r\n\r\nrubbish\r\n\r\n")));
  ASSERT_TRUE(run_until(io, [&] { return held.size() == 1; }));
  io.restart();
  io.poll();
  EXPECT_EQ(socket.available(), 0U);
  Response response;
  response.body = "mine";
  held.front()(response);
  std::string received;
  bool ended = false;
  asio::async_read(socket, asio::dynamic_buffer(received),
                   [&](boost::system::error_code, std::size_t) { ended = true; });
  ASSERT_TRUE(run_until(io, [&] { return ended; }));
  EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 200");
  EXPECT_LT(received.find("mine"), received.find("HTTP/1.1 400"));
}

TEST_F(HttpTest, ASlowResponderAnswersLaterAndOnlyOnce) {
  start();
  const auto client = connect();
  const auto sent = testing::start(io, client->send(post("/hold"), seconds(10)));
  ASSERT_TRUE(run_until(io, [&] { return held.size() == 1; }));
  EXPECT_FALSE(sent->done());
  Response response;
  response.body = "first";
  held.front()(response);
  response.body = "second";
  held.front()(response);
  ASSERT_TRUE(run_until(io, [&] { return sent->done(); }));
  EXPECT_EQ(sent->value->value().body, "first");
  EXPECT_EQ(send(*client, post("/echo")).value().body, "POST /echo? ");
}

TEST_F(HttpTest, ATimeoutClosesSoThatALateAnswerReachesNoOther) {
  start();
  const auto client = connect();
  const auto late = send(*client, post("/hold"), milliseconds(50));
  ASSERT_FALSE(late.has_value());
  EXPECT_EQ(late.error().kind, ErrorKind::kTimeout);
  EXPECT_FALSE(client->is_open());
  held.front()(Response{});
  const auto next = send(*client, post("/echo"));
  ASSERT_FALSE(next.has_value());
  EXPECT_EQ(next.error().kind, ErrorKind::kConnectionRefused);
}

TEST_F(HttpTest, ADroppedResponderClosesWithoutAnAnswer) {
  start();
  const auto client = connect();
  const auto dropped = send(*client, post("/drop"));
  ASSERT_FALSE(dropped.has_value());
  EXPECT_EQ(dropped.error().kind, ErrorKind::kConnectionLost);
  EXPECT_TRUE(run_until(io, [&] { return closed.size() == 1; }));
}

TEST_F(HttpTest, AClientFindsItsIdleConnectionClosed) {
  start();
  const auto client = connect();
  ASSERT_TRUE(send(*client, post("/echo")).has_value());
  EXPECT_TRUE(client->is_open());
  server->close(requests.at(0).connection);
  EXPECT_TRUE(run_until(io, [&] { return !client->is_open(); }));
  const auto refused = send(*client, post("/echo"));
  ASSERT_FALSE(refused.has_value());
  EXPECT_EQ(refused.error().kind, ErrorKind::kConnectionRefused);
  EXPECT_EQ(requests.size(), 1U);
}

TEST_F(HttpTest, ClosingAClientEndsItsSend) {
  start();
  auto client = connect();
  const auto sent = testing::start(io, client->send(post("/hold"), seconds(10)));
  ASSERT_TRUE(run_until(io, [&] { return held.size() == 1; }));
  client.reset();
  ASSERT_TRUE(run_until(io, [&] { return sent->done(); }));
  EXPECT_EQ(sent->value->error().kind, ErrorKind::kConnectionLost);
}

TEST_F(HttpTest, IdleConnectionsTimeOut) {
  ServerOptions options;
  options.read_timeout = milliseconds(100);
  start(options);
  const auto client = connect();
  EXPECT_TRUE(run_until(io, [&] { return !client->is_open(); }));
  EXPECT_TRUE(run_until(io, [&] { return closed.size() == 1; }));
}

TEST_F(HttpTest, TurnsAwayConnectionsOverTheLimit) {
  ServerOptions options;
  options.max_connections = 1;
  start(options);
  const auto first = connect();
  ASSERT_TRUE(send(*first, post("/echo")).has_value());
  const auto second = connect();
  EXPECT_FALSE(send(*second, post("/echo")).has_value());
  first->close();
  ASSERT_TRUE(run_until(io, [&] { return server->connections() == 0; }));
  EXPECT_TRUE(send(*connect(), post("/echo")).has_value());
}

TEST_F(HttpTest, DestroyingTheServerClosesItsConnections) {
  start();
  const auto client = connect();
  ASSERT_TRUE(send(*client, post("/echo")).has_value());
  server.reset();
  EXPECT_TRUE(run_until(io, [&] { return !client->is_open(); }));
  EXPECT_TRUE(closed.empty());
}

TEST_F(HttpTest, ABoundAddressCannotBeBoundAgain) {
  start();
  ServerOptions options;
  options.port = server->port();
  const auto second = Server::start(io, options, [](Request, Responder) {});
  ASSERT_FALSE(second.has_value());
  EXPECT_EQ(second.error().kind, ErrorKind::kUnavailable);
  EXPECT_FALSE(second.error().remedy.empty());
}

}  // namespace
}  // namespace pipitpond::http
