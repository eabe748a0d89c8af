#include "tenancy/quota_homes.hpp"

#include <algorithm>
#include <utility>

#include "ownership/owner_choice.hpp"

namespace pipitpond::tenancy {
namespace {

core::DaemonId heaviest(const std::vector<core::DaemonId>& daemons, const core::TenantName& tenant) {
  return *std::max_element(daemons.begin(), daemons.end(), [&](const auto& left, const auto& right) {
    return std::make_pair(ownership::weight_of(tenant, left), left) <
           std::make_pair(ownership::weight_of(tenant, right), right);
  });
}

}  // namespace

bool QuotaHomes::apply(const protocol::Configuration& configuration) {
  std::map<core::ZoneName, std::vector<core::DaemonId>> live;
  for (const auto& [id, daemon] : configuration.daemons) {
    if (daemon.state == protocol::DaemonState::kLive) {
      live[daemon.zone].push_back(id);
    }
  }
  if (live == live_) {
    return false;
  }
  live_ = std::move(live);
  chosen_.clear();
  return true;
}

const std::vector<core::DaemonId>& QuotaHomes::of(const core::TenantName& tenant) const {
  const auto known = chosen_.find(tenant);
  return known != chosen_.end() ? known->second : chosen_.emplace(tenant, choose(tenant)).first->second;
}

std::vector<core::DaemonId> QuotaHomes::choose(const core::TenantName& tenant) const {
  std::vector<core::ZoneName> zones;
  zones.reserve(live_.size());
  for (const auto& [name, daemons] : live_) {
    zones.push_back(name);
  }
  std::sort(zones.begin(), zones.end(), [&](const core::ZoneName& left, const core::ZoneName& right) {
    return std::make_pair(ownership::weight_of(tenant, left), left) >
           std::make_pair(ownership::weight_of(tenant, right), right);
  });
  if (zones.size() > kMostQuotaHomes) {
    zones.resize(kMostQuotaHomes);
  }
  const auto own = std::find(zones.begin(), zones.end(), zone_);
  if (own != zones.end()) {
    std::rotate(zones.begin(), own, own + 1);
  }
  std::vector<core::DaemonId> homes;
  homes.reserve(zones.size());
  for (const core::ZoneName& one : zones) {
    homes.push_back(heaviest(live_.at(one), tenant));
  }
  return homes;
}

}  // namespace pipitpond::tenancy
