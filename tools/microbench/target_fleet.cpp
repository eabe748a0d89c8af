#include "target_fleet.hpp"

#include <fmt/format.h>

namespace pipitpond::microbench {
namespace {

constexpr std::uint32_t kZones = 11;
constexpr std::uint32_t kRegions = 3;
constexpr std::uint32_t kDatabasesPerGroup = 3;
constexpr std::uint32_t kConnectionLimit = 65;
constexpr std::uint32_t kSlots = 4;
/// Changes of primary that a group has seen: the target's two a day over 500 groups for two years.
constexpr std::uint64_t kTermsPerGroup = 3;

core::ZoneName zone_of(std::uint32_t number) {
  return core::ZoneName(fmt::format("zone-{:02}", number % kZones));
}

core::Endpoint endpoint_of(std::uint32_t number, std::uint16_t port) {
  return {fmt::format("10.{}.{}.{}", number >> 16, (number >> 8) & 0xff, number & 0xff), port};
}

protocol::Group make_group(std::uint32_t first_database) {
  protocol::Group group;
  group.name = core::GroupName(fmt::format("group-{:04}", first_database / kDatabasesPerGroup));
  group.policy = core::PolicyName("default");
  for (std::uint32_t number = first_database; number < first_database + kDatabasesPerGroup; ++number) {
    protocol::Database database;
    database.id = core::DatabaseId(fmt::format("database-{:04}", number));
    database.endpoint = endpoint_of(number, 5432);
    database.zone = zone_of(number);
    database.connection_limit = kConnectionLimit;
    database.slots = kSlots;
    group.databases.push_back(database);
  }
  for (core::Term term = 1; term <= kTermsPerGroup; ++term) {
    group.terms.push_back({term, group.databases.front().id, {term - 1, term * 1000}});
  }
  return group;
}

}  // namespace

protocol::Daemon make_daemon(std::uint32_t number) {
  protocol::Daemon daemon;
  daemon.id = core::DaemonId(fmt::format("daemon-{:04}", number));
  daemon.incarnation = 1;
  daemon.zone = zone_of(number);
  daemon.internal = endpoint_of(number, 7000);
  daemon.callers = endpoint_of(number, 8000);
  return daemon;
}

protocol::Configuration make_configuration(std::uint32_t daemons, std::uint32_t databases) {
  protocol::Configuration configuration;
  configuration.revision = 1;
  for (std::uint32_t zone = 0; zone < kZones; ++zone) {
    const protocol::Zone value{zone_of(zone), core::RegionName(fmt::format("region-{}", zone % kRegions)), 1};
    configuration.zones[value.name] = value;
  }
  for (std::uint32_t number = 0; number < databases; number += kDatabasesPerGroup) {
    protocol::Group group = make_group(number);
    configuration.groups[group.name] = std::move(group);
  }
  for (std::uint32_t number = 0; number < daemons; ++number) {
    protocol::Daemon daemon = make_daemon(number);
    configuration.daemons[daemon.id] = std::move(daemon);
  }
  return configuration;
}

}  // namespace pipitpond::microbench
