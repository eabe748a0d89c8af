// A caller of the proxies on the platform's wire.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "net/line_stream.hpp"

namespace pipitpond::platform {

/// What a proxy answers when it opens a session.
inline const std::string kSessionOpened = "READY I -";

/// What a caller got for one query.
struct Answer {
  bool connected = true;
  std::vector<std::string> rows;
  std::string done;   ///< Signature; empty after an error.
  std::string error;  ///< Code and text; empty after success.
  std::string ready;  ///< State and position.

  [[nodiscard]] bool ok() const { return connected && error.empty(); }
};

/// One caller's session.
class Caller {
 public:
  Caller(boost::asio::io_context& io, core::Endpoint proxy) : io_(io), proxy_(std::move(proxy)) {}

  /// Opens a session; false when it is refused.
  bool open(const std::string& database);
  Answer query(const std::string& text);
  /// Identifier of the last query.
  [[nodiscard]] const std::string& last_request() const { return last_request_; }
  /// Sends bytes as they are and reads one line; empty when the connection ends.
  std::string send_raw(const std::string& bytes);

  /// The same as open() and query(), beside other work of the io_context.
  boost::asio::awaitable<bool> open_session(std::string database);
  /// The line that a proxy answers to a START; empty when none came in time.
  boost::asio::awaitable<std::string> start_session(std::string database, core::Duration limit);
  boost::asio::awaitable<Answer> ask(std::string text);

 private:
  boost::asio::awaitable<std::string> exchange_raw(std::string bytes);

  boost::asio::io_context& io_;
  core::Endpoint proxy_;
  std::string last_request_;
  std::unique_ptr<net::LineStream> lines_;
};

}  // namespace pipitpond::platform
