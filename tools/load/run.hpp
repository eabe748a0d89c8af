// One run: workloads, observation, faults, then judgement.
#pragma once

#include "core/error.hpp"
#include "experiment/fleet_file.hpp"
#include "options.hpp"
#include "oracle/report.hpp"

namespace pipitpond::load {

/// Runs all of it and writes the files. Fails when the fleet can't be used.
core::Result<oracle::Report> run(const Options& options, const experiment::Fleet& fleet);

}  // namespace pipitpond::load
