// The runner's own interface; see README.md.
#pragma once

#include "fleet/fleet.hpp"
#include "http/message.hpp"

namespace pipitpond::fleet_program {

/// Answers one call: GET /v1/fleet, POST /v1/processes/NAME, GET /healthz and /readyz.
http::Response answer(fleet::Fleet& fleet, const http::Request& request);

}  // namespace pipitpond::fleet_program
