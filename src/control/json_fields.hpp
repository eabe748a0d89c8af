// Reads the fields of JSON objects in request bodies. A missing or unknown field, a wrong type and a value
// out of range are errors that name the field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "control/strict_json.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"

namespace pipitpond::control {

/// Thrown by JsonFields. parse_fields converts it to a core::Error.
struct BadField {
  std::string message;
};

/// The fields of one object. Read all known fields, then call `reject_unknown_fields`.
class JsonFields {
 public:
  /// `where` is the path of the object in error messages, such as "spec.databases[0]".
  JsonFields(const nlohmann::json& json, std::string where);

  std::string text(const std::string& field);
  std::string text_or(const std::string& field, std::string fallback);
  bool boolean_or(const std::string& field, bool fallback);
  std::uint64_t number(const std::string& field, std::uint64_t max);
  core::Endpoint endpoint(const std::string& field);
  const nlohmann::json& object(const std::string& field);
  const nlohmann::json& array(const std::string& field);
  [[nodiscard]] bool has(const std::string& field) const { return json_.contains(field); }
  /// Throws if the object has a field that was not read: it is probably misspelt.
  void reject_unknown_fields() const;

 private:
  const nlohmann::json& required(const std::string& field);
  [[noreturn]] void throw_bad_field(const std::string& field, const std::string& expected) const;

  const nlohmann::json& json_;
  std::string where_;
  std::set<std::string> read_fields_;
};

/// Parses a body as JSON and passes it to `read`, which may throw BadField. Fails with kInvalidArgument.
template <typename Read>
auto parse_fields(const std::string& body, Read read) -> core::Result<decltype(read(nlohmann::json{}))> {
  const auto json = read_strict_json(body);
  if (!json) {
    return json.error();
  }
  try {
    return read(json.value());
  } catch (const BadField& bad) {
    return core::fail(core::ErrorKind::kInvalidArgument, bad.message,
                      "Correct the field as docs/API.md describes.");
  }
}

}  // namespace pipitpond::control
