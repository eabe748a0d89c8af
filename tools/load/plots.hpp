// Plots of a run, drawn by gnuplot if it is installed.
#pragma once

#include <string>

#include "oracle/observations.hpp"
#include "oracle/report.hpp"
#include "workload/history.hpp"

namespace pipitpond::load {

/// What a workload's plots show.
struct PlotInput {
  const oracle::WorkloadReport& report;
  const workload::History& history;
  const oracle::Observations& observations;
  workload::UnixMicros began_us = 0;
};

/// Writes OUT/data/*.dat and OUT/data/*.gp, scripts that draw OUT/WORKLOAD-*.svg. The tool starts no process:
/// scripts/measure runs gnuplot on them. Returns false when a file can't be written.
bool write_plot_files(const PlotInput& input, const std::string& out);

}  // namespace pipitpond::load
