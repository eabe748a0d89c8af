// Steps that the plans of self-registered groups share.
#pragma once

#include <cstdint>
#include <optional>

#include "configuration/plan.hpp"

namespace pipitpond::configuration {

/// Sets what proxies may use of a database that takes `group_limit` connections from all callers together.
void set_connection_limit(protocol::Database& database, std::uint32_t group_limit);

/// The refusal if operators declare the group's databases: it takes no databases or limits from elsewhere.
std::optional<Plan> declared_by_operators(const protocol::Configuration& configuration,
                                          const core::GroupName& name);

}  // namespace pipitpond::configuration
