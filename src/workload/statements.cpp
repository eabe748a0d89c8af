#include "workload/statements.hpp"

namespace pipitpond::workload {

nlohmann::json put_record(const std::string& table, const std::string& id, std::int64_t version) {
  const nlohmann::json value = {{"id", id}, {"version", version}};
  return {{"op", "put"}, {"table", table}, {"id", id}, {"value", value}};
}

nlohmann::json add_to_counter(const std::string& table, const std::string& id, std::int64_t amount) {
  return {{"op", "add"}, {"table", table}, {"id", id}, {"amount", amount}};
}

nlohmann::json get_value(const std::string& table, const std::string& id) {
  return {{"op", "get"}, {"table", table}, {"id", id}};
}

nlohmann::json list_values(const std::string& table, std::size_t limit) {
  return {{"op", "list"}, {"table", table}, {"limit", limit}};
}

nlohmann::json get_blob(std::size_t bytes, const std::string& seed) {
  return {{"op", "blob"}, {"bytes", bytes}, {"seed", seed}};
}

bool is_whole_blob(const nlohmann::json& result, std::size_t bytes, const std::string& seed) {
  if (!result.is_string()) {
    return false;
  }
  const auto& text = result.get_ref<const std::string&>();
  if (text.size() != bytes) {
    return false;
  }
  const std::string pattern = seed + ":";
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != pattern[index % pattern.size()]) {
      return false;
    }
  }
  return true;
}

std::optional<std::int64_t> number_of(const nlohmann::json& value, const std::string& id) {
  if (value.is_null()) {
    return 0;
  }
  if (value.is_number_integer()) {
    return value.get<std::int64_t>();
  }
  if (!value.is_object() || value.value("id", "") != id) {
    return std::nullopt;
  }
  return value.value("version", std::int64_t{0});
}

}  // namespace pipitpond::workload
