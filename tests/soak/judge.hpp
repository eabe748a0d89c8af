// The oracle of a soak run: compares what callers were told with the databases' logs. Knows nothing of how
// the fleet works.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform_stage/database.hpp"
#include "platform_stage/log.hpp"
#include "platform_stage/service.hpp"
#include "soak/history.hpp"

namespace pipitpond::soak {

/// What the databases hold when all is over.
struct DatabasesEnd {
  platform_stage::Log log;                         ///< Of the last primary; empty when none leads.
  std::vector<platform_stage::Executed> executed;  ///< By all databases.
  std::vector<platform_stage::Order> orders;       ///< To promote, as the platform has seen them.
};

/// What a service's databases hold now, without what test programs asked through platform::Caller.
DatabasesEnd databases_end(platform_stage::Service& service, std::size_t databases);

/// Every broken promise as one line; empty when all were kept.
std::vector<std::string> judge(const std::vector<Operation>& operations, const DatabasesEnd& databases);

}  // namespace pipitpond::soak
