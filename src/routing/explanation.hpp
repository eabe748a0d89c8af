// Why recent requests went where they went; kept in memory for GET /v1/explain.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace pipitpond::routing {

inline constexpr std::size_t kMaxExplanations = 2048;
inline constexpr std::size_t kMaxExplanationSteps = 32;

/// One decision or event of a request.
struct ExplanationStep {
  core::Duration after;       ///< Since the request's start.
  core::DatabaseId database;  ///< Empty when the step concerns none.
  std::string decision;       ///< Stable word, such as "fresh_replica" or "behind_session".
  std::string detail;         ///< For a person.
};

/// All steps of one request.
struct Explanation {
  core::RequestId request;
  core::Instant started;
  std::vector<ExplanationStep> steps;
};

/// The explanations of the last requests; the oldest are dropped.
class ExplanationLog {
 public:
  explicit ExplanationLog(std::size_t capacity = kMaxExplanations) : capacity_(capacity) {}

  /// Starts a request's explanation.
  void start(const core::RequestId& request, core::Instant now);
  /// Adds a step; ignored for an unknown request or beyond kMaxExplanationSteps.
  void add(const core::RequestId& request, core::Instant now, core::DatabaseId database, std::string decision,
           std::string detail);
  /// The explanation, or nullptr when it was dropped or never was.
  [[nodiscard]] const Explanation* find(const core::RequestId& request) const;

 private:
  std::size_t capacity_;
  std::deque<core::RequestId> order_;
  std::unordered_map<core::RequestId, Explanation> explanations_;
};

}  // namespace pipitpond::routing
