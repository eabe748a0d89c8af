#include "workload/proxy_client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <utility>

namespace pipitpond::workload {
namespace {

constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(1000);
constexpr std::uint32_t kMillisPerSecond = 1000;

// The header counts whole seconds; the body's retry_after_ms is finer and goes first.
std::uint32_t retry_after_header_ms(const http::Response& response) {
  const std::string& text = http::header_value(response.headers, "Retry-After");
  std::uint32_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return seconds * kMillisPerSecond;
}

void read_fields(const nlohmann::json& body, Answer& answer) {
  answer.result = body.value("result", nlohmann::json());
  answer.request = body.value("request", "");
  answer.database = core::DatabaseId(body.value("database", ""));
  answer.served_by = body.value("served_by", "");
  answer.position = body.value("position", core::LogPosition{});
  answer.session = body.value("session", "");
  answer.transaction = body.value("transaction", "");
  answer.replayed = body.value("replayed", false);
  answer.attempts = body.value("attempts", 0U);
  if (body.contains("error")) {
    const nlohmann::json& error = body.at("error");
    answer.error_kind = error.value("kind", "");
    answer.error_message = error.value("message", "");
    answer.retry_after_ms = error.value("retry_after_ms", 0U);
  }
}

Ending ending_of(const std::string& outcome) {
  if (outcome == "done") {
    return Ending::kDone;
  }
  if (outcome == "not_run") {
    return Ending::kNotRun;
  }
  return outcome == "unknown" ? Ending::kUnknown : Ending::kUnreadable;
}

}  // namespace

boost::asio::awaitable<void> pause(boost::asio::io_context& io, core::Duration duration) {
  boost::asio::steady_timer timer(io, duration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

Answer parse_answer(const http::Response& response) {
  Answer answer;
  answer.status = response.status;
  answer.ending = Ending::kUnreadable;
  try {
    const nlohmann::json body = nlohmann::json::parse(response.body);
    read_fields(body, answer);
    answer.ending = ending_of(body.at("outcome").get<std::string>());
  } catch (const nlohmann::json::exception& error) {
    answer.error_message = error.what();
  }
  if (answer.retry_after_ms == 0) {
    answer.retry_after_ms = retry_after_header_ms(response);
  }
  return answer;
}

ProxyClient::ProxyClient(boost::asio::io_context& io, core::Duration client_delay)
    : io_(io), client_delay_(client_delay) {}

void ProxyClient::use(ProxyAddress proxy) {
  connection_.reset();
  proxy_ = std::move(proxy);
}

boost::asio::awaitable<Answer> ProxyClient::post(std::string path, nlohmann::json body,
                                                 core::Duration timeout) {
  co_await pause(io_, client_delay_);
  Answer answer = co_await exchange(std::move(path), body.dump(), timeout);
  co_await pause(io_, client_delay_);
  co_return answer;
}

boost::asio::awaitable<Answer> ProxyClient::exchange(std::string path, std::string body,
                                                     core::Duration timeout) {
  Answer answer;
  if (!connection_ || !connection_->is_open()) {
    auto connected = co_await http::Client::connect(io_, proxy_.endpoint, kConnectTimeout);
    if (!connected) {
      answer.error_message = describe(connected.error());
      co_return answer;
    }
    connection_ = std::move(connected.value());
  }
  http::Request request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = std::move(body);
  auto response = co_await connection_->send(std::move(request), timeout);
  if (!response) {
    connection_.reset();
    const bool sent = response.error().kind != core::ErrorKind::kConnectionRefused;
    answer.ending = sent ? Ending::kAnswerLost : Ending::kNotSent;
    answer.error_message = describe(response.error());
    co_return answer;
  }
  co_return parse_answer(response.value());
}

}  // namespace pipitpond::workload
