// Tells where a request would go now, and by which rules, without running it.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "core/error.hpp"
#include "proxy/caller_requests.hpp"
#include "proxy/flow_parts.hpp"

namespace pipitpond::proxy {

/// Answer to POST /v1/explain: the group's term and primary, the policy with its rules for this request, and
/// the databases in the order of trying, those that would not be tried last. Fails with kNotFound for an
/// unknown group, kForgedToken, or kPositionLost.
core::Result<nlohmann::json> explain_described(FlowParts& parts, const StatementRequest& request);

}  // namespace pipitpond::proxy
