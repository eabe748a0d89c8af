// pipitpond-control: one replica of the fleet's control.
#include "control/control_process.hpp"

int main(int argc, char** argv) {
  using namespace pipitpond;
  control::ControlSettings settings;
  const settings::Program program{"pipitpond-control", "One replica of the control of a pipitpond fleet."};
  return control::run_control(argc, argv, program, settings, {});
}
