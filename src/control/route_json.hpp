// JSON of route tables and of the notices of databases that register by themselves. See docs/API.md.
#pragma once

#include <string>

#include "configuration/command.hpp"
#include "core/error.hpp"

namespace pipitpond::control {

/// Reads the body of PUT /v1/routes. Fails with kInvalidArgument.
core::Result<configuration::PutRouteTable> parse_put_routes(const std::string& body);

/// Reads a notice: `id_and_notice` is "ID/heartbeat" or "ID/leave". Fails with kInvalidArgument or kNotFound.
core::Result<configuration::Command> parse_database_notice(const std::string& id_and_notice,
                                                           const std::string& body);

}  // namespace pipitpond::control
