// One HTTP call with JSON bodies, on a connection of its own or a kept one.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "http/client.hpp"

namespace pipitpond::experiment {

/// A whole answer.
struct JsonReply {
  unsigned status = 0;
  nlohmann::json body;  ///< Null when the answer is no JSON.
  std::string text;
  [[nodiscard]] bool accepted() const { return status >= 200 && status < 300; }
};

/// A connection that is made when needed and kept while it works.
class JsonConnection {
 public:
  JsonConnection(boost::asio::io_context& io, core::Endpoint endpoint);

  /// A null body sends none. Fails like http::Client.
  boost::asio::awaitable<core::Result<JsonReply>> call(std::string method, std::string path,
                                                       nlohmann::json body, core::Duration timeout);

 private:
  boost::asio::io_context& io_;
  core::Endpoint endpoint_;
  std::unique_ptr<http::Client> connection_;
};

/// One call on a connection of its own.
boost::asio::awaitable<core::Result<JsonReply>> call_once(boost::asio::io_context& io,
                                                          core::Endpoint endpoint, std::string method,
                                                          std::string path, nlohmann::json body,
                                                          core::Duration timeout);

}  // namespace pipitpond::experiment
