#include "soak/moving_route.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace pipitpond::soak {
namespace {

using nlohmann::json;

/// Spreads versions that follow one another over the places.
RoutePlace draw_place(Version version) {
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15;
  constexpr unsigned kHighBits = 32;
  constexpr std::array<RoutePlace, 3> kPlaces = {RoutePlace::kNowhere, RoutePlace::kFirstService,
                                                 RoutePlace::kSecondService};
  return kPlaces.at(((version * kMultiplier) >> kHighBits) % kPlaces.size());
}

}  // namespace

const char* to_string(RoutePlace place) {
  switch (place) {
    case RoutePlace::kNowhere:
      return "nowhere";
    case RoutePlace::kFirstService:
      return "the first service";
    case RoutePlace::kSecondService:
      return "the second service";
  }
  return "";
}

std::string with_moving_route(const std::string& body, Version version) {
  json whole = json::parse(body);
  json second = whole.at("Services").at(0);
  second["Name"] = kSecondServiceName;
  whole["Services"].push_back(second);
  const RoutePlace place = draw_place(version);
  if (place != RoutePlace::kNowhere) {
    json route = whole.at("Routes").at(0);
    route["Name"] = "r-" + kMovingRoute;
    route["Host"] = kMovingRoute;
    if (place == RoutePlace::kSecondService) {
      route["Service"] = kSecondServiceName;
    }
    whole["Routes"].push_back(route);
  }
  return whole.dump();
}

RoutePlace place_of_moving_route(const std::string& body) {
  const json whole = json::parse(body);
  for (const json& route : whole.value("Routes", json::array())) {
    if (route.at("Host") == kMovingRoute) {
      return route.at("Service") == kSecondServiceName ? RoutePlace::kSecondService
                                                       : RoutePlace::kFirstService;
    }
  }
  return RoutePlace::kNowhere;
}

}  // namespace pipitpond::soak
