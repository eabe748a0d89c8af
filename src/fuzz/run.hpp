// Runs one generated sequence on a fleet of its own and judges it by the databases' logs.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "fuzz/command.hpp"

namespace pipitpond::fuzz {

/// Where a run finds its programs and leaves its files.
struct RunOptions {
  std::filesystem::path binaries;
  std::filesystem::path
      folder;  ///< Settings, data and logs of the fleet; history, log and faults of the run.
  std::uint32_t proxies_per_zone = 1;  ///< Of three zones. With 2, not every proxy owns every database.
  std::uint64_t seed = 1;              ///< Of the databases' and the links' draws.
};

/// What became of a run.
struct RunReport {
  std::vector<std::string> findings;             ///< Broken promises; empty in a sound run.
  std::vector<std::string> excerpts;             ///< Lines of the history, the log and the faults about them.
  std::map<std::string, std::uint64_t> endings;  ///< Number of requests by ending.
  std::uint64_t unsettled = 0;                   ///< Writes that ended in doubt, before they were settled.
  std::uint64_t faults = 0;                      ///< Faults that were begun.
  std::int64_t longest_overshoot_ms = 0;  ///< Of an answer beyond its deadline, proxies at fault aside.
  std::uint64_t connections_refused = 0;  ///< Connections that databases refused at their limit.
  std::uint64_t statements_refused = 0;   ///< Statements refused because all slots were taken.
};

/// Runs it. Fails when the fleet can't be started or its log can't be read.
core::Result<RunReport> run(const std::vector<Command>& commands, const RunOptions& options);

}  // namespace pipitpond::fuzz
