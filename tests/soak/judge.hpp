// The oracle of a soak run: compares what callers were told with the databases' logs. Knows nothing of how
// the fleet works.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform_stage/database.hpp"
#include "platform_stage/log.hpp"
#include "soak/history.hpp"

namespace pipitpond::soak {

/// What the databases hold when all is over.
struct DatabasesEnd {
  platform_stage::Log log;                         ///< Of the last primary.
  std::vector<platform_stage::Executed> executed;  ///< By all databases.
};

/// Every broken promise as one line; empty when all were kept.
std::vector<std::string> judge(const std::vector<Operation>& operations, const DatabasesEnd& databases);

}  // namespace pipitpond::soak
