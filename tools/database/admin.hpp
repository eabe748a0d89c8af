// Changes of a database's behaviour at run time, and its metrics.
#pragma once

#include <string>

#include "core/clock.hpp"
#include "http/message.hpp"
#include "standin/engine.hpp"

namespace pipitpond::database_program {

/// `POST /v1/admin` with any of "apply_lag_ms", "apply_lag_jitter_ms", "work_ms", "connection_cost_ms",
/// "idle_timeout_ms", "slots" and "connection_limit"; answers all of them. `GET` changes nothing.
http::Response handle_admin(standin::Engine& engine, const http::Request& request);

/// Prometheus text.
std::string metrics_text(const standin::Engine& engine, core::Instant now);

}  // namespace pipitpond::database_program
