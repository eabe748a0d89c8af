// Loads a program's settings from a TOML file and the command line, which wins. All of it is checked before
// anything starts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "settings/section.hpp"

namespace pipitpond::settings {

/// What the command line asks of the program.
enum class Request : std::uint8_t {
  kRun,   ///< Start; the settings are assigned.
  kHelp,  ///< Print help_text() and end.
  kVersion,
  kCheck,  ///< The settings are whole: say so and end.
};

/// Name of a program and what it does, for --help.
struct Program {
  std::string name;
  std::string description;
};

/// Assigns all settings. The program has `--config FILE`, `--NAME VALUE` for each setting, `--help`,
/// `--version` and `--check`. Fails with kInvalidArgument; the message lists everything that is wrong, one
/// line each.
core::Result<Request> load(const Program& program, Section& section,
                           const std::vector<std::string>& arguments);

/// All settings with types, defaults and help.
std::string help_text(const Program& program, const Section& section);

}  // namespace pipitpond::settings
