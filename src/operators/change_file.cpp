#include "operators/change_file.hpp"

#include <toml++/toml.h>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <random>
#include <set>
#include <sstream>
#include <utility>

#include "core/clock.hpp"

namespace pipitpond::operators {
namespace {

constexpr std::array<const char*, 3> kKinds = {"zones", "policies", "groups"};

core::Error invalid(const std::string& path, const std::string& what, const std::string& remedy) {
  return {core::ErrorKind::kInvalidArgument, path + ": " + what, remedy, 0};
}

core::Result<nlohmann::json> parse_toml(const std::string& path, const std::string& text) {
  try {
    const toml::table table = toml::parse(text, path);
    std::ostringstream json;
    json << toml::json_formatter(table);
    return nlohmann::json::parse(json.str());
  } catch (const toml::parse_error& error) {
    std::ostringstream what;
    what << "line " << error.source().begin.line << ": " << error.description();
    return invalid(path, what.str(), "Correct the TOML at this line.");
  }
}

core::Result<nlohmann::json> parse_json(const std::string& path, const std::string& text) {
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::exception& error) {
    return invalid(path, error.what(), "Correct the JSON at this place.");
  }
}

core::Result<nlohmann::json> parse_file(const std::string& path) {
  auto text = read_text_file(path);
  if (!text) {
    return text.error();
  }
  const std::string ending = std::filesystem::path(path).extension();
  if (ending == ".toml") {
    return parse_toml(path, text.value());
  }
  if (ending == ".json") {
    return parse_json(path, text.value());
  }
  return invalid(path, "the ending is neither .toml nor .json", "Rename the file by its format.");
}

core::Result<nlohmann::json> with_source(const std::string& path, nlohmann::json spec) {
  if (!spec.contains("source_file")) {
    return spec;
  }
  const auto beside = std::filesystem::path(path).parent_path();
  const auto source_path = beside / spec.at("source_file").get<std::string>();
  auto source = read_text_file(source_path.string());
  if (!source) {
    return source.error();
  }
  spec.erase("source_file");
  spec["source"] = source.value();
  return spec;
}

core::Result<Change> read_change(const std::string& path, const std::string& kind, const std::string& name,
                                 nlohmann::json value) {
  const std::string where = kind + "." + name;
  if (!value.is_object()) {
    return invalid(path, where + " is not a table", "Write its fields below [" + where + "].");
  }
  if (!value.contains("revision") || !value.at("revision").is_number_unsigned()) {
    return invalid(path, where + ".revision is missing or not a whole number",
                   "Set revision = 0 to create it, or the one that `pipitctl get " + kind + " " + name +
                       "` shows to revise it.");
  }
  const bool source_file_is_text = !value.contains("source_file") || value.at("source_file").is_string();
  if (!source_file_is_text) {
    return invalid(path, where + ".source_file is not a text", "Name a Lua file beside this one.");
  }
  Change change;
  change.kind = kind;
  change.name = name;
  change.revision = value.at("revision").get<std::uint64_t>();
  value.erase("revision");
  auto spec = with_source(path, std::move(value));
  if (!spec) {
    return spec.error();
  }
  change.spec = std::move(spec.value());
  return change;
}

core::Result<std::string> check_top_level(const std::string& path, const nlohmann::json& file) {
  if (!file.is_object()) {
    return invalid(path, "the file holds no table", "Write [groups.NAME], [zones.NAME] or [policies.NAME].");
  }
  for (const auto& item : file.items()) {
    const std::set<std::string> known = {"key", "zones", "policies", "groups"};
    if (!known.contains(item.key())) {
      return invalid(path, "unknown key '" + item.key() + "'", "Use groups, zones, policies and key only.");
    }
    const bool right_type = item.key() == "key" ? item.value().is_string() : item.value().is_object();
    if (!right_type) {
      return invalid(path, "'" + item.key() + "' has the wrong type", "Make key a text, all others tables.");
    }
  }
  return file.value("key", "");
}

}  // namespace

core::Result<std::string> read_text_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return core::Error{core::ErrorKind::kNotFound, path + ": can't be read",
                       "Check the path and its permissions.", 0};
  }
  return text.str();
}

core::Result<ChangeFile> read_change_file(const std::string& path) {
  const auto parsed = parse_file(path);
  if (!parsed) {
    return parsed.error();
  }
  auto key = check_top_level(path, parsed.value());
  if (!key) {
    return key.error();
  }
  ChangeFile file;
  file.key = key.value();
  for (const char* kind : kKinds) {
    const nlohmann::json things = parsed.value().value(kind, nlohmann::json::object());
    for (const auto& item : things.items()) {
      auto change = read_change(path, kind, item.key(), item.value());
      if (!change) {
        return change.error();
      }
      file.changes.push_back(std::move(change.value()));
    }
  }
  if (file.changes.empty()) {
    return invalid(path, "the file holds no change", "Write [groups.NAME], [zones.NAME] or [policies.NAME].");
  }
  return file;
}

void assign_keys(ChangeFile& file, const std::string& key) {
  for (Change& change : file.changes) {
    change.key = key + "-" + change.kind + "-" + change.name;
  }
}

std::string generate_key() {
  std::random_device random;
  std::ostringstream key;
  key << core::unix_millis_now() << "-pipitctl-" << std::hex << std::setfill('0') << std::setw(8) << random()
      << std::setw(8) << random();
  return key.str();
}

}  // namespace pipitpond::operators
