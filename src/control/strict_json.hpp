// Reads JSON that is stored and handed out as it came. What is judged here and what other readers make of the
// same bytes must be one thing, so whatever readers differ on is refused.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "core/error.hpp"

namespace pipitpond::control {

/// Objects and arrays within one another. The messages of control have five; code that recurses over what was
/// read, as copies and destructors do, bears many more.
inline constexpr int kMaxJsonDepth = 64;

/// Reads one JSON text in full. Fails with kInvalidArgument on what is no JSON in UTF-8, on anything behind
/// the value, a byte order mark, a NUL byte (where the parser would take the text to end), a field that an
/// object has twice, and nesting beyond kMaxJsonDepth.
core::Result<nlohmann::json> read_strict_json(std::string_view text);

}  // namespace pipitpond::control
