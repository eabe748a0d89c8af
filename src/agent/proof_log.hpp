// What an operator needs to know of a daemon that has a configuration and may not obey it yet: since when it
// waits for a proof, where it asks for one, and from when on it has it.
#pragma once

#include "agent/session.hpp"
#include "core/clock.hpp"
#include "logging/logging.hpp"

namespace pipitpond::agent {

/// Tells of the first proof of the configuration, and each second that there is none yet.
class ProofLog {
 public:
  ProofLog(logging::Logger log, core::Instant started) : log_(std::move(log)), started_(started) {}

  /// Call after each event of the session.
  void observe(core::Instant now, const Session& session);

 private:
  logging::Logger log_;
  core::Instant started_;
  core::Instant last_line_ = started_;
  bool proven_ = false;
};

/// Between lines of a daemon whose configuration is not proven; the first comes after as long.
inline constexpr core::Duration kUnprovenLineInterval = std::chrono::seconds(1);

}  // namespace pipitpond::agent
