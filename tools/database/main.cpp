// pipitpond-database: stand-in for one database of a group.
#include <memory>

#include "database_server.hpp"
#include "options.hpp"
#include "runtime/program.hpp"

int main(int argc, char** argv) {
  namespace program = pipitpond::database_program;
  program::Options options;
  pipitpond::settings::Section section;
  program::declare(section, options);
  const auto start = [&options](boost::asio::io_context& io)
      -> pipitpond::core::Result<std::unique_ptr<pipitpond::runtime::Daemon>> {
    auto server = program::DatabaseServer::start(io, options);
    if (!server) {
      return server.as_failure();
    }
    return std::unique_ptr<pipitpond::runtime::Daemon>(std::move(server).value());
  };
  return pipitpond::runtime::run_daemon(
      argc, argv, {"pipitpond-database", "Stand-in for one database of a group."}, section, start);
}
