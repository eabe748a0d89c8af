// pipitpond-platform-stage: a service of stand-in databases on the platform's wire, for trying the platform's
// programs by hand.
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "platform_stage/service.hpp"
#include "runtime/program.hpp"
#include "settings/section.hpp"

int main(int argc, char** argv) {
  using namespace pipitpond;
  platform_stage::ServiceOptions options;
  settings::Section section;
  section.text("service.name", options.name, "Name of the service");
  section.integer("service.databases", options.databases, settings::Range{1, 9}, "Databases of the service");
  section.endpoints("control", options.control, "HTTP addresses of control").required();
  const settings::Program program{"pipitpond-platform-stage", "Stand-in databases on the platform's wire."};
  if (const auto exit_code = runtime::load_settings(argc, argv, program, section)) {
    return *exit_code;
  }
  boost::asio::io_context io(1);
  platform_stage::Service service(io, options);
  service.start();
  std::cout << "promotion call: " << core::to_string(service.start_promotion_call()) << std::endl;
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return runtime::kExitDone;
}
