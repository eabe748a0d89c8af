// pipitpond-fleet: runs a whole fleet on loopback until it gets SIGTERM or SIGINT; see README.md.
#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admin.hpp"
#include "fleet/fleet.hpp"
#include "http/admin.hpp"
#include "logging/logging.hpp"
#include "runtime/program.hpp"

namespace {

using namespace pipitpond;

/// Settings of the process.
struct Options {
  std::string folder;
  std::string binaries;
  std::vector<std::string> deployments = {"archive", "kigali"};
  std::uint32_t groups_per_deployment = 1;
  std::uint32_t proxies_per_zone = 1;
  std::uint32_t control_replicas = 3;
  bool fault_proxies = true;
  std::uint64_t seed = 1;
};

void declare(settings::Section& section, Options& options) {
  section.text("folder", options.folder, "folder for fleet.json, settings, data and logs").required();
  section.text("binaries", options.binaries, "folder of the programs; empty: beside this one");
  section.texts("deployments", options.deployments, "archive, kigali or both");
  section.integer("groups-per-deployment", options.groups_per_deployment, {1, 3},
                  "database groups of each deployment");
  section.integer("proxies-per-zone", options.proxies_per_zone, {0, 8}, "proxies in each zone");
  section.integer("control-replicas", options.control_replicas, {1, 5}, "replicas of control");
  section.boolean("fault-proxies", options.fault_proxies,
                  "fault proxies before databases and control, with the delays between zones");
  section.integer("seed", options.seed, {1, 1'000'000'000}, "of the fault proxies and databases");
  section.check([&options]() -> std::optional<settings::Problem> {
    for (const std::string& name : options.deployments) {
      if (name != "archive" && name != "kigali") {
        return settings::Problem{"", "deployments", name + " is not known", "Name archive, kigali or both."};
      }
    }
    return std::nullopt;
  });
}

fleet::FleetPlan plan_of(const Options& options) {
  fleet::FleetPlan plan;
  plan.binaries = options.binaries.empty() ? std::filesystem::read_symlink("/proc/self/exe").parent_path()
                                           : std::filesystem::path(options.binaries);
  plan.folder = std::filesystem::absolute(options.folder);
  plan.control_replicas = options.control_replicas;
  plan.fault_proxies = options.fault_proxies;
  plan.seed = options.seed;
  for (const std::string& name : options.deployments) {
    plan.deployments.push_back(name == "archive" ? fleet::archive_plan(options.groups_per_deployment)
                                                 : fleet::kigali_plan(options.groups_per_deployment));
    plan.deployments.back().proxies_per_zone = options.proxies_per_zone;
  }
  return plan;
}

/// Writes beside and renames, so that a reader never sees half a file.
core::Result<void> write_fleet_file(const std::filesystem::path& path, const experiment::Fleet& described) {
  constexpr int kIndent = 2;
  const std::filesystem::path written = path.string() + ".new";
  std::ofstream file(written);
  file << fleet::to_json(described).dump(kIndent) << "\n";
  file.close();
  std::error_code failed;
  if (file) {
    std::filesystem::rename(written, path, failed);
  }
  if (!file || failed) {
    return core::fail(core::ErrorKind::kUnavailable, path.string() + " can't be written.",
                      "Name a folder that can be written.");
  }
  return core::outcome::success();
}

class FleetDaemon : public runtime::Daemon {
 public:
  static core::Result<std::unique_ptr<runtime::Daemon>> start(boost::asio::io_context& io,
                                                              const Options& options) {
    auto started = fleet::Fleet::start(plan_of(options));
    if (!started) {
      return started.as_failure();
    }
    std::unique_ptr<FleetDaemon> daemon(new FleetDaemon(std::move(started).value()));
    BOOST_OUTCOME_TRYV(daemon->listen(io));
    const std::filesystem::path file = daemon->fleet_->plan().folder / "fleet.json";
    BOOST_OUTCOME_TRYV(write_fleet_file(file, daemon->fleet_->describe()));
    logging::logger("fleet")->info("The fleet runs: {}.", file.string());
    return std::unique_ptr<runtime::Daemon>(std::move(daemon));
  }

  void stop(std::function<void()> stopped) override {
    fleet_->stop_all();
    logging::logger("fleet")->info("All processes have ended.");
    stopped();
  }

 private:
  explicit FleetDaemon(std::unique_ptr<fleet::Fleet> fleet) : fleet_(std::move(fleet)) {}

  core::Result<void> listen(boost::asio::io_context& io) {
    const core::Endpoint admin = fleet_->describe().admin;
    auto server = http::start_admin_server(
        io, admin.address, admin.port,
        [this](const http::Request& request) { return fleet_program::answer(*fleet_, request); });
    if (!server) {
      return server.as_failure();
    }
    server_ = std::move(server).value();
    return core::outcome::success();
  }

  std::unique_ptr<fleet::Fleet> fleet_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  settings::Section section;
  declare(section, options);
  return runtime::run_daemon(
      argc, argv, {"pipitpond-fleet", "Runs a whole fleet on loopback."}, section,
      [&options](boost::asio::io_context& io) { return FleetDaemon::start(io, options); });
}
