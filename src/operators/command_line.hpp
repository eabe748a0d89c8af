// The commands of pipitctl.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"

namespace pipitpond::operators {

/// Exit codes of pipitctl.
enum class ExitCode : std::uint8_t { kOk = 0, kRefused = 1, kUsage = 2, kUnreachable = 3 };

/// Where the output goes.
struct Output {
  std::ostream& out;     ///< Results.
  std::ostream& errors;  ///< Errors with their remedies, and the keys in use.
};

/// Runs one command line (without the program's name) and returns when it has ended.
ExitCode run_command_line(const std::vector<std::string>& arguments, Output output);

}  // namespace pipitpond::operators
