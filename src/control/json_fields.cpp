#include "control/json_fields.hpp"

#include <utility>

namespace pipitpond::control {

JsonFields::JsonFields(const nlohmann::json& json, std::string where)
    : json_(json), where_(std::move(where)) {
  if (!json_.is_object()) {
    throw BadField{where_ + " must be an object."};
  }
}

std::string JsonFields::text(const std::string& field) {
  const nlohmann::json& value = required(field);
  if (!value.is_string()) {
    throw_bad_field(field, "text");
  }
  return value.get<std::string>();
}

std::string JsonFields::text_or(const std::string& field, std::string fallback) {
  read_fields_.insert(field);
  return has(field) ? text(field) : std::move(fallback);
}

bool JsonFields::boolean_or(const std::string& field, bool fallback) {
  read_fields_.insert(field);
  if (!has(field)) {
    return fallback;
  }
  const nlohmann::json& value = json_.at(field);
  if (!value.is_boolean()) {
    throw_bad_field(field, "true or false");
  }
  return value.get<bool>();
}

std::uint64_t JsonFields::number(const std::string& field, std::uint64_t max) {
  const nlohmann::json& value = required(field);
  const bool good = value.is_number_unsigned() && value.get<std::uint64_t>() <= max;
  if (!good) {
    throw_bad_field(field, "a whole number from 0 to " + std::to_string(max));
  }
  return value.get<std::uint64_t>();
}

core::Endpoint JsonFields::endpoint(const std::string& field) {
  const auto parsed = core::parse_endpoint(text(field));
  if (!parsed) {
    throw_bad_field(field, "an endpoint such as 127.0.0.1:7001");
  }
  return *parsed;
}

const nlohmann::json& JsonFields::object(const std::string& field) {
  const nlohmann::json& value = required(field);
  if (!value.is_object()) {
    throw_bad_field(field, "an object");
  }
  return value;
}

const nlohmann::json& JsonFields::array(const std::string& field) {
  const nlohmann::json& value = required(field);
  if (!value.is_array()) {
    throw_bad_field(field, "an array");
  }
  return value;
}

void JsonFields::reject_unknown_fields() const {
  for (const auto& [field, value] : json_.items()) {
    if (!read_fields_.contains(field)) {
      throw BadField{where_ + " has the unknown field " + field + "."};
    }
  }
}

const nlohmann::json& JsonFields::required(const std::string& field) {
  read_fields_.insert(field);
  const auto found = json_.find(field);
  if (found == json_.end()) {
    throw BadField{where_ + " has no field " + field + ", which is required."};
  }
  return *found;
}

void JsonFields::throw_bad_field(const std::string& field, const std::string& expected) const {
  throw BadField{where_ + "." + field + " must be " + expected + "."};
}

}  // namespace pipitpond::control
