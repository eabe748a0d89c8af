// HTTP calls that block, for a runner and tests without an event loop of their own.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "experiment/json_call.hpp"
#include "operators/control_client.hpp"

namespace pipitpond::fleet {

/// One call on a connection of its own. A null body sends none. Fails like http::Client.
core::Result<experiment::JsonReply> call(const core::Endpoint& endpoint, const std::string& method,
                                         const std::string& path, const nlohmann::json& body,
                                         core::Duration timeout);

/// An operator's call of any of control's replicas; resends until an answer is definite.
core::Result<operators::Reply> call_control(const std::vector<core::Endpoint>& control,
                                            const operators::Call& call, operators::ClientOptions options);

}  // namespace pipitpond::fleet
