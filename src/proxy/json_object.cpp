#include "proxy/json_object.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace pipitpond::proxy {
namespace {

using nlohmann::json;

/// Requests and answers have no more members than this, as a rule.
constexpr std::size_t kUsualMembers = 8;

/// Walks over a text and tells how far the parser has come.
struct TrackingIterator {
  using iterator_category = std::input_iterator_tag;  // NOLINT(readability-identifier-naming)
  using value_type = char;                            // NOLINT(readability-identifier-naming)
  using difference_type = std::ptrdiff_t;             // NOLINT(readability-identifier-naming)
  using pointer = const char*;                        // NOLINT(readability-identifier-naming)
  using reference = const char&;                      // NOLINT(readability-identifier-naming)

  const char* at = nullptr;
  const char** reached = nullptr;

  reference operator*() const { return *at; }
  TrackingIterator& operator++() {
    *reached = ++at;
    return *this;
  }
  bool operator==(const TrackingIterator& other) const { return at == other.at; }
  bool operator!=(const TrackingIterator& other) const { return at != other.at; }
};

/// Collects the members of the outermost object; what is nested deeper is only checked by the parser.
class MemberCollector : public nlohmann::json_sax<json> {
 public:
  MemberCollector(std::vector<JsonMember>& members, const char*& reached)
      : members_(members), reached_(reached) {}

  [[nodiscard]] bool is_object() const { return is_object_; }

  bool null() override {
    add(JsonType::kNull);
    return depth_ > 0;
  }

  bool boolean(bool value) override {
    if (JsonMember* member = add(JsonType::kBoolean)) {
      member->boolean = value;
    }
    return depth_ > 0;
  }

  bool number_integer(number_integer_t value) override { return other_number(std::to_string(value)); }

  bool number_unsigned(number_unsigned_t value) override {
    if (JsonMember* member = add(JsonType::kUnsigned)) {
      member->number = value;
    }
    return depth_ > 0;
  }

  bool number_float(number_float_t /*value*/, const string_t& text) override { return other_number(text); }

  bool string(string_t& value) override {
    if (JsonMember* member = add(JsonType::kText)) {
      member->text = std::move(value);
    }
    return depth_ > 0;
  }

  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*size*/) override {
    is_object_ = is_object_ || depth_ == 0;
    return start(JsonType::kObject);
  }

  bool key(string_t& name) override {
    if (depth_ == 1) {
      name_ = std::move(name);
    }
    return true;
  }

  bool end_object() override { return end(); }
  bool start_array(std::size_t /*size*/) override { return depth_ > 0 && start(JsonType::kArray); }
  bool end_array() override { return end(); }
  bool parse_error(std::size_t /*at*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  /// The new member, or null when the value is nested deeper.
  JsonMember* add(JsonType type) {
    if (depth_ != 1) {
      return nullptr;
    }
    JsonMember& member = members_.emplace_back();
    member.name = std::move(name_);
    member.type = type;
    return &member;
  }

  bool other_number(std::string text) {
    if (JsonMember* member = add(JsonType::kOtherNumber)) {
      member->text = std::move(text);
    }
    return depth_ > 0;
  }

  bool start(JsonType type) {
    if (add(type) != nullptr) {
      value_begin_ = reached_ - 1;  // The bracket was read.
    }
    ++depth_;
    return true;
  }

  bool end() {
    --depth_;
    if (depth_ == 1) {
      members_.back().json =
          std::string_view(value_begin_, static_cast<std::size_t>(reached_ - value_begin_));
    }
    return true;
  }

  std::vector<JsonMember>& members_;
  const char*& reached_;
  const char* value_begin_ = nullptr;
  std::string name_;
  std::size_t depth_ = 0;
  bool is_object_ = false;
};

bool needs_no_escape(char character) {
  return character >= ' ' && character <= '~' && character != '"' && character != '\\';
}

void append_quoted(std::string& text, std::string_view value) {
  if (std::all_of(value.begin(), value.end(), needs_no_escape)) {
    text += '"';
    text += value;
    text += '"';
    return;
  }
  text += json(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::optional<JsonObject> JsonObject::parse(std::string_view text) {
  JsonObject object;
  object.members_.reserve(kUsualMembers);
  const char* reached = text.data();
  MemberCollector collector(object.members_, reached);
  const TrackingIterator begin{text.data(), &reached};
  const TrackingIterator end{text.data() + text.size(), &reached};
  if (!json::sax_parse(begin, end, &collector) || !collector.is_object()) {
    return std::nullopt;
  }
  return object;
}

const JsonMember* JsonObject::find(std::string_view name) const {
  const auto found = std::find_if(members_.rbegin(), members_.rend(),
                                  [name](const JsonMember& member) { return member.name == name; });
  return found == members_.rend() ? nullptr : &*found;
}

std::string to_json_text(const JsonMember& member) {
  switch (member.type) {
    case JsonType::kNull:
      return "null";
    case JsonType::kBoolean:
      return member.boolean ? "true" : "false";
    case JsonType::kUnsigned:
      return std::to_string(member.number);
    case JsonType::kOtherNumber:
      return member.text;
    case JsonType::kText: {
      std::string quoted;
      append_quoted(quoted, member.text);
      return quoted;
    }
    case JsonType::kObject:
    case JsonType::kArray:
      break;
  }
  return std::string(member.json);
}

JsonWriter::JsonWriter(std::size_t expected_bytes) {
  text_.reserve(expected_bytes);
}

void JsonWriter::add_name(std::string_view name) {
  text_ += text_.empty() ? "{\"" : ",\"";
  text_ += name;
  text_ += "\":";
}

void JsonWriter::add_text(std::string_view name, std::string_view text) {
  add_name(name);
  append_quoted(text_, text);
}

void JsonWriter::add_number(std::string_view name, std::uint64_t number) {
  add_name(name);
  text_ += std::to_string(number);
}

void JsonWriter::add_boolean(std::string_view name, bool value) {
  add_name(name);
  text_ += value ? "true" : "false";
}

void JsonWriter::add_position(std::string_view name, const core::LogPosition& position) {
  add_name(name);
  text_ += "{\"index\":";
  text_ += std::to_string(position.index);
  text_ += ",\"term\":";
  text_ += std::to_string(position.term);
  text_ += '}';
}

void JsonWriter::add_json(std::string_view name, std::string_view json) {
  add_name(name);
  text_ += json;
}

std::string JsonWriter::finish() {
  text_ += text_.empty() ? "{}" : "}";
  return std::exchange(text_, {});
}

}  // namespace pipitpond::proxy
