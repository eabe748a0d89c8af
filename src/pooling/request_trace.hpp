// Trace of the routing decisions for one statement. Kept in memory while the statement runs and logged only
// if it fails or its answer is late, so that successes cost no log lines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "pooling/statement.hpp"

namespace pipitpond::pooling {

/// A routing decision or its result.
enum class TraceEvent : std::uint8_t {
  kWaits,         ///< The statement must not be sent to any database yet.
  kNoBackend,     ///< No database qualified.
  kNoConnection,  ///< No connection to the chosen database was available.
  kSent,          ///< The statement was sent to a database.
  kNotRun,        ///< The reply guarantees that the statement did not run.
  kFailed,        ///< The statement ran and failed.
  kLost,          ///< No answer: the connection broke or the time-out passed.
  kNotCertain,    ///< Answered, but the database may no longer be the primary.
};

/// The event's name in the log; log analysis tools rely on it.
const char* to_string(TraceEvent event);

/// One step in the handling of a statement.
struct TraceStep {
  core::Duration at{};  ///< Time since the statement arrived.
  TraceEvent event = TraceEvent::kSent;
  core::DatabaseId database;               ///< Empty: none.
  core::Term term = 0;                     ///< The group's term, as known to this daemon.
  std::optional<core::LogPosition> after;  ///< The required log position.
  std::string detail;                      ///< Such as the code of a failure.
};

/// Identifies the traced statement and the configuration that it ran under.
struct TraceSubject {
  core::RequestId request;
  std::string route;
  core::GroupName group;
  std::uint64_t routes_version = 0;
  std::uint64_t revision = 0;
};

class RequestTrace {
 public:
  explicit RequestTrace(core::Instant started) : started_(started) {}

  /// Keeps the last kMaxSteps steps and counts those dropped. Consecutive equal waiting steps count as
  /// dropped.
  void add(core::Instant now, TraceStep step);
  /// Logs all steps and the outcome, one line each.
  void write(core::Instant now, const TraceSubject& subject, const StatementReply& reply) const;

  [[nodiscard]] core::Duration elapsed(core::Instant now) const { return now - started_; }

 private:
  core::Instant started_;
  std::vector<TraceStep> steps_;
  std::uint32_t dropped_ = 0;
};

inline constexpr std::size_t kMaxSteps = 12;

}  // namespace pipitpond::pooling
