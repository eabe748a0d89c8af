// JSON objects as they pass through a daemon: read in one pass into their members, whose nested values stay
// text, and written member by member. Neither builds a tree, so that a large statement or result costs little
// more than a copy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/log_position.hpp"

namespace pipitpond::proxy {

/// What a member's value is.
enum class JsonType : std::uint8_t { kNull, kBoolean, kUnsigned, kOtherNumber, kText, kObject, kArray };

/// One member of an object.
struct JsonMember {
  std::string name;
  JsonType type = JsonType::kNull;
  bool boolean = false;      ///< Of kBoolean.
  std::uint64_t number = 0;  ///< Of kUnsigned.
  std::string text;          ///< Of kText, decoded; of kOtherNumber, as it was written.
  std::string_view json;     ///< Of kObject and kArray: a part of the text that was read.
};

/// The members of one object. Valid as long as the text that was read.
class JsonObject {
 public:
  /// Reads and checks a whole text, nested values included; empty unless it is one object in UTF-8.
  static std::optional<JsonObject> parse(std::string_view text);

  /// The member, or null. Of members of the same name the last one counts.
  [[nodiscard]] const JsonMember* find(std::string_view name) const;
  [[nodiscard]] const std::vector<JsonMember>& members() const { return members_; }

 private:
  std::vector<JsonMember> members_;
};

/// JSON text of one member's value.
std::string to_json_text(const JsonMember& member);

/// Writes one object. Text that is not UTF-8 is replaced, never thrown on.
class JsonWriter {
 public:
  /// `expected_bytes` of the whole object avoids copies while it grows.
  explicit JsonWriter(std::size_t expected_bytes);

  void add_text(std::string_view name, std::string_view text);
  void add_number(std::string_view name, std::uint64_t number);
  void add_boolean(std::string_view name, bool value);
  void add_position(std::string_view name, const core::LogPosition& position);
  /// Adds a value that is JSON text already.
  void add_json(std::string_view name, std::string_view json);

  /// The object's text; the writer is empty afterwards.
  std::string finish();

 private:
  /// Names are constants of this program, which need no escaping.
  void add_name(std::string_view name);

  std::string text_;
};

}  // namespace pipitpond::proxy
