// Changes of the configuration that must be refused, made of a valid one.
#pragma once

#include <string>
#include <vector>

namespace pipitpond::soak {

/// One invalid body.
struct InvalidChange {
  std::string shape;  ///< What is wrong with it.
  std::string body;
};

/// Every shape there is of a valid body, which names the service "plates" and has routes and limits.
std::vector<InvalidChange> invalid_changes(const std::string& valid);

}  // namespace pipitpond::soak
