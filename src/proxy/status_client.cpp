#include "proxy/status_client.hpp"

#include <utility>

namespace pipitpond::proxy {
namespace {
constexpr unsigned kHttpOk = 200;
}  // namespace

StatusClient::StatusClient(boost::asio::io_context& io, core::Endpoint endpoint)
    : io_(io), endpoint_(std::move(endpoint)) {}

boost::asio::awaitable<core::Result<database::StatusAnswer>> StatusClient::ask(core::Duration timeout) {
  const core::Instant deadline = core::BootClock::now() + timeout;
  std::unique_ptr<http::Client> client = std::move(kept_);
  if (!client || !client->is_open()) {
    auto connected = co_await http::Client::connect(io_, endpoint_, timeout);
    if (!connected) {
      co_return core::outcome::failure(connected.error());
    }
    client = std::move(connected).value();
  }
  http::Request request;
  request.path = "/v1/status";
  const core::Duration left = deadline - core::BootClock::now();
  auto response = co_await client->send(std::move(request), left);
  if (!response) {
    co_return core::outcome::failure(response.error());
  }
  if (response.value().status != kHttpOk) {
    co_return core::fail(core::ErrorKind::kUnavailable, "Database does not tell its status.",
                         "Look at the database's log.");
  }
  auto status = database::parse<database::StatusAnswer>(response.value().body);
  if (status && client->is_open()) {
    kept_ = std::move(client);
  }
  co_return status;
}

}  // namespace pipitpond::proxy
