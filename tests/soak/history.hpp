// What callers asked and got during a soak run, for the judge.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace pipitpond::soak {

/// Routes of the fleet under test; see PlatformFleet::configuration.
enum class Route : std::uint8_t { kWrites, kBoard, kOwn };

inline const char* to_string(Route route) {
  switch (route) {
    case Route::kWrites:
      return "writes";
    case Route::kBoard:
      return "board";
    case Route::kOwn:
      return "own";
  }
  return "";
}

/// How a statement was answered.
enum class Reply : std::uint8_t {
  kDone,
  kNotKept,  ///< A promise that nothing of the operation is kept.
  kFailed,   ///< Any other error.
  kNone,     ///< The connection ended first.
};

/// One statement.
struct AskedStatement {
  std::string request;
  std::string text;
  core::Instant sent;
  core::Instant answered;
  Reply reply = Reply::kNone;
  std::string row;

  [[nodiscard]] bool is(const char* word) const { return text.starts_with(word); }
};

/// A single statement, or a transaction from its BEGIN to its end.
struct Operation {
  std::uint64_t session = 0;
  Route route = Route::kWrites;
  std::vector<AskedStatement> statements;

  [[nodiscard]] bool transaction() const { return !statements.empty() && statements.front().is("BEGIN"); }
};

}  // namespace pipitpond::soak
