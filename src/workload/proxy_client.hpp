// Calls of the proxies' HTTP interface (docs/API.md), over one kept connection.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "core/log_position.hpp"
#include "http/client.hpp"
#include "workload/deployment.hpp"
#include "workload/history.hpp"

namespace pipitpond::workload {

/// Waits. Resumes early only when the io_context stops.
boost::asio::awaitable<void> pause(boost::asio::io_context& io, core::Duration duration);

/// A proxy's answer, or how it failed to come.
struct Answer {
  Ending ending = Ending::kNotSent;
  unsigned status = 0;
  nlohmann::json result;
  std::string request;
  core::DatabaseId database;
  std::string served_by;
  core::LogPosition position;
  std::string session;
  std::string transaction;
  bool replayed = false;
  std::uint32_t attempts = 0;
  std::string error_kind;
  std::string error_message;
  std::uint32_t retry_after_ms = 0;
};

/// Reads an answer's body. Anything that is not an answer of the interface is kUnreadable.
Answer parse_answer(const http::Response& response);

/// A caller's connection to one proxy at a time.
class ProxyClient {
 public:
  /// Answers are delayed by `client_delay` each way, as on the callers' network.
  ProxyClient(boost::asio::io_context& io, core::Duration client_delay);

  /// Goes to another proxy: the connection is closed.
  void use(ProxyAddress proxy);
  [[nodiscard]] const ProxyAddress& proxy() const { return proxy_; }
  /// Posts the body and waits for the answer. Never fails: see Answer::ending.
  boost::asio::awaitable<Answer> post(std::string path, nlohmann::json body, core::Duration timeout);

 private:
  boost::asio::awaitable<Answer> exchange(std::string path, std::string body, core::Duration timeout);

  boost::asio::io_context& io_;
  core::Duration client_delay_;
  ProxyAddress proxy_;
  std::unique_ptr<http::Client> connection_;
};

}  // namespace pipitpond::workload
