// Three control processes that reach each other through links of a fault proxy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "fleet/fleet.hpp"
#include "support/json_client.hpp"
#include "support/test_fleet.hpp"

namespace pipitpond::testing {

/// Exit code and output of a finished process.
struct ProcessResult {
  int exit_code = 0;
  std::string output;  ///< Standard output and error.
};

/// Topology of the links between the machines.
enum class Links : std::uint8_t {
  kOneEach,  ///< One link per machine, which all others use to reach it.
  kMesh,     ///< One link per pair and direction, so that a machine can be partitioned from all others.
};

/// A control cluster without databases. Machines are numbered from 0.
class ControlCluster {
 public:
  static constexpr std::size_t kMachines = 3;

  /// Starts the cluster and waits until it has a leader.
  explicit ControlCluster(Links links = Links::kOneEach, const fleet::RaftTimes& times = {});

  [[nodiscard]] static std::string name(std::size_t machine);
  /// The two other machines, in ascending order modulo kMachines.
  [[nodiscard]] static std::vector<std::size_t> other_machines(std::size_t machine);
  [[nodiscard]] core::Endpoint operator_endpoint(std::size_t machine) const;
  [[nodiscard]] std::vector<core::Endpoint> all_operator_endpoints() const;
  [[nodiscard]] std::filesystem::path folder() const { return folder_.path(); }
  [[nodiscard]] std::filesystem::path data_folder(std::size_t machine) const;

  /// Starts a machine on its existing data folder, without bootstrapping a cluster.
  void start(std::size_t machine);
  /// Starts a machine that is expected to exit by itself, and waits for that.
  ProcessResult run_until_exit(std::size_t machine);
  void kill(std::size_t machine);
  void freeze(std::size_t machine);
  void thaw(std::size_t machine);
  /// Stops a machine gracefully and returns the exit code.
  int stop(std::size_t machine);
  /// Empties the data folder of a stopped machine.
  void wipe(std::size_t machine);
  /// Partitions a machine from all others without closing connections, or restores its links. Needs
  /// Links::kMesh.
  void partition(std::size_t machine);
  void reconnect(std::size_t machine);
  /// Creates a link to a machine's operator API that drops every reply, and returns the address it listens
  /// on.
  core::Endpoint link_without_replies(std::size_t machine);

  /// Reads the metric pipitpond_control_NAME of a machine, such as NAME "term". Works without a leader too.
  [[nodiscard]] std::uint64_t metric(std::size_t machine, const std::string& name) const;
  /// Returns GET /v1/status of a machine, or nothing if the request fails.
  std::optional<nlohmann::json> status(std::size_t machine);
  /// Waits until one of the given machines reports one of them as the leader, and returns that leader.
  std::size_t wait_for_leader(const std::vector<std::size_t>& machines = {0, 1, 2});
  /// Sends PUT /v1/zones/ZONE, which creates or updates a zone.
  std::optional<experiment::JsonReply> put_zone(std::size_t machine, const std::string& zone,
                                                std::uint64_t revision, const std::string& key,
                                                const std::string& region = "kingston");
  /// Reads the region of a zone from a machine. Empty if the zone does not exist or the request fails.
  std::string region(std::size_t machine, const std::string& zone);
  /// Runs pipitctl with the given control addresses and returns its result.
  ProcessResult pipitctl(const std::vector<core::Endpoint>& control,
                         const std::vector<std::string>& arguments);

 private:
  TestFolder folder_;
  std::unique_ptr<fleet::Fleet> fleet_;
};

/// Returns true if there is a reply and it reports success.
bool accepted(const std::optional<experiment::JsonReply>& reply);
/// Returns the revision in a successful reply, or 0.
std::uint64_t revision_of(const std::optional<experiment::JsonReply>& reply);

}  // namespace pipitpond::testing
