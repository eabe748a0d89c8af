// The record of a simulated run for a person to read. Runs of one seed write the same bytes.
#pragma once

#include <fmt/format.h>

#include <ostream>
#include <string_view>
#include <utility>

#include "simulation/scheduler.hpp"

namespace pipitpond::simulation {

class Trace {
 public:
  /// Writes to `out`; nothing when it is null.
  Trace(const Scheduler& scheduler, std::ostream* out) : scheduler_(scheduler), out_(out) {}

  [[nodiscard]] bool on() const { return out_ != nullptr; }
  /// One line: true time in seconds, who, what. Formats only when the trace is on.
  template <typename... Arguments>
  void line(std::string_view who, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    if (on()) write(who, fmt::format(format, std::forward<Arguments>(arguments)...));
  }

 private:
  void write(std::string_view who, std::string_view what);

  const Scheduler& scheduler_;
  std::ostream* out_;
};

}  // namespace pipitpond::simulation
