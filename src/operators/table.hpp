// Prints answers as tables for people.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace pipitpond::operators {

/// Arrays of objects become tables with a column for each field, other fields become lines "name: value", and
/// nested objects become titled sections.
std::string to_table(const nlohmann::json& value);

}  // namespace pipitpond::operators
