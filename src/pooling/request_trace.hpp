// What was decided for one statement, on what evidence: kept while it runs, and written to the log only when
// it failed or came late. So a failure is told whole, and successes cost no line.
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

/// A decision or what came of one.
enum class TraceEvent : std::uint8_t {
  kWaits,         ///< It must not be sent anywhere yet.
  kNoBackend,     ///< No database would do.
  kNoConnection,  ///< One was chosen, but no connection to it was had.
  kSent,          ///< The statement left for a database.
  kNotRun,        ///< The database promised that it did not run.
  kFailed,        ///< It ran and failed.
  kLost,          ///< No answer: the connection broke or the time was up.
  kNotCertain,    ///< It was answered, but the database was not surely the primary any more.
};

/// Stable text of an event, for logs.
const char* to_string(TraceEvent event);

/// One step of a statement.
struct TraceStep {
  core::Duration at{};  ///< Since the statement came.
  TraceEvent event = TraceEvent::kSent;
  core::DatabaseId database;               ///< Empty: none.
  core::Term term = 0;                     ///< Of the group, as it was known.
  std::optional<core::LogPosition> after;  ///< The position that was asked for.
  std::string detail;                      ///< Such as the code of a failure.
};

/// Which statement a trace is of.
struct TraceSubject {
  core::RequestId request;
  std::string route;
  core::GroupName group;
  std::uint64_t routes_version = 0;
  std::uint64_t revision = 0;
};

/// The trace of one statement.
class RequestTrace {
 public:
  explicit RequestTrace(core::Instant started) : started_(started) {}

  /// Only the last kMaxSteps are kept, and how many went before.
  void add(core::Instant now, TraceStep step);
  /// Writes all steps and the outcome, one line each.
  void write(core::Instant now, const TraceSubject& subject, const StatementReply& reply) const;

  [[nodiscard]] core::Duration taken(core::Instant now) const { return now - started_; }

 private:
  core::Instant started_;
  std::vector<TraceStep> steps_;
  std::uint32_t dropped_ = 0;
};

inline constexpr std::size_t kMaxSteps = 12;

}  // namespace pipitpond::pooling
