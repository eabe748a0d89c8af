#include "summary.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace pipitpond::overload {
namespace {

using nlohmann::json;
using workload::OpenSample;

constexpr double kMicrosPerMilli = 1000.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr unsigned kNoAnswer = 0;
constexpr unsigned kTooManyRequests = 429;

double to_ms(core::Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

/// The same figures in each report, filled sample by sample.
struct Tally {
  std::uint64_t sent = 0;
  std::uint64_t done = 0;
  std::uint64_t late = 0;
  std::uint64_t completed_in_time = 0;  ///< Done before the deadline, and within the window.
  std::uint64_t overloaded = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t no_answer = 0;
  std::uint64_t attempts = 0;
  std::uint64_t without_retry_after = 0;
  std::map<std::string, std::uint64_t> errors;
  std::vector<double> done_ms;
  std::vector<double> refused_ms;
  std::vector<double> unknown_ms;
  std::vector<double> retry_after_ms;
  std::vector<double> late_by_ms;

  void add(const OpenSample& sample, const Window& window, core::Duration deadline) {
    ++sent;
    attempts += sample.attempts;
    late_by_ms.push_back(to_ms(sample.late_by));
    if (sample.status == kNoAnswer) {
      ++no_answer;
    } else if (sample.outcome == "done") {
      add_done(sample, window, deadline);
    } else {
      add_failure(sample);
    }
  }

 private:
  void add_done(const OpenSample& sample, const Window& window, core::Duration deadline) {
    ++done;
    done_ms.push_back(to_ms(sample.took));
    const bool in_time = sample.took <= deadline;
    late += in_time ? 0 : 1;
    completed_in_time += in_time && sample.sent_at + sample.took < window.to ? 1 : 0;
  }

  void add_failure(const OpenSample& sample) {
    ++errors[sample.outcome + "/" + sample.error_kind];
    overloaded += sample.status == kTooManyRequests ? 1 : 0;
    const bool is_unknown = sample.outcome == "unknown";
    not_run += is_unknown ? 0 : 1;
    unknown += is_unknown ? 1 : 0;
    (is_unknown ? unknown_ms : refused_ms).push_back(to_ms(sample.took));
    if (!sample.has_retry_after || sample.retry_after_ms == 0) {
      ++without_retry_after;
    } else {
      retry_after_ms.push_back(sample.retry_after_ms);
    }
  }
};

core::Duration length_of(const std::vector<OpenSample>& samples, const Window& window) {
  core::Duration last = window.from;
  for (const OpenSample& sample : samples) {
    last = std::max(last, sample.sent_at);
  }
  return std::min(last, window.to) - window.from;
}

}  // namespace

json quantiles(std::vector<double> values) {
  if (values.empty()) {
    return {{"p50", nullptr}, {"p99", nullptr}, {"max", nullptr}};
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](double part) {
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
  };
  return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", values.back()}};
}

json summarize(const std::vector<OpenSample>& samples, const Window& window, std::uint32_t deadline_ms) {
  Tally tally;
  const core::Duration deadline = std::chrono::milliseconds(deadline_ms);
  for (const OpenSample& sample : samples) {
    const bool in_stream = !window.stream || *window.stream == sample.stream;
    if (in_stream && sample.sent_at >= window.from && sample.sent_at < window.to) {
      tally.add(sample, window, deadline);
    }
  }
  const double seconds = static_cast<double>(length_of(samples, window).count()) / kMicrosPerSecond;
  const auto rate = [seconds](std::uint64_t count) {
    return seconds > 0 ? static_cast<double>(count) / seconds : 0.0;
  };
  return {{"seconds", seconds},
          {"sent", tally.sent},
          {"sent_per_second", rate(tally.sent)},
          {"done", tally.done},
          {"done_late", tally.late},
          {"goodput_per_second", rate(tally.completed_in_time)},
          {"not_run", tally.not_run},
          {"overloaded", tally.overloaded},
          {"unknown", tally.unknown},
          {"no_answer", tally.no_answer},
          {"attempts", tally.attempts},
          {"errors", tally.errors},
          {"failures_without_retry_after", tally.without_retry_after},
          {"done_ms", quantiles(std::move(tally.done_ms))},
          {"not_run_ms", quantiles(std::move(tally.refused_ms))},
          {"unknown_ms", quantiles(std::move(tally.unknown_ms))},
          {"retry_after_ms", quantiles(std::move(tally.retry_after_ms))},
          {"generator_late_by_ms", quantiles(std::move(tally.late_by_ms))}};
}

}  // namespace pipitpond::overload
