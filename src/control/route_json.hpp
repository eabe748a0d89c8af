// JSON of route tables and of the notices of databases that register themselves, see docs/API.md.
#pragma once

#include <string>

#include "configuration/command.hpp"
#include "core/error.hpp"

namespace pipitpond::control {

/// Parses the body of PUT /v1/routes. Fails with kInvalidArgument.
core::Result<configuration::PutRouteTable> parse_put_routes(const std::string& body);

/// Parses a notice of a database. `id_and_notice` is "ID/heartbeat" or "ID/leave". Fails with
/// kInvalidArgument or kNotFound.
core::Result<configuration::Command> parse_database_notice(const std::string& id_and_notice,
                                                           const std::string& body);

}  // namespace pipitpond::control
