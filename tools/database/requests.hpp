// Turns HTTP requests into requests of the engine.
#pragma once

#include "core/error.hpp"
#include "http/message.hpp"
#include "standin/types.hpp"

namespace pipitpond::database_program {

/// The engine's request. Fails with kNotFound for an unknown path, kInvalidArgument for a bad body.
core::Result<standin::Request> to_engine_request(const http::Request& request);

/// The HTTP response for an error found before the engine: nothing ran.
http::Response to_response(const core::Error& error);

}  // namespace pipitpond::database_program
