// Entry point of the control daemon, shared by all executables that provide their own adapters.
#pragma once

#include "control/control_server.hpp"
#include "control/options.hpp"
#include "settings/loader.hpp"

namespace pipitpond::control {

/// Runs a control replica until it is asked to stop and returns the exit code. Terminates the process
/// immediately after an unrecoverable disk error, because the state in memory may differ from the disk.
int run_control(int argc, char** argv, const settings::Program& program, ControlSettings& settings,
                const ControlAdapters& adapters);

}  // namespace pipitpond::control
