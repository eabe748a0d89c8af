// How callers reach a pooling daemon. One implementation for each protocol that callers speak.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "pooling/caller_session.hpp"

namespace pipitpond::pooling {

/// What a listener needs of the daemon.
struct SessionHost {
  /// Opens a session for a database name and the digest of a caller's key. Fails with kNotFound when no route
  /// serves the name, with kPermissionDenied when nobody holds the key, with kUnavailable while that can't be
  /// told.
  std::function<core::Result<std::unique_ptr<CallerSession>>(const std::string& database,
                                                             const protocol::KeyDigest& key)>
      open;
};

/// Accepts callers and carries their statements to sessions and the answers back.
class CallerListener {
 public:
  virtual ~CallerListener() = default;

  /// Binds and begins to accept. Fails with kUnavailable.
  virtual core::Result<void> start() = 0;
  /// Closes the sessions of which nothing was asked for `quiet`, and that are in no transaction. Right after
  /// an answer the caller may already be asking for more, so that a close would cut its statement off.
  virtual void close_idle_sessions(core::Duration quiet) = 0;
  /// From now on each session is closed once its transaction, or the statement that runs, has been answered,
  /// and idle ones at once: what is asked later could not be finished before the daemon ends.
  virtual void close_after_answers() = 0;
  /// No more callers.
  virtual void stop_accepting() = 0;
  [[nodiscard]] virtual bool accepting() const = 0;
  [[nodiscard]] virtual std::size_t sessions() const = 0;
};

using MakeCallerListener =
    std::function<std::unique_ptr<CallerListener>(boost::asio::io_context&, SessionHost)>;

}  // namespace pipitpond::pooling
