// Declaration of settings: each one once, with name, type, default, range and help. A program binds them to
// the fields of a struct; a field's value at the time of the declaration is the default.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "settings/value.hpp"

namespace pipitpond::settings {

/// Something wrong with a setting.
struct Problem {
  std::string where;    ///< File and line, or "command line".
  std::string key;      ///< The setting's name.
  std::string message;  ///< What is wrong, without the key.
  std::string remedy;   ///< What to do.
};

/// "where: key: message (remedy)".
std::string to_string(const Problem& problem);

/// Permitted integers, ends included.
struct Range {
  std::int64_t least = 0;
  std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/// One declared setting.
struct Setting {
  std::string name;
  std::string type;          ///< For people, such as "integer from 1 to 65535".
  std::string default_text;  ///< Empty when there is none.
  std::string help;
  bool required = false;
  bool given = false;
  std::function<bool(const Value&)> assign;  ///< False when the value is not of the type.
};

/// A list of tables, each with the settings of a section of its own.
struct ListSetting {
  std::string name;
  std::string help;
  bool required = false;
  bool given = false;
  std::function<void(const TableList&, std::vector<Problem>&)> assign;
};

/// The settings of a program or of one table of a list.
class Section {
 public:
  /// Text of any form.
  Section& text(const std::string& name, std::string& target, const std::string& help);
  /// Text that must be one of `choices`.
  Section& choice(const std::string& name, std::string& target, std::vector<std::string> choices,
                  const std::string& help);
  /// A list of texts; on the command line separated by commas.
  Section& texts(const std::string& name, std::vector<std::string>& target, const std::string& help);
  /// An IP number, such as "127.0.0.1".
  Section& address(const std::string& name, std::string& target, const std::string& help);
  /// "address:port".
  Section& endpoint(const std::string& name, core::Endpoint& target, const std::string& help);
  /// A list of "address:port"; on the command line separated by commas.
  Section& endpoints(const std::string& name, std::vector<core::Endpoint>& target, const std::string& help);
  Section& boolean(const std::string& name, bool& target, const std::string& help);
  /// Whole milliseconds; the name should end in "_ms".
  Section& duration(const std::string& name, core::Duration& target, Range millis, const std::string& help);
  /// A whole number.
  template <std::integral Number>
  Section& integer(const std::string& name, Number& target, Range range, const std::string& help) {
    return add_integer(name, static_cast<std::int64_t>(target), range, help,
                       [&target](std::int64_t value) { target = static_cast<Number>(value); });
  }
  /// An array of tables. `declare(section, item)` declares the settings of one table.
  template <typename Item, typename Declare>
  Section& list(const std::string& name, std::vector<Item>& target, Declare declare,
                const std::string& help) {
    return add_list(name, help, [&target, declare](const TableList& list, std::vector<Problem>& problems) {
      target.clear();
      for (const Document& table : list.tables) {
        Item item{};
        Section section;
        declare(section, item);
        section.apply(table, list.key + ".", problems);
        target.push_back(std::move(item));
      }
    });
  }

  /// Makes the setting declared last mandatory.
  Section& required();
  /// Adds a check of several settings together, such as a clash. It runs when all values are of their types.
  Section& check(std::function<std::optional<Problem>()> clash);

  /// Assigns the values and adds what is wrong with them, then checks that nothing required is missing.
  void apply(const Document& document, const std::string& prefix, std::vector<Problem>& problems);

  [[nodiscard]] const std::vector<Setting>& settings() const { return settings_; }
  [[nodiscard]] const std::vector<ListSetting>& lists() const { return lists_; }

 private:
  Section& add(Setting setting);
  Section& add_integer(const std::string& name, std::int64_t default_value, Range range,
                       const std::string& help, std::function<void(std::int64_t)> assign);
  Section& add_list(const std::string& name, const std::string& help,
                    std::function<void(const TableList&, std::vector<Problem>&)> assign);
  void apply_entry(const Entry& entry, const std::string& prefix, std::vector<Problem>& problems);
  void apply_list(const TableList& list, const std::string& prefix, std::vector<Problem>& problems);
  void find_missing(const Document& document, const std::string& prefix,
                    std::vector<Problem>& problems) const;
  void run_checks(const std::string& where, std::vector<Problem>& problems) const;

  std::vector<Setting> settings_;
  std::vector<ListSetting> lists_;
  std::vector<std::function<std::optional<Problem>()>> checks_;
  bool last_is_list_ = false;
};

}  // namespace pipitpond::settings
