// One database connection: a TCP connection for which POST /v1/connect was answered. Costly to open, so it is
// pooled; a connection whose state is in doubt says so and must not be used again.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/outcome.hpp"
#include "database/protocol.hpp"
#include "http/client.hpp"

namespace pipitpond::proxy {

/// What came of one call to a database.
struct CallResult {
  core::Outcome outcome = core::Outcome::kUnknown;
  core::Error error;               ///< Meaningful unless outcome is kDone.
  database::ExecuteAnswer answer;  ///< Meaningful when outcome is kDone. Its result is empty: see result.
  std::string result;              ///< JSON text of the answer's result.
  core::LogPosition applied;       ///< The database's progress, when it told.
  core::Term newer_term = 0;       ///< Greatest term the database knows of, when it refused.
};

/// One call: a path of the database protocol, the identifier that its answer must carry, and the body.
struct DatabaseCall {
  std::string path;
  core::RequestId attempt;
  std::string body;
};

/// An open database connection. One call at a time.
class DatabaseConnection {
 public:
  /// Connects and pays the connection cost. Fails with kConnectionRefused or kNoCapacity (over the database's
  /// limit); the database does not count the connection then. When the database did not answer, it may come
  /// to count it: it is returned, closed and not usable. No statement was sent in any case.
  static boost::asio::awaitable<core::Result<std::unique_ptr<DatabaseConnection>>> open(
      boost::asio::io_context& io, core::Endpoint endpoint, std::string client_name, core::Duration timeout);

  explicit DatabaseConnection(std::unique_ptr<http::Client> client) : client_(std::move(client)) {}

  /// Sends the call and reads its whole answer. "Not run" is said only when nothing was sent or the database
  /// itself said so in an answer that carries the call's identifier.
  boost::asio::awaitable<CallResult> call(DatabaseCall call, core::Duration timeout);

  /// Asks the key's outcome. When the database answered, the CallResult is kDone with the first result, or
  /// has an error of kind kKeySettled (recorded as never to run), kKeyExpired (settle was asked, but the key
  /// is no longer remembered) or kNotFound (has not run so far). Any other error: the question was not
  /// answered.
  boost::asio::awaitable<CallResult> resolve_key(database::KeyRequest request, core::Duration timeout);

  /// Uses the connection without effect, so that the database does not count it as idle.
  boost::asio::awaitable<bool> keep_alive(core::Duration timeout);

  /// True when the next call may use it: open, each earlier call was answered by its own answer, and it has
  /// not been idle (because this process stood still) for so long that the database may have closed it.
  [[nodiscard]] bool usable() const;

  [[nodiscard]] core::Instant last_used() const { return last_used_; }

  /// Ends it at once; the database may hold it until it has noticed.
  void close();
  /// Ends it and returns when the database has closed its side too, or this object was destroyed meanwhile.
  boost::asio::awaitable<void> closed_by_database();

 private:
  boost::asio::awaitable<core::Result<http::Response>> send(DatabaseCall call, core::Duration timeout);
  CallResult read_answer(const core::RequestId& attempt, const http::Response& response);
  CallResult read_error(const core::RequestId& attempt, const http::Response& response);
  CallResult doubt(std::string message);

  std::unique_ptr<http::Client> client_;
  core::Instant last_used_ = core::BootClock::now();
  bool in_doubt_ = false;
};

}  // namespace pipitpond::proxy
