#include "fleet/plan.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::fleet {
namespace {

constexpr core::Duration kZoneDelay = std::chrono::microseconds(1500);

/// Ingest pipelines read their own records where these are; queries never load the primary.
constexpr const char* kCataloguePolicy = R"lua(local function is_ingest(request)
  return string.starts_with(request.tenant, "ingest-")
end

function read(request)
  if is_ingest(request) then
    return {target = "nearest", wait_ms = 20}
  end
  return {target = "replica", max_staleness_ms = 60000, wait_ms = 100, fallback = "primary"}
end

function retry(request)
  if request.kind == "read" then
    return {attempts = 4}
  end
  return {attempts = 5, repeatable_writes = request.repeatable}
end
)lua";

/// The public board may be a little old; rangers confirm at the primary.
constexpr const char* kBoardPolicy = R"lua(function read(request)
  if request.tenant == "rangers" then
    return {target = "primary"}
  end
  return {target = "replica", max_staleness_ms = 5000, wait_ms = 100, fallback = "primary"}
end

function retry(request)
  if request.kind == "read" then
    return {attempts = 4}
  end
  return {attempts = 3, repeatable_writes = request.repeatable}
end
)lua";

std::vector<core::GroupName> first_groups(std::vector<core::GroupName> groups, std::uint32_t count) {
  groups.resize(std::clamp<std::size_t>(count, 1, groups.size()));
  return groups;
}

}  // namespace

DeploymentPlan archive_plan(std::uint32_t groups) {
  DeploymentPlan archive;
  archive.name = "archive";
  archive.region = core::RegionName("kingston");
  archive.zones = {core::ZoneName("hall-1"), core::ZoneName("hall-2"), core::ZoneName("hall-3")};
  archive.groups = first_groups(
      {core::GroupName("plates"), core::GroupName("surveys"), core::GroupName("calibrations")}, groups);
  archive.slots = 5;
  archive.connection_limit = 35;
  archive.connection_cost = std::chrono::milliseconds(10);
  archive.zone_delay = kZoneDelay;
  archive.client_delay = std::chrono::milliseconds(1);
  archive.policy = {core::PolicyName("catalogue"), kCataloguePolicy};
  return archive;
}

DeploymentPlan kigali_plan(std::uint32_t groups) {
  DeploymentPlan kigali;
  kigali.name = "kigali";
  kigali.region = core::RegionName("kigali");
  kigali.zones = {core::ZoneName("nyarugenge"), core::ZoneName("gasabo"), core::ZoneName("kicukiro"),
                  core::ZoneName("nyandungu")};
  kigali.groups = first_groups(
      {core::GroupName("tallies"), core::GroupName("sightings"), core::GroupName("wetlands")}, groups);
  kigali.slots = 4;
  kigali.connection_limit = 65;
  kigali.connection_cost = std::chrono::milliseconds(30);
  kigali.zone_delay = kZoneDelay;
  kigali.client_delay = std::chrono::milliseconds(3);
  kigali.policy = {core::PolicyName("board"), kBoardPolicy};
  return kigali;
}

DeploymentPlan small_plan() {
  DeploymentPlan small;
  small.name = "small";
  small.region = core::RegionName("region-1");
  small.zones = {core::ZoneName("zone-1"), core::ZoneName("zone-2"), core::ZoneName("zone-3")};
  small.groups = {core::GroupName("orders")};
  return small;
}

}  // namespace pipitpond::fleet
