// The stand-in database's statements as the workloads use them, and the checks of their results.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace pipitpond::workload {

/// Puts version `version` of a record. The value repeats the id, so that another record's answer is noticed.
nlohmann::json put_record(const std::string& table, const std::string& id, std::int64_t version);
/// Adds to a counter; must not run twice.
nlohmann::json add_to_counter(const std::string& table, const std::string& id, std::int64_t amount);
/// Reads one record or counter.
nlohmann::json get_value(const std::string& table, const std::string& id);
/// Reads up to `limit` values of a table.
nlohmann::json list_values(const std::string& table, std::size_t limit);
/// Reads a large generated text that repeats the seed.
nlohmann::json get_blob(std::size_t bytes, const std::string& seed);

/// True when the text is the whole answer to get_blob(bytes, seed).
bool is_whole_blob(const nlohmann::json& result, std::size_t bytes, const std::string& seed);

/// Number of a record or counter that was read: 0 when absent, the version of a record, the sum of a counter.
/// Empty when the value can't belong to this id.
std::optional<std::int64_t> number_of(const nlohmann::json& value, const std::string& id);

}  // namespace pipitpond::workload
