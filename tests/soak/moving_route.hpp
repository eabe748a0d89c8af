// A route that leads somewhere else with almost each version of the configuration, so that where a statement
// runs tells something of the version that its proxy obeys.
#pragma once

#include <cstdint>
#include <string>

namespace pipitpond::soak {

using Version = std::uint64_t;

/// The database name of the route.
inline const std::string kMovingRoute = "moves";
/// The service beside the fleet's own one.
inline const std::string kSecondServiceName = "prints";

/// Where the route leads.
enum class RoutePlace : std::uint8_t { kNowhere, kFirstService, kSecondService };

const char* to_string(RoutePlace place);

/// Adds the second service to a change, and the moving route where the change's version draws a place for it.
std::string with_moving_route(const std::string& body, Version version);

/// Where a change lets the route lead.
RoutePlace place_of_moving_route(const std::string& body);

}  // namespace pipitpond::soak
