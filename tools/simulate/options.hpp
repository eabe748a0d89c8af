// The command line of pipitpond-simulate.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "simulation/switches.hpp"

namespace pipitpond::simulate {

inline constexpr std::string_view kUsage =
    "usage: pipitpond-simulate [--world control|group|all] [--first-seed N] [--seeds N] [--jobs N]\n"
    "                          [--trace-folder DIR] [--without MECHANISM]... [--keep-going] [--counts]\n"
    "Runs seeds of the simulated worlds. Prints each failing seed, writes the trace of the first one and "
    "ends\n"
    "with the line \"N passed, M failed\". Exit code 0: all passed; 1: some failed; 2: wrong usage.\n";

struct Options {
  std::string world = "all";
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 1;
  unsigned jobs = 1;
  std::string trace_folder = ".";
  simulation::Switches switches;
  /// False: seeds that have not begun when one fails are not run.
  bool keep_going = false;
  bool counts = false;  ///< Prints what happened how often.
  bool help = false;
  bool version = false;
};

/// Reads the arguments after the program's name; kInvalidArgument says what is wrong.
core::Result<Options> parse_options(const std::vector<std::string>& arguments);

}  // namespace pipitpond::simulate
