#include "control/options.hpp"

#include <algorithm>

#include "configuration/validation.hpp"

namespace pipitpond::control {
namespace {

constexpr settings::Range kDurationRangeMs{1, 60'000};
constexpr settings::Range kToleratedLossesRange{1, 4};
/// Daemons renew their leases twice a second, so the minimum must leave time for two renewals.
constexpr settings::Range kLeaseRangeMs{1'200, 60'000};

}  // namespace

std::optional<Peer> parse_peer(const std::string& text) {
  const auto equals = text.find('=');
  const auto slash = text.find('/', equals == std::string::npos ? 0 : equals);
  if (equals == std::string::npos || slash == std::string::npos) {
    return std::nullopt;
  }
  const auto internal = core::parse_endpoint(text.substr(equals + 1, slash - equals - 1));
  const auto operators = core::parse_endpoint(text.substr(slash + 1));
  const std::string name = text.substr(0, equals);
  if (!internal || !operators || configuration::check_name("peer", name)) {
    return std::nullopt;
  }
  return Peer{name, *internal, *operators};
}

Peer ControlOptions::self() const {
  const auto found =
      std::find_if(peers.begin(), peers.end(), [this](const Peer& peer) { return peer.name == name; });
  return found == peers.end() ? Peer{name, internal, operators} : *found;
}

ControlSettings::ControlSettings() {
  section_.text("node.id", options_.name, "Name of this machine; unique among all control machines")
      .required();
  section_.text("cluster.name", options_.cluster, "Name of the fleet; the same on all control machines");
  section_.boolean(
      "cluster.bootstrap", options_.bootstrap,
      "Bootstrap a new cluster if the data folder is empty; for the first start of a new fleet only");
  section_.integer("cluster.tolerated_losses", options_.tolerated_losses, kToleratedLossesRange,
                   "Control disks that may be lost at once; silent replicas are removed only while the "
                   "remaining ones can tolerate that");
  section_
      .text("data.folder", options_.data_folder,
            "Folder for the log and snapshots; its disk must honour fsync")
      .required();
  section_.endpoint("listen.internal", options_.internal, "Address for daemons and control replicas")
      .required();
  section_.endpoint("listen.http", options_.operators, "Address for operators").required();
  section_.texts("peers", peer_texts_,
                 "All control machines as others reach them: NAME=INTERNAL/HTTP, such as "
                 "c1=10.0.0.1:7100/10.0.0.1:7101");
  section_.endpoints(
      "cluster.seeds", seeds_,
      "Instead of peers: HTTP addresses of some control machines. Machines are then named by their "
      "IP addresses; seeds bootstrap the cluster, all others join it automatically");
  section_.endpoint("platform.endpoint", platform_,
                    "Address of the platform's list of machines; omit if there is none");
  section_.duration("platform.interval_ms", options_.platform_interval, kDurationRangeMs,
                    "Interval at which the list is read");
  section_.duration("raft.heartbeat_ms", options_.heartbeat_interval, kDurationRangeMs,
                    "Interval of the leader's heartbeats");
  section_.duration("raft.election_min_ms", options_.election_timeout_min, kDurationRangeMs,
                    "Minimum time without a leader before an election");
  section_.duration("raft.election_max_ms", options_.election_timeout_max, kDurationRangeMs,
                    "Maximum time without a leader before an election");
  section_.duration("database.fence_timeout_ms", options_.database_calls.fence, kDurationRangeMs,
                    "Timeout of a call that fences a database");
  section_.duration("database.promote_timeout_ms", options_.database_calls.promote, kDurationRangeMs,
                    "Timeout of a call that promotes a database to primary");
  section_.duration("lease.duration_ms", options_.daemon_lease, kLeaseRangeMs,
                    "Duration of a daemon's lease; the same on all control machines");
  section_.check([this] { return check(); });
}

/// Seeds name only HTTP addresses: all control machines use the same internal port.
void ControlSettings::apply_seeds() {
  options_.open_membership = true;
  options_.peers.clear();
  for (const core::Endpoint& seed : seeds_) {
    options_.peers.push_back(Peer{seed.address, core::Endpoint{seed.address, options_.internal.port}, seed});
  }
}

std::optional<settings::Problem> ControlSettings::check() {
  if (configuration::check_name("machine", options_.name)) {
    return settings::Problem{"", "node.id", "is not a valid name", "Use letters, digits, '.', '_' and '-'."};
  }
  options_.peers.clear();
  for (const std::string& text : peer_texts_) {
    const auto peer = parse_peer(text);
    if (!peer) {
      return settings::Problem{"", "peers", text + " is not NAME=INTERNAL/HTTP",
                               "Write for example c1=10.0.0.1:7100/10.0.0.1:7101."};
    }
    options_.peers.push_back(*peer);
  }
  if (!seeds_.empty()) {
    apply_seeds();
    options_.platform = platform_.port == 0 ? std::nullopt : std::optional(platform_);
    return std::nullopt;
  }
  if (options_.peers.empty()) {
    return settings::Problem{"", "peers", "names no control machine",
                             "List all of them, or give cluster.seeds."};
  }
  const bool named = std::any_of(options_.peers.begin(), options_.peers.end(),
                                 [this](const Peer& peer) { return peer.name == options_.name; });
  if (options_.bootstrap && !named) {
    return settings::Problem{"", "peers", "does not name this machine, " + options_.name,
                             "Add it: the machines in peers bootstrap the cluster."};
  }
  const bool ordered = options_.heartbeat_interval * 2 <= options_.election_timeout_min &&
                       options_.election_timeout_min < options_.election_timeout_max;
  if (!ordered) {
    return settings::Problem{
        "", "raft.election_min_ms", "does not fit the other Raft timeouts",
        "Keep heartbeat_ms at or below half of election_min_ms, and election_min_ms below election_max_ms."};
  }
  options_.platform = platform_.port == 0 ? std::nullopt : std::optional(platform_);
  return std::nullopt;
}

}  // namespace pipitpond::control
