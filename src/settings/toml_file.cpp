#include <toml++/toml.h>
#include <sstream>
#include <string_view>
#include <utility>

#include "settings/value.hpp"

namespace pipitpond::settings {
namespace {

class Reader {
 public:
  explicit Reader(std::string path) : path_(std::move(path)) {}

  Document read(const toml::table& table) const {
    Document document;
    document.where = where(table);
    add_table(table, "", document);
    return document;
  }

  [[nodiscard]] std::string where(const toml::source_region& region) const {
    return path_ + ":" + std::to_string(region.begin.line);
  }

 private:
  [[nodiscard]] std::string where(const toml::node& node) const { return where(node.source()); }

  void add_table(const toml::table& table, const std::string& prefix, Document& document) const {
    for (const auto& [name, node] : table) {
      const std::string key = prefix + std::string(name.str());
      if (const auto* nested = node.as_table()) {
        add_table(*nested, key + ".", document);
      } else if (const auto* array = node.as_array(); array != nullptr && array->is_array_of_tables()) {
        document.lists.push_back(read_list(key, *array));
      } else {
        document.entries.push_back({key, read_value(node)});
      }
    }
  }

  [[nodiscard]] TableList read_list(const std::string& key, const toml::array& array) const {
    TableList list{key, where(array), {}};
    for (const auto& node : array) {
      list.tables.push_back(read(*node.as_table()));
    }
    return list;
  }

  [[nodiscard]] Value read_value(const toml::node& node) const {
    Value value;
    value.where = where(node);
    std::ostringstream shown;
    node.visit([&](const auto& concrete) { shown << concrete; });
    value.text = shown.str();
    if (const auto* text = node.as_string()) {
      value.kind = ValueKind::kText;
      value.text = text->get();
    } else if (const auto* integer = node.as_integer()) {
      value.kind = ValueKind::kInteger;
      value.integer = integer->get();
    } else if (const auto* boolean = node.as_boolean()) {
      value.kind = ValueKind::kBoolean;
      value.boolean = boolean->get();
    } else if (const auto* array = node.as_array()) {
      read_text_list(*array, value);
    }
    return value;
  }

  static void read_text_list(const toml::array& array, Value& value) {
    for (const auto& node : array) {
      const auto* text = node.as_string();
      if (text == nullptr) {
        return;
      }
      value.list.push_back(text->get());
    }
    value.kind = ValueKind::kTextList;
  }

  std::string path_;
};

}  // namespace

core::Result<Document> read_toml(const std::string& path) {
  const Reader reader(path);
  try {
    return reader.read(toml::parse_file(path));
  } catch (const toml::parse_error& error) {
    return core::fail(core::ErrorKind::kInvalidArgument,
                      reader.where(error.source()) + ": " + std::string(error.description()),
                      "Correct the file; it must exist and be TOML.");
  }
}

}  // namespace pipitpond::settings
