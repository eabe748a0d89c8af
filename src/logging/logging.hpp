// Logs through spdlog: of daemons on standard output, of other programs on standard error. Writing never
// blocks and is bounded: see descriptor_sink.hpp. Each part has one logger, whose name is the prefix of its
// lines; decisions are told as name=value pairs, whose names are listed in docs/OPERATIONS.md:
//   2026-12-02T06:45:00.123Z warn routing: Group archive-1 has no primary.
#pragma once

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pipitpond::logging {

/// Writes the lines of one part: logger->info("Revision {} is in force.", revision).
using Logger = std::shared_ptr<spdlog::logger>;

/// The logger of a part, such as "routing". The same one for each call with the same name.
Logger logger(const std::string& part);

/// From now on lines go to standard output. Daemons call it when they start.
void use_standard_output();
/// From now on each line names this process: lines of many processes are read together.
void set_process(const std::string& name);
/// Lines left out since the start.
std::uint64_t lines_left_out();
/// A value for a name=value pair: what could forge a pair or a line is replaced, an empty one becomes "-".
std::string field(std::string_view value);

/// Levels from the most to the least talkative.
const std::vector<std::string>& levels();

/// Sets the least level that is written by all loggers, also later ones. Unknown levels mean "info".
void set_level(const std::string& level);

}  // namespace pipitpond::logging
