#include "experiment/json_call.hpp"

namespace pipitpond::experiment {

JsonConnection::JsonConnection(boost::asio::io_context& io, core::Endpoint endpoint)
    : io_(io), endpoint_(std::move(endpoint)) {}

boost::asio::awaitable<core::Result<JsonReply>> JsonConnection::call(std::string method, std::string path,
                                                                     nlohmann::json body,
                                                                     core::Duration timeout) {
  if (!connection_ || !connection_->is_open()) {
    auto connected = co_await http::Client::connect(io_, endpoint_, timeout);
    if (!connected) {
      co_return connected.error();
    }
    connection_ = std::move(connected.value());
  }
  http::Request request;
  request.method = std::move(method);
  const auto question_mark = path.find('?');
  request.path = path.substr(0, question_mark);
  request.query = question_mark == std::string::npos ? "" : path.substr(question_mark + 1);
  if (!body.is_null()) {
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = body.dump();
  }
  auto response = co_await connection_->send(std::move(request), timeout);
  if (!response) {
    connection_.reset();
    co_return response.error();
  }
  JsonReply reply;
  reply.status = response.value().status;
  reply.text = std::move(response.value().body);
  reply.body = nlohmann::json::parse(reply.text, nullptr, false);
  if (reply.body.is_discarded()) {
    reply.body = nullptr;
  }
  co_return reply;
}

boost::asio::awaitable<core::Result<JsonReply>> call_once(boost::asio::io_context& io,
                                                          core::Endpoint endpoint, std::string method,
                                                          std::string path, nlohmann::json body,
                                                          core::Duration timeout) {
  JsonConnection connection(io, std::move(endpoint));
  auto reply = co_await connection.call(std::move(method), std::move(path), std::move(body), timeout);
  co_return reply;
}

}  // namespace pipitpond::experiment
