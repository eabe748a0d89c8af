// Lines of daemons' logs, read back. See logging/logging.hpp for how they are written and docs/OPERATIONS.md
// for the names of their fields.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pipitpond::explain {

/// Time of day of the process that wrote a line; clocks of machines differ.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// One name=value pair.
struct LogField {
  std::string name;
  std::string value;
};

/// One line.
struct LogRecord {
  LogTime time;
  std::string level;
  std::string process;
  std::string part;
  std::vector<LogField> fields;

  /// The value of a field; empty when the line has none of that name.
  [[nodiscard]] std::string_view get(std::string_view name) const;
  [[nodiscard]] std::string_view event() const { return get("event"); }
  /// A field that is a whole number; nothing when there is none.
  [[nodiscard]] std::optional<std::uint64_t> number(std::string_view name) const;
};

/// Reads a line; what stands before its time is passed over, so that collected logs may have a prefix.
/// Nothing for lines that no daemon wrote, or that tell in words only.
std::optional<LogRecord> parse_line(std::string_view line);

/// "06:45:00.123".
std::string format_time(LogTime time);

}  // namespace pipitpond::explain
