// Interface of the listeners that accept callers; one implementation for each caller protocol.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "pooling/caller_session.hpp"

namespace pipitpond::pooling {

/// Callbacks from a listener to the daemon.
struct SessionHost {
  /// Opens a session for a database name and the digest of a caller's key. Fails with kNotFound when no route
  /// serves the name, with kPermissionDenied when no tenant holds the key, with kUnavailable while the daemon
  /// has no routes or its key table may be out of date.
  std::function<core::Result<std::unique_ptr<CallerSession>>(const std::string& database,
                                                             const protocol::KeyDigest& key)>
      open;
};

/// Accepts callers, passes their statements to sessions and returns the replies.
class CallerListener {
 public:
  virtual ~CallerListener() = default;

  /// Binds and begins to accept. Fails with kUnavailable.
  virtual core::Result<void> start() = 0;
  /// Closes the sessions that have been idle for `quiet` and are not in a transaction. Right after a reply
  /// the caller's next statement may already be on its way, and closing would lose it.
  virtual void close_idle_sessions(core::Duration quiet) = 0;
  /// Closes idle sessions at once, and each other session when its running statement or its transaction has
  /// ended: later statements could not complete before the daemon exits.
  virtual void close_after_answers() = 0;
  /// Accepts no further callers.
  virtual void stop_accepting() = 0;
  [[nodiscard]] virtual bool accepting() const = 0;
  [[nodiscard]] virtual std::size_t sessions() const = 0;
};

using MakeCallerListener =
    std::function<std::unique_ptr<CallerListener>(boost::asio::io_context&, SessionHost)>;

}  // namespace pipitpond::pooling
