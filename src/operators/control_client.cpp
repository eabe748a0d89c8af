#include "operators/control_client.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pipitpond::operators {
namespace {

constexpr unsigned kFirstRefusal = 400;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr core::Duration kRoundPause = std::chrono::milliseconds(200);

// A replica without a leader, or one whose leader fell silent, settles nothing about the call.
bool is_definite(unsigned status) {
  return status != kUnavailable && status != kGatewayTimeout && status != kBadGateway &&
         status != kTooManyRequests;
}

core::Error error_of(const Reply& reply) {
  const nlohmann::json error = reply.body.is_object() ? reply.body.value("error", nlohmann::json()) : nullptr;
  const std::string message = error.is_object() ? error.value("message", "") : "";
  return {core::ErrorKind::kUnavailable, "status " + std::to_string(reply.status) + ": " + message, "", 0};
}

}  // namespace

bool Reply::accepted() const {
  return status < kFirstRefusal;
}

ControlClient::ControlClient(boost::asio::io_context& io, std::vector<core::Endpoint> endpoints,
                             ClientOptions options)
    : io_(io), endpoints_(std::move(endpoints)), options_(options) {}

void ControlClient::remember_failure(const core::Endpoint& endpoint, const core::Error& error) {
  last_failure_ = to_string(endpoint) + ": " + describe(error);
}

boost::asio::awaitable<core::Result<Reply>> ControlClient::attempt(core::Endpoint endpoint, Call call) {
  auto connected = co_await http::Client::connect(io_, endpoint, options_.answer_timeout);
  if (!connected) {
    co_return connected.error();
  }
  http::Request request;
  request.method = call.method;
  request.path = call.path;
  request.query = call.query;
  if (!call.body.is_null()) {
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = call.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  auto response = co_await connected.value()->send(std::move(request), options_.answer_timeout);
  if (!response) {
    co_return response.error();
  }
  Reply reply;
  reply.status = response.value().status;
  reply.body = nlohmann::json::parse(response.value().body, nullptr, false);
  if (reply.body.is_discarded()) {
    co_return core::Error{core::ErrorKind::kConnectionLost, "The answer is not JSON.",
                          "Check that this is the address of a control replica.", 0};
  }
  co_return reply;
}

boost::asio::awaitable<core::Result<Reply>> ControlClient::call(Call call) {
  const core::Instant give_up = core::BootClock::now() + options_.give_up_after;
  std::size_t attempts = 0;
  do {
    if (attempts > 0 && attempts % endpoints_.size() == 0) {
      boost::asio::steady_timer pause(io_, kRoundPause);
      co_await pause.async_wait(boost::asio::use_awaitable);
    }
    ++attempts;
    const core::Endpoint endpoint = endpoints_[next_];
    auto reply = co_await attempt(endpoint, call);
    if (reply && is_definite(reply.value().status)) {
      co_return reply;
    }
    remember_failure(endpoint, reply ? error_of(reply.value()) : reply.error());
    next_ = (next_ + 1) % endpoints_.size();
  } while (core::BootClock::now() < give_up);
  co_return core::Error{core::ErrorKind::kUnavailable,
                        "No replica gave a definite answer in time; the last one was " + last_failure_,
                        "Check the addresses and that a majority of control runs, then send the change again "
                        "with the same key.",
                        0};
}

}  // namespace pipitpond::operators
