// What the small JSON interfaces of the tools share: errors, health, one metric, and values of bodies.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "http/message.hpp"
#include "http/server.hpp"

namespace pipitpond::http {

/// Answers at once.
using Answer = std::function<Response(const Request&)>;

/// Starts a server whose calls are answered at once. Fails with kUnavailable when it can't listen.
core::Result<std::unique_ptr<Server>> start_admin_server(boost::asio::io_context& io,
                                                         const std::string& address, std::uint16_t port,
                                                         Answer answer);

/// {"error":{"kind","message","remedy"}}; status 404 for kNotFound, else 400.
Response error_response(const core::Error& error);

/// Answer to GET /healthz and GET /readyz of a process that is ready as soon as it listens; empty for other
/// calls.
std::optional<Response> answer_health(const Request& request);

/// Answer to GET /metrics with one gauge.
Response gauge_response(const std::string& name, std::uint64_t value);

/// Milliseconds from 0 to an hour in a field of a body, `absent` when it is not there. Throws
/// nlohmann::json::exception when it is no such number.
core::Duration duration_field(const nlohmann::json& body, const char* field,
                              core::Duration absent = core::Duration(0));

}  // namespace pipitpond::http
