// The process of a control replica, whatever its adapters.
#pragma once

#include "control/control_server.hpp"
#include "control/options.hpp"
#include "settings/loader.hpp"

namespace pipitpond::control {

/// Runs a control replica until it is told to stop; returns the exit code. Ends the process at once when its
/// disk can't be trusted any more: what it has in memory must not be acted on.
int run_control(int argc, char** argv, const settings::Program& program, ControlSettings& settings,
                const ControlAdapters& adapters);

}  // namespace pipitpond::control
