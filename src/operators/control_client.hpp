// An operator's calls of control: tries the given replicas in turn, and sends a change whose answer was lost
// again under the same key, which gets the change's first answer.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "http/client.hpp"

namespace pipitpond::operators {

/// What to send. Calls that change something carry their key in the body, so that sending them twice is safe.
struct Call {
  std::string method = "GET";
  std::string path;
  std::string query;
  nlohmann::json body;  ///< Null: no body.
};

/// A definite answer: the call was taken or refused.
struct Reply {
  unsigned status = 0;
  nlohmann::json body;
  [[nodiscard]] bool accepted() const;
};

/// Times of a client.
struct ClientOptions {
  core::Duration answer_timeout = std::chrono::seconds(5);  ///< For one answer.
  core::Duration give_up_after = std::chrono::seconds(15);  ///< For the call with all its resends.
};

/// Calls one of several equal servers.
class ControlClient {
 public:
  ControlClient(boost::asio::io_context& io, std::vector<core::Endpoint> endpoints, ClientOptions options);

  /// Sends until an answer is definite. Fails with kUnavailable when none came in time; whether a change was
  /// made is then not known, and the same key may be sent again.
  boost::asio::awaitable<core::Result<Reply>> call(Call call);

 private:
  boost::asio::awaitable<core::Result<Reply>> attempt(core::Endpoint endpoint, Call call);
  void remember_failure(const core::Endpoint& endpoint, const core::Error& error);

  boost::asio::io_context& io_;
  std::vector<core::Endpoint> endpoints_;
  ClientOptions options_;
  std::size_t next_ = 0;
  std::string last_failure_;
};

}  // namespace pipitpond::operators
