// A whole fleet of real processes on loopback, for the fleet runner and for tests. All calls block.
#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "experiment/fleet_file.hpp"
#include "experiment/json_call.hpp"
#include "fleet/layout.hpp"
#include "fleet/plan.hpp"
#include "operators/control_client.hpp"
#include "process/child.hpp"

namespace pipitpond::fleet {

/// What a link of a fault proxy does.
enum class LinkMode : std::uint8_t {
  kPass,
  kCut,          ///< Both ways silent: bytes are kept back, connections stay open.
  kRefuse,       ///< Connections are closed and refused.
  kCutToTarget,  ///< The target hears nothing.
  kCutToClient   ///< The target is not heard.
};

/// Name of a mode as the fault proxy's admin interface takes it.
std::string to_string(LinkMode mode);

/// Runs the processes of a plan. Destroying it kills those that still run; the kernel kills them when the
/// thread that started them ends otherwise, so a Fleet must be used by one thread that outlives it.
class Fleet {
 public:
  /// Starts everything, submits zones, policies and groups, and waits until every process is ready and every
  /// group has a primary. Fails with kUnavailable or kTimeout and names the process and its log.
  static core::Result<std::unique_ptr<Fleet>> start(FleetPlan plan);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts a process that has ended; nothing for one that runs. Does not wait until it is ready.
  core::Result<void> start_process(const std::string& name);
  /// Begins a planned stop (SIGTERM) and returns.
  core::Result<void> begin_stop(const std::string& name);
  /// A planned stop to its end. Returns the exit code; fails with kTimeout when it has not ended.
  core::Result<int> stop(const std::string& name, core::Duration limit = std::chrono::seconds(30));
  /// SIGKILL, and waits until the process is gone.
  core::Result<void> kill(const std::string& name);
  /// SIGSTOP and SIGCONT.
  core::Result<void> freeze(const std::string& name);
  core::Result<void> thaw(const std::string& name);
  /// Waits until the process answers /readyz with 200.
  core::Result<void> wait_ready(const std::string& name, core::Duration limit = std::chrono::seconds(30));
  /// Stops all processes, the proxies first, and kills what has not ended in time.
  void stop_all();

  /// What a link does from now on. `name` is "TARGET.SIDE", such as "plates-1.proxies".
  core::Result<void> set_link(const std::string& name, LinkMode mode);
  /// Sets all links that lead to the process.
  core::Result<void> set_links_of(const std::string& target, LinkMode mode);
  /// Sets all links that lead to the process or carry its traffic alone.
  core::Result<void> set_links_around(const std::string& name, LinkMode mode);
  /// Empties the data folder of a process that does not run.
  core::Result<void> wipe(const std::string& name);

  /// Where a process keeps its data.
  [[nodiscard]] std::filesystem::path data_folder(const std::string& name) const;
  /// The process's own HTTP address; an empty endpoint for an unknown name.
  [[nodiscard]] core::Endpoint endpoint(const std::string& name) const;
  /// Where a database is reached through its fault proxy, as operators declared it.
  [[nodiscard]] core::Endpoint declared_endpoint(const std::string& database) const;
  /// All control replicas' operators' interfaces.
  [[nodiscard]] std::vector<core::Endpoint> control_endpoints() const;
  /// Processes, links and deployments with their current pids, as in fleet.json.
  [[nodiscard]] experiment::Fleet describe();
  /// The settings' folder, with NAME.toml and NAME.log of each process.
  [[nodiscard]] const FleetPlan& plan() const { return plan_; }

  /// An operator's call of control; see docs/API.md.
  core::Result<operators::Reply> control(const std::string& method, const std::string& path,
                                         const nlohmann::json& body = nullptr);
  /// A call of one process.
  core::Result<experiment::JsonReply> call(const std::string& process, const std::string& method,
                                           const std::string& path, const nlohmann::json& body = nullptr,
                                           core::Duration timeout = std::chrono::seconds(10));
  /// Name of the group's primary by control's status; empty while it has none.
  std::string primary_of(const core::GroupName& group);
  /// Waits until control's status names a primary other than `former`; its name.
  core::Result<std::string> wait_for_primary(const core::GroupName& group, const std::string& former = "",
                                             core::Duration limit = std::chrono::seconds(30));
  /// Sets a machine's state in the platform's list: "live" or "leaving".
  core::Result<void> set_machine(const std::string& process, const std::string& state);

 private:
  struct Process {
    ProcessLayout layout;
    std::unique_ptr<process::Child> child;
    bool started_before = false;
  };

  Fleet(FleetPlan plan, Layout layout);

  core::Result<void> start_everything();
  core::Result<void> write_settings(const Process& process) const;
  core::Result<void> launch(Process& process);
  core::Result<void> start_kind(const std::string& kind);
  core::Result<void> wait_kind_ready(const std::string& kind);
  /// Waits until a proxy may run statements at the database: a group's first shares come into force only when
  /// every daemon has settled the revision, which may be after its first primary was chosen.
  core::Result<void> wait_for_slots(const std::string& database);
  bool has_slots(const std::string& proxy, const std::string& database);
  core::Result<void> submit_configuration();
  core::Result<void> submit(const std::string& path, const nlohmann::json& spec);
  void stop_each(const std::function<bool(const Process&)>& chosen, core::Duration limit);
  core::Result<void> list_machines();
  core::Result<Process*> find(const std::string& name);
  core::Result<void> signal(const std::string& name, int number);
  [[nodiscard]] core::Error not_ready(const std::string& name, const std::string& what) const;

  FleetPlan plan_;
  Layout layout_;
  std::vector<Process> processes_;
  std::uint64_t next_key_ = 1;
};

/// fleet.json's text; see tools/fleet/README.md.
nlohmann::json to_json(const experiment::Fleet& fleet);

}  // namespace pipitpond::fleet
