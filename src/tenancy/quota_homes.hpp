// Which daemons count a tenant's operations: its homes. No input or output.
//
// A tenant's quota is divided equally among its homes, one in each of up to kMostQuotaHomes zones. A daemon
// asks the home in its own zone first, so that usually nothing crosses zones, and the others when that one's
// part is used up or it can't be reached: while one of three homes is lost, two thirds of the quota remain.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "core/ids.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::tenancy {

inline constexpr std::size_t kMostQuotaHomes = 3;

/// Chooses homes among the daemons of the configuration in force.
class QuotaHomes {
 public:
  /// `zone`: of the daemon that asks.
  explicit QuotaHomes(core::ZoneName zone) : zone_(std::move(zone)) {}

  /// Follows the live daemons; true when they have changed.
  bool apply(const protocol::Configuration& configuration);

  /// The tenant's homes by weights that depend on nothing but names, so that a daemon that comes or goes
  /// moves few tenants. The one in this daemon's zone stands first, the others in an order that differs
  /// between tenants. Valid until the next change.
  [[nodiscard]] const std::vector<core::DaemonId>& of(const core::TenantName& tenant) const;

 private:
  [[nodiscard]] std::vector<core::DaemonId> choose(const core::TenantName& tenant) const;

  core::ZoneName zone_;
  /// Chosen already: each operation asks, and a choice weighs every daemon of up to three zones.
  mutable std::map<core::TenantName, std::vector<core::DaemonId>> chosen_;
  std::map<core::ZoneName, std::vector<core::DaemonId>> live_;
};

}  // namespace pipitpond::tenancy
