#include "proxy/options.hpp"

#include "configuration/validation.hpp"
#include "session/token.hpp"

namespace pipitpond::proxy {
namespace {

constexpr settings::Range kMillis{1, 3'600'000};
constexpr settings::Range kGraceMillis{0, 3'600'000};
constexpr settings::Range kBodyBytes{1024, std::int64_t{1024} * 1024 * 1024};
constexpr settings::Range kConnections{1, 1'000'000};
constexpr settings::Range kRequests{1, 1'000'000};

/// Where others reach the daemon: the advertised address, or else where it listens.
core::Endpoint reached_at(const core::Endpoint& advertised, const core::Endpoint& listening) {
  return advertised.port == 0 ? listening : advertised;
}

}  // namespace

ProxySettings::ProxySettings() {
  declare_node();
  declare_limits();
  declare_drain();
  section_.check([this] { return check(); });
}

void ProxySettings::declare_node() {
  section_.text("node.id", id_, "Name of this daemon, unlike that of any other daemon").required();
  section_.text("node.zone", zone_, "Zone in which it runs").required();
  section_.text("data.folder", data_folder_, "Folder for the last configuration; of this daemon alone")
      .required();
  section_.endpoint("listen.callers", options_.callers, "Address for callers").required();
  section_.endpoint("listen.internal", options_.internal, "Address for other daemons").required();
  section_.endpoint("advertise.callers", advertised_callers_,
                    "Address at which callers reach listen.callers, if another");
  section_.endpoint("advertise.internal", advertised_internal_,
                    "Address at which other daemons reach listen.internal, if another");
  section_.endpoints("control.endpoints", control_, "Internal addresses of the control replicas").required();
  section_
      .text("session.secret", options_.session_secret,
            "Secret that authenticates session tokens; the same on all daemons of the fleet, at least " +
                std::to_string(session::kMinFleetKeyBytes) + " bytes")
      .required();
}

void ProxySettings::declare_limits() {
  section_.integer("limits.max_body_bytes", options_.max_body_bytes, kBodyBytes,
                   "Longest body of a request; over it: 413");
  section_.integer("limits.max_connections", options_.max_connections, kConnections,
                   "Most connections of callers");
  section_.duration("limits.read_timeout_ms", options_.read_timeout, kMillis,
                    "A connection that sends no whole request for this long is closed, idle ones too");
  section_.duration("limits.write_timeout_ms", options_.write_timeout, kMillis,
                    "A caller that does not take its answer for this long is cut off");
  section_.integer("limits.max_in_progress", options_.caller_api.max_in_progress, kRequests,
                   "Most requests in progress; over it: 429 at once");
  section_.duration("transactions.idle_limit_ms", options_.transaction_idle_limit, kMillis,
                    "A transaction without a statement for this long is rolled back");
}

void ProxySettings::declare_drain() {
  section_.duration("drain.grace_ms", options_.drain_grace, kGraceMillis,
                    "At a planned stop: how long requests are still taken while callers move on");
  section_.duration("drain.transactions_ms", options_.drain_transactions, kGraceMillis,
                    "At a planned stop: how long open transactions may go on after that");
}

DaemonOptions ProxySettings::daemon_options() const {
  DaemonOptions options = options_;
  options.id = core::DaemonId(id_);
  options.zone = core::ZoneName(zone_);
  return options;
}

agent::AgentOptions ProxySettings::agent_options() const {
  agent::AgentOptions options;
  options.daemon = core::DaemonId(id_);
  options.zone = core::ZoneName(zone_);
  options.internal = reached_at(advertised_internal_, options_.internal);
  options.callers = reached_at(advertised_callers_, options_.callers);
  options.control = control_;
  options.data_folder = data_folder_;
  return options;
}

std::optional<settings::Problem> ProxySettings::check() const {
  if (configuration::check_name("daemon", id_)) {
    return settings::Problem{"", "node.id", "is no valid name", "Use letters, digits, '.', '_' and '-'."};
  }
  if (configuration::check_name("zone", zone_)) {
    return settings::Problem{"", "node.zone", "is no valid name", "Use letters, digits, '.', '_' and '-'."};
  }
  if (data_folder_.empty()) {
    return settings::Problem{"", "data.folder", "is empty", "Name a folder of this daemon alone."};
  }
  if (control_.empty()) {
    return settings::Problem{"", "control.endpoints", "names no control replica",
                             "List the internal addresses of all control replicas."};
  }
  if (options_.session_secret.size() < session::kMinFleetKeyBytes) {
    return settings::Problem{"", "session.secret", "is too short",
                             "Use at least " + std::to_string(session::kMinFleetKeyBytes) +
                                 " random bytes, the same on all daemons."};
  }
  if (options_.callers == options_.internal) {
    return settings::Problem{"", "listen.internal", "is the same as listen.callers",
                             "Give each a port of its own."};
  }
  return std::nullopt;
}

}  // namespace pipitpond::proxy
