// Status of the whole fleet as the leader knows it.
#pragma once

#include <nlohmann/json.hpp>

#include "control/leader_duties.hpp"
#include "control/replica.hpp"
#include "core/clock.hpp"

namespace pipitpond::control {

/// Renders the body of GET /v1/status.
nlohmann::json status_json(const Replica& replica, const LeaderDuties& duties, core::Instant now);

}  // namespace pipitpond::control
