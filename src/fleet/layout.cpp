#include "fleet/layout.hpp"

#include <fmt/format.h>

#include <deque>
#include <utility>

#include "process/ports.hpp"

namespace pipitpond::fleet {
namespace {

constexpr const char* kAddress = "127.0.0.1";
/// The runner's interface and a fault proxy for control and each deployment.
constexpr std::size_t kFixedPorts = 8;
constexpr std::size_t kPortsPerDatabase = 3;
constexpr std::size_t kPortsPerProxy = 2;
constexpr std::size_t kPortsPerControl = 3;
constexpr const char* kSessionSecret = "the session secret of a fleet on loopback";

std::size_t port_count(const FleetPlan& plan) {
  std::size_t count = kFixedPorts + plan.deployments.size() + (plan.control_replicas * kPortsPerControl);
  if (plan.control_mesh_links) {
    count += std::size_t{plan.control_replicas} * (plan.control_replicas - 1);
  }
  for (const DeploymentPlan& deployment : plan.deployments) {
    count += deployment.groups.size() * deployment.databases_per_group * kPortsPerDatabase;
    count += deployment.zones.size() * deployment.proxies_per_zone * kPortsPerProxy;
  }
  return count;
}

/// Free endpoints, each given once.
class Endpoints {
 public:
  explicit Endpoints(std::size_t count) {
    for (const std::uint16_t port : process::free_ports(kAddress, count)) {
      free_.push_back({kAddress, port});
    }
  }

  core::Endpoint take() {
    core::Endpoint endpoint = free_.front();
    free_.pop_front();
    return endpoint;
  }

 private:
  std::deque<core::Endpoint> free_;
};

/// A text in TOML's quotes. Names and paths of a plan hold neither quotes nor backslashes.
std::string quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string quoted(const core::Endpoint& endpoint) {
  return quoted(core::to_string(endpoint));
}

std::string list_of(const std::vector<std::string>& texts) {
  std::string list;
  for (const std::string& text : texts) {
    list += (list.empty() ? "" : ", ") + text;
  }
  return "[" + list + "]";
}

class LayoutBuilder {
 public:
  explicit LayoutBuilder(const FleetPlan& plan) : plan_(plan), endpoints_(port_count(plan)) {}

  Layout build() {
    layout_.admin = endpoints_.take();
    add_platform();
    add_control();
    for (const DeploymentPlan& deployment : plan_.deployments) {
      add_databases(deployment);
    }
    for (const DeploymentPlan& deployment : plan_.deployments) {
      add_proxies(deployment);
    }
    return std::move(layout_);
  }

 private:
  /// A fault proxy under way: its links are added while the targets are laid out.
  struct FaultProxy {
    std::string name;
    std::string deployment;
    core::Endpoint admin;
    std::string links;  ///< TOML tables.
  };

  FaultProxy begin_fault_proxy(const std::string& name, const std::string& deployment) {
    return {name, deployment, endpoints_.take(), ""};
  }

  /// Where callers reach the target: a new link of the fault proxy, or the target itself without them.
  core::Endpoint add_link(FaultProxy& fault_proxy, const std::string& target, const std::string& side,
                          const core::Endpoint& endpoint, core::Duration delay) {
    if (!plan_.fault_proxies) {
      return endpoint;
    }
    const std::string name = target + "." + side;
    core::Endpoint listen = endpoints_.take();
    fault_proxy.links += fmt::format("\n[[links]]\nname = {}\nlisten = {}\ntarget = {}\ndelay_us = {}\n",
                                     quoted(name), quoted(listen), quoted(endpoint), delay.count());
    layout_.links.push_back({name, target, side, fault_proxy.admin});
    return listen;
  }

  void finish_fault_proxy(const FaultProxy& fault_proxy) {
    if (!plan_.fault_proxies) {
      return;
    }
    ProcessLayout process;
    process.description = describe(fault_proxy.name, "faultproxy", fault_proxy.deployment, fault_proxy.admin);
    process.program = "pipitpond-faultproxy";
    process.settings = fmt::format("listen.address = {}\nlisten.port = {}\nseed = {}\n{}", quoted(kAddress),
                                   fault_proxy.admin.port, plan_.seed, fault_proxy.links);
    layout_.processes.push_back(std::move(process));
  }

  static experiment::FleetProcess describe(const std::string& name, const std::string& kind,
                                           const std::string& deployment, const core::Endpoint& endpoint) {
    experiment::FleetProcess process;
    process.name = name;
    process.kind = kind;
    process.deployment = deployment;
    process.endpoint = endpoint;
    return process;
  }

  [[nodiscard]] std::string data_folder(const std::string& name) const {
    return quoted((plan_.folder / "data" / name).string());
  }

  void add_platform() {
    platform_ = endpoints_.take();
    ProcessLayout process;
    process.description = describe("platform", "platform", "", platform_);
    process.program = "pipitpond-platform";
    process.settings = fmt::format("listen.address = {}\nlisten.port = {}\nlag_ms = {}\n", quoted(kAddress),
                                   platform_.port, core::to_millis(plan_.platform_lag));
    layout_.processes.push_back(std::move(process));
  }

  /// Zones of all deployments in turn, for what serves all of them.
  [[nodiscard]] core::ZoneName any_zone(std::size_t number) const {
    std::vector<core::ZoneName> zones;
    for (const DeploymentPlan& deployment : plan_.deployments) {
      zones.insert(zones.end(), deployment.zones.begin(), deployment.zones.end());
    }
    return zones.empty() ? core::ZoneName() : zones[number % zones.size()];
  }

  /// A control replica under way.
  struct ControlReplica {
    std::string name;
    core::Endpoint internal;
    core::Endpoint operators;
    core::Endpoint reached;  ///< Where daemons reach it.
  };

  void add_control() {
    FaultProxy fault_proxy = begin_fault_proxy("control-faults", "");
    std::vector<ControlReplica> replicas;
    for (std::uint32_t number = 1; number <= plan_.control_replicas; ++number) {
      ControlReplica replica{fmt::format("control-{}", number), endpoints_.take(), endpoints_.take(), {}};
      replica.reached =
          add_link(fault_proxy, replica.name, "peers", replica.internal, core::Duration::zero());
      control_.push_back(quoted(replica.reached));
      replicas.push_back(std::move(replica));
    }
    std::vector<ProcessLayout> processes;
    for (const ControlReplica& replica : replicas) {
      processes.push_back(control_process(replica, processes.size()));
      processes.back().settings += "peers = " + list_of(peers_of(replica, replicas, fault_proxy)) + "\n";
    }
    finish_fault_proxy(fault_proxy);
    for (ProcessLayout& process : processes) {
      layout_.processes.push_back(std::move(process));
    }
  }

  [[nodiscard]] ProcessLayout control_process(const ControlReplica& replica, std::size_t number) const {
    ProcessLayout process;
    process.description = describe(replica.name, "control", "", replica.operators);
    process.description.zone = any_zone(number);
    process.program = "pipitpond-control";
    process.settings = fmt::format(
        "node.id = {}\ndata.folder = {}\nlisten.internal = {}\nlisten.http = {}\nplatform.endpoint = {}\n",
        quoted(replica.name), data_folder(replica.name), quoted(replica.internal), quoted(replica.operators),
        quoted(platform_));
    process.settings +=
        fmt::format("raft.heartbeat_ms = {}\nraft.election_min_ms = {}\nraft.election_max_ms = {}\n",
                    core::to_millis(plan_.raft.heartbeat), core::to_millis(plan_.raft.election_min),
                    core::to_millis(plan_.raft.election_max));
    process.first_start_arguments = {"--cluster.bootstrap"};
    return process;
  }

  /// All control replicas as this one reaches them: over links of its own, if the plan has them.
  std::vector<std::string> peers_of(const ControlReplica& replica, const std::vector<ControlReplica>& all,
                                    FaultProxy& fault_proxy) {
    std::vector<std::string> peers;
    for (const ControlReplica& other : all) {
      core::Endpoint reached = other.reached;
      if (plan_.control_mesh_links && other.name != replica.name) {
        reached = add_link(fault_proxy, other.name, replica.name, other.internal, core::Duration::zero());
      }
      peers.push_back(quoted(
          fmt::format("{}={}/{}", other.name, core::to_string(reached), core::to_string(other.operators))));
    }
    return peers;
  }

  void add_databases(const DeploymentPlan& deployment) {
    FaultProxy fault_proxy = begin_fault_proxy(deployment.name + "-faults", deployment.name);
    std::vector<ProcessLayout> databases;
    for (std::size_t group = 0; group < deployment.groups.size(); ++group) {
      add_group(deployment, group, fault_proxy, databases);
    }
    finish_fault_proxy(fault_proxy);
    for (ProcessLayout& process : databases) {
      layout_.processes.push_back(std::move(process));
    }
  }

  void add_group(const DeploymentPlan& deployment, std::size_t group_number, FaultProxy& fault_proxy,
                 std::vector<ProcessLayout>& processes) {
    const core::GroupName& group = deployment.groups[group_number];
    std::string peers;
    std::vector<ProcessLayout> members;
    for (std::uint32_t number = 1; number <= deployment.databases_per_group; ++number) {
      const std::string name = fmt::format("{}-{}", group.value(), number);
      const core::Endpoint own = endpoints_.take();
      const core::Endpoint reached = add_link(fault_proxy, name, "proxies", own, deployment.zone_delay);
      const core::Endpoint peer = add_link(fault_proxy, name, "peers", own, deployment.zone_delay);
      peers += fmt::format("\n[[peers]]\ndatabase = {}\nendpoint = {}\n", quoted(name), quoted(peer));
      ProcessLayout process;
      process.description = describe(name, "database", deployment.name, own);
      process.description.zone = deployment.zones[(group_number + number - 1) % deployment.zones.size()];
      process.description.group = group;
      process.program = "pipitpond-database";
      process.settings = database_settings(deployment, process.description);
      layout_.databases.push_back(
          {name, group, process.description.zone, reached, deployment.connection_limit, deployment.slots});
      members.push_back(std::move(process));
    }
    for (ProcessLayout& process : members) {
      process.settings += peers;
      processes.push_back(std::move(process));
    }
  }

  [[nodiscard]] std::string database_settings(const DeploymentPlan& deployment,
                                              const experiment::FleetProcess& database) const {
    std::string text =
        fmt::format("id = {}\ngroup = {}\nlisten.address = {}\nlisten.port = {}\n", quoted(database.name),
                    quoted(database.group.value()), quoted(kAddress), database.endpoint.port);
    text += fmt::format("data.folder = {}\ndata.sync = {}\nslots = {}\nwork_us = {}\nseed = {}\n",
                        data_folder(database.name), plan_.database_sync, deployment.slots,
                        plan_.database_work.count(), plan_.seed);
    text += fmt::format("connection.limit = {}\nconnection.cost_ms = {}\napply_lag_ms = {}\n",
                        deployment.connection_limit, core::to_millis(deployment.connection_cost),
                        core::to_millis(plan_.database_apply_lag));
    return text;
  }

  void add_proxies(const DeploymentPlan& deployment) {
    const std::size_t count = deployment.zones.size() * deployment.proxies_per_zone;
    for (std::size_t number = 0; number < count; ++number) {
      const std::string name = fmt::format("{}-proxy-{}", deployment.name, number + 1);
      const core::Endpoint callers = endpoints_.take();
      const core::Endpoint internal = endpoints_.take();
      ProcessLayout process;
      process.description = describe(name, "proxy", deployment.name, callers);
      process.description.zone = deployment.zones[number % deployment.zones.size()];
      process.program = "pipitpond-proxy";
      process.settings = fmt::format(
          "node.id = {}\nnode.zone = {}\ndata.folder = {}\nlisten.callers = {}\nlisten.internal = {}\n",
          quoted(name), quoted(process.description.zone.value()), data_folder(name), quoted(callers),
          quoted(internal));
      process.settings += fmt::format("control.endpoints = {}\nsession.secret = {}\n", list_of(control_),
                                      quoted(kSessionSecret));
      layout_.processes.push_back(std::move(process));
    }
  }

  const FleetPlan& plan_;
  Endpoints endpoints_;
  Layout layout_;
  core::Endpoint platform_;
  std::vector<std::string> control_;  ///< In quotes: where daemons reach control.
};

}  // namespace

Layout lay_out(const FleetPlan& plan) {
  return LayoutBuilder(plan).build();
}

}  // namespace pipitpond::fleet
