#include "pooling/options.hpp"

#include <charconv>
#include <system_error>

#include "protocol/tunables.hpp"

namespace pipitpond::pooling {
namespace {

constexpr settings::Range kPort{1, 65535};
constexpr settings::Range kStopGraceMillis{1000, 3'600'000};
/// At least 1 s is needed: a daemon hears from control every 0.5 s, and 0.5 s are held in reserve.
constexpr settings::Range kRevocationMillis{1500, 3'600'000};
constexpr settings::Range kQuotaWindowMillis{100, 3'600'000};
constexpr settings::Range kExcessPercent{0, 1000};
constexpr double kMaxExcess = 10;  // The same bound as kExcessPercent.
constexpr settings::Range kQuotaSlack{0, 1'000'000};
/// A daemon that was suspended for this long has lost its lease in any case.
constexpr core::Duration kMaxSuspension = protocol::kDaemonLease;

/// Parses a decimal fraction. Empty if `text` is not a decimal between 0 and kMaxExcess.
std::optional<double> parse_excess(const std::string& text) {
  double excess = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), excess);
  const bool parsed = error == std::errc() && end == text.data() + text.size();
  return parsed && excess >= 0 && excess <= kMaxExcess ? std::optional(excess) : std::nullopt;
}

}  // namespace

PoolingSettings::PoolingSettings() {
  section_.text("node.id", id_, "Name of this daemon, unlike that of any other daemon").required();
  section_.text("node.zone", zone_, "Zone in which it runs").required();
  section_.text("data.folder", options_.data_folder,
                "Folder for the last configuration; leave out on a machine without a disk");
  section_.endpoint("listen.callers", options_.callers, "Address for callers").required();
  section_.endpoint("listen.admin", options_.admin, "Address for readiness and metrics").required();
  section_.endpoint("listen.internal", options_.internal, "Address at which other daemons reach this one")
      .required();
  section_.endpoints("control.seeds", options_.control_seeds, "HTTP addresses of some control machines")
      .required();
  section_
      .integer("control.internal_port", options_.control_internal_port, kPort,
               "Port that all control machines use for daemons")
      .required();
  section_.text("admin.ready_path", options_.ready_path, "Path that answers 200 while the daemon is ready");
  section_.duration("stop.grace_ms", options_.stop_grace, kStopGraceMillis, "A planned stop takes no longer");
  section_.duration(
      "tenants.revocation_ms", revocation_, kRevocationMillis,
      "A removed key stops working everywhere this long after the removal was acknowledged; leave "
      "out to judge keys by the last known table, however old");
  section_.duration("tenants.quota_window_ms", options_.access.quotas.window, kQuotaWindowMillis,
                    "Span over which tenants' quotas are kept");
  section_.integer("tenants.quota_excess_percent", quota_excess_percent_, kExcessPercent,
                   "By how much of it a quota may be exceeded within a span");
  section_.text("tenants.quota_excess", quota_excess_,
                "The same as a decimal part, as in \"0.1\"; goes before the percentage");
  section_.integer("tenants.quota_slack", options_.access.quotas.slack, kQuotaSlack,
                   "Operations by which a quota may be exceeded besides");
  section_.check([this] { return check(); });
}

PoolingOptions PoolingSettings::options() const {
  PoolingOptions options = options_;
  options.id = core::DaemonId(id_);
  options.zone = core::ZoneName(zone_);
  if (revocation_ > core::Duration::zero()) {
    options.access.keys.revocation = revocation_;
  }
  constexpr double kHundredPercent = 100;
  options.access.quotas.excess = quota_excess_percent_ / kHundredPercent;
  if (const auto excess = parse_excess(quota_excess_)) {
    options.access.quotas.excess = *excess;
  }
  return options;
}

agent::AgentOptions PoolingOptions::agent_options() const {
  agent::AgentOptions agent;
  agent.daemon = id;
  agent.zone = zone;
  agent.internal = internal;
  agent.callers = callers;
  agent.data_folder = data_folder;
  agent.standstill_limit = kMaxSuspension;
  for (const core::Endpoint& seed : control_seeds) {
    agent.control.push_back(core::Endpoint{seed.address, control_internal_port});
  }
  return agent;
}

std::optional<settings::Problem> PoolingSettings::check() const {
  if (id_.empty()) {
    return settings::Problem{"", "node.id", "is empty", "Name this daemon."};
  }
  if (options_.control_seeds.empty()) {
    return settings::Problem{"", "control.seeds", "names no control machine",
                             "List the HTTP addresses of some control machines."};
  }
  if (!quota_excess_.empty() && !parse_excess(quota_excess_)) {
    return settings::Problem{"", "tenants.quota_excess", "is not a decimal fraction",
                             "Write a decimal from 0 to 10."};
  }
  return std::nullopt;
}

}  // namespace pipitpond::pooling
