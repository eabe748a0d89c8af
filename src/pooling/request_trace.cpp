#include "pooling/request_trace.hpp"

#include <fmt/format.h>

#include <utility>

#include "logging/logging.hpp"

namespace pipitpond::pooling {
namespace {

using logging::field;

std::string position_text(const std::optional<core::LogPosition>& position) {
  return position ? fmt::format("{}.{}", position->term, position->index) : "-";
}

}  // namespace

const char* to_string(TraceEvent event) {
  switch (event) {
    case TraceEvent::kWaits:
      return "waits";
    case TraceEvent::kNoBackend:
      return "no_backend";
    case TraceEvent::kNoConnection:
      return "no_connection";
    case TraceEvent::kSent:
      return "sent";
    case TraceEvent::kNotRun:
      return "not_run";
    case TraceEvent::kFailed:
      return "failed";
    case TraceEvent::kLost:
      return "lost";
    case TraceEvent::kNotCertain:
      return "not_certain";
  }
  return "unknown";
}

void RequestTrace::add(core::Instant now, TraceStep step) {
  step.at = now - started_;
  const bool waits = step.event == TraceEvent::kNoBackend || step.event == TraceEvent::kWaits;
  const bool repeats =
      waits && !steps_.empty() && steps_.back().event == step.event && steps_.back().detail == step.detail;
  if (repeats) {
    ++dropped_;
    return;
  }
  if (steps_.size() >= kMaxSteps) {
    steps_.erase(steps_.begin());
    ++dropped_;
  }
  steps_.push_back(std::move(step));
}

void RequestTrace::write(core::Instant now, const TraceSubject& subject, const StatementReply& reply) const {
  const auto log = logging::logger("requests");
  const std::string request = field(subject.request.value());
  for (const TraceStep& step : steps_) {
    log->info("event={} request={} group={} database={} term={} after={} at_ms={} detail={}",
              to_string(step.event), request, field(subject.group.value()), field(step.database.value()),
              step.term, position_text(step.after), core::to_millis(step.at), field(step.detail));
  }
  const char* outcome = reply.failure ? to_string(reply.failure->code) : "late";
  log->info(
      "event=outcome request={} route={} group={} outcome={} took_ms={} steps_left_out={} routes_version={} "
      "revision={} reason={}",
      request, field(subject.route), field(subject.group.value()), outcome, core::to_millis(now - started_),
      dropped_, subject.routes_version, subject.revision, field(reply.failure ? reply.failure->text : ""));
}

}  // namespace pipitpond::pooling
