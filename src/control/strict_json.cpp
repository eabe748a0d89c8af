#include "control/strict_json.hpp"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pipitpond::control {
namespace {

using nlohmann::json;

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
/// Of a field's name in an error: it may be as long as the body.
constexpr std::size_t kMaxNamedBytes = 64;

core::Error unreadable(std::string message) {
  return core::Error{core::ErrorKind::kInvalidArgument, std::move(message),
                     "Send a JSON object as docs/API.md describes.", 0};
}

/// Follows the parser through a text and notes what makes it one that readers differ on.
class Inspector {
 public:
  /// False: the value is not to be kept.
  bool on_event(int depth, json::parse_event_t event, const json& parsed) {
    too_deep_ = too_deep_ || depth > kMaxJsonDepth;
    if (too_deep_) {
      return false;
    }
    if (event == json::parse_event_t::object_start) {
      fields_of_open_objects_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      fields_of_open_objects_.pop_back();
    } else if (event == json::parse_event_t::key) {
      on_field(parsed.get_ref<const std::string&>());
    }
    return true;
  }
  [[nodiscard]] bool too_deep() const { return too_deep_; }
  /// A field that an object has twice.
  [[nodiscard]] const std::optional<std::string>& repeated() const { return repeated_; }

 private:
  void on_field(const std::string& name) {
    const bool is_new = fields_of_open_objects_.back().insert(name).second;
    if (!is_new && !repeated_) {
      repeated_ = name.substr(0, kMaxNamedBytes);
    }
  }

  std::vector<std::set<std::string>> fields_of_open_objects_;
  std::optional<std::string> repeated_;
  bool too_deep_ = false;
};

}  // namespace

core::Result<json> read_strict_json(std::string_view text) {
  if (text.starts_with(kByteOrderMark)) {
    return unreadable("The text begins with a byte order mark.");
  }
  if (text.find('\0') != std::string_view::npos) {
    return unreadable("The text holds a NUL byte.");
  }
  Inspector inspector;
  const auto inspect = [&inspector](int depth, json::parse_event_t event, const json& parsed) {
    return inspector.on_event(depth, event, parsed);
  };
  json value = json::parse(text, inspect, false);
  if (inspector.too_deep()) {
    return unreadable("The text nests deeper than " + std::to_string(kMaxJsonDepth) + " levels.");
  }
  if (value.is_discarded()) {
    return unreadable("The text is not valid JSON.");
  }
  if (inspector.repeated()) {
    return unreadable("An object has the field \"" + *inspector.repeated() + "\" twice.");
  }
  return value;
}

}  // namespace pipitpond::control
