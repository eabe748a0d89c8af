#include "peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "database/protocol.hpp"
#include "standin/replication.hpp"

namespace pipitpond::database_program {
namespace {

namespace asio = boost::asio;

std::optional<standin::Response> to_engine_response(const http::Response& response) {
  constexpr unsigned kOk = 200;
  if (response.status == kOk) {
    auto answer = database::parse<database::ReplicateAnswer>(response.body);
    return answer ? std::optional<standin::Response>(std::move(answer).value()) : std::nullopt;
  }
  auto error = database::parse<database::DatabaseError>(response.body);
  return error ? std::optional<standin::Response>(std::move(error).value()) : std::nullopt;
}

}  // namespace

void PeerLink::send(standin::ReplicateMessage message) {
  if (busy_) {
    asio::post(io_, [self = shared_from_this(), sequence = message.sequence] {
      if (self->done_) {
        self->done_(sequence, std::nullopt);
      }
    });
    return;
  }
  busy_ = true;
  asio::co_spawn(io_, run(shared_from_this(), std::move(message)), asio::detached);
}

void PeerLink::close() {
  done_ = nullptr;
  if (client_) {
    client_->close();
  }
}

asio::awaitable<void> PeerLink::run([[maybe_unused]] std::shared_ptr<PeerLink> self,  // Keeps this alive.
                                    standin::ReplicateMessage message) {
  auto body = database::serialize(message.request);
  auto response = co_await exchange(std::move(body));
  busy_ = false;
  if (done_) {
    done_(message.sequence, std::move(response));
  }
}

asio::awaitable<std::optional<standin::Response>> PeerLink::exchange(std::string body) {
  if (!client_ || !client_->is_open()) {
    auto connected = co_await http::Client::connect(io_, endpoint_, standin::kReplicationTimeout);
    if (!connected) {
      co_return std::nullopt;
    }
    client_ = std::move(connected).value();
  }
  http::Request request;
  request.method = "POST";
  request.path = "/v1/replicate";
  request.body = std::move(body);
  auto response = co_await client_->send(std::move(request), standin::kReplicationTimeout);
  if (!response) {
    client_.reset();
    co_return std::nullopt;
  }
  co_return to_engine_response(response.value());
}

}  // namespace pipitpond::database_program
