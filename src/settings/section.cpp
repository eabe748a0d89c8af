#include "settings/section.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <sstream>

namespace pipitpond::settings {
namespace {

std::optional<std::string> as_text(const Value& value) {
  if (value.kind == ValueKind::kText || value.kind == ValueKind::kFlag) {
    return value.text;
  }
  return std::nullopt;
}

std::optional<std::int64_t> as_integer(const Value& value) {
  if (value.kind == ValueKind::kInteger) {
    return value.integer;
  }
  if (value.kind != ValueKind::kFlag) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const char* end = value.text.data() + value.text.size();
  const auto parsed = std::from_chars(value.text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<bool> as_boolean(const Value& value) {
  if (value.kind == ValueKind::kBoolean) {
    return value.boolean;
  }
  if (value.kind == ValueKind::kFlag && (value.text == "true" || value.text == "false")) {
    return value.text == "true";
  }
  return std::nullopt;
}

std::optional<std::vector<std::string>> as_texts(const Value& value) {
  if (value.kind == ValueKind::kTextList) {
    return value.list;
  }
  if (value.kind != ValueKind::kFlag) {
    return std::nullopt;
  }
  std::vector<std::string> list;
  std::istringstream parts(value.text);
  for (std::string part; std::getline(parts, part, ',');) {
    list.push_back(part);
  }
  return list;
}

std::optional<std::vector<core::Endpoint>> as_endpoints(const Value& value) {
  const auto list = as_texts(value);
  if (!list) {
    return std::nullopt;
  }
  std::vector<core::Endpoint> endpoints;
  for (const std::string& text : *list) {
    const auto endpoint = core::parse_endpoint(text);
    if (!endpoint) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

/// Stores a value that could be read.
template <typename Target>
bool store(std::optional<Target> value, Target& target) {
  if (!value) {
    return false;
  }
  target = std::move(*value);
  return true;
}

std::string range_text(Range range) {
  if (range.most == std::numeric_limits<std::int64_t>::max()) {
    return fmt::format("integer from {}", range.least);
  }
  return fmt::format("integer from {} to {}", range.least, range.most);
}

std::string joined(const std::vector<core::Endpoint>& endpoints) {
  std::vector<std::string> texts;
  texts.reserve(endpoints.size());
  for (const core::Endpoint& endpoint : endpoints) {
    texts.push_back(to_string(endpoint));
  }
  return fmt::format("{}", fmt::join(texts, ","));
}

}  // namespace

std::string to_string(const Problem& problem) {
  return fmt::format("{}: {}: {} ({})", problem.where, problem.key, problem.message, problem.remedy);
}

Section& Section::text(const std::string& name, std::string& target, const std::string& help) {
  return add({name, "text", target, help, false, false,
              [&target](const Value& value) { return store(as_text(value), target); }});
}

Section& Section::choice(const std::string& name, std::string& target, std::vector<std::string> choices,
                         const std::string& help) {
  const std::string type = fmt::format("one of {}", fmt::join(choices, ", "));
  return add(
      {name, type, target, help, false, false, [&target, choices = std::move(choices)](const Value& value) {
         const auto text = as_text(value);
         if (!text || std::find(choices.begin(), choices.end(), *text) == choices.end()) {
           return false;
         }
         target = *text;
         return true;
       }});
}

Section& Section::texts(const std::string& name, std::vector<std::string>& target, const std::string& help) {
  return add({name, "list of texts", fmt::format("{}", fmt::join(target, ",")), help, false, false,
              [&target](const Value& value) { return store(as_texts(value), target); }});
}

Section& Section::address(const std::string& name, std::string& target, const std::string& help) {
  return add({name, "IP number", target, help, false, false, [&target](const Value& value) {
                const auto text = as_text(value);
                boost::system::error_code error;
                boost::asio::ip::make_address(text.value_or(""), error);
                return !error && store(text, target);
              }});
}

Section& Section::endpoint(const std::string& name, core::Endpoint& target, const std::string& help) {
  return add({name, "IP number and port, such as 127.0.0.1:4000", target.port == 0 ? "" : to_string(target),
              help, false, false, [&target](const Value& value) {
                const auto text = as_text(value);
                return text && store(core::parse_endpoint(*text), target);
              }});
}

Section& Section::endpoints(const std::string& name, std::vector<core::Endpoint>& target,
                            const std::string& help) {
  return add({name, "list of IP numbers with ports", joined(target), help, false, false,
              [&target](const Value& value) { return store(as_endpoints(value), target); }});
}

Section& Section::boolean(const std::string& name, bool& target, const std::string& help) {
  return add({name, "true or false", target ? "true" : "false", help, false, false,
              [&target](const Value& value) { return store(as_boolean(value), target); }});
}

Section& Section::duration(const std::string& name, core::Duration& target, Range millis,
                           const std::string& help) {
  return add_integer(name, core::to_millis(target), millis, help,
                     [&target](std::int64_t value) { target = std::chrono::milliseconds(value); });
}

Section& Section::add_integer(const std::string& name, std::int64_t default_value, Range range,
                              const std::string& help, std::function<void(std::int64_t)> assign) {
  return add({name, range_text(range), std::to_string(default_value), help, false, false,
              [range, assign = std::move(assign)](const Value& value) {
                const auto number = as_integer(value);
                if (!number || *number < range.least || *number > range.most) {
                  return false;
                }
                assign(*number);
                return true;
              }});
}

Section& Section::add(Setting setting) {
  settings_.push_back(std::move(setting));
  last_is_list_ = false;
  return *this;
}

Section& Section::add_list(const std::string& name, const std::string& help,
                           std::function<void(const TableList&, std::vector<Problem>&)> assign) {
  lists_.push_back({name, help, false, false, std::move(assign)});
  last_is_list_ = true;
  return *this;
}

Section& Section::required() {
  if (last_is_list_) {
    lists_.back().required = true;
  } else {
    settings_.back().required = true;
    settings_.back().default_text.clear();
  }
  return *this;
}

Section& Section::check(std::function<std::optional<Problem>()> clash) {
  checks_.push_back(std::move(clash));
  return *this;
}

void Section::apply(const Document& document, const std::string& prefix, std::vector<Problem>& problems) {
  const std::size_t problems_before = problems.size();
  for (const Entry& entry : document.entries) {
    apply_entry(entry, prefix, problems);
  }
  for (const TableList& list : document.lists) {
    apply_list(list, prefix, problems);
  }
  find_missing(document, prefix, problems);
  if (problems.size() == problems_before) {
    run_checks(document.where, problems);
  }
}

void Section::apply_entry(const Entry& entry, const std::string& prefix, std::vector<Problem>& problems) {
  const Value& value = entry.value;
  for (Setting& setting : settings_) {
    if (setting.name != entry.key) {
      continue;
    }
    setting.given = true;
    if (!setting.assign(value)) {
      problems.push_back({value.where, prefix + entry.key,
                          fmt::format("{} is not an acceptable value.", value.text),
                          fmt::format("Write: {}.", setting.type)});
    }
    return;
  }
  const bool is_list = std::any_of(lists_.begin(), lists_.end(),
                                   [&](const ListSetting& list) { return list.name == entry.key; });
  problems.push_back({value.where, prefix + entry.key,
                      is_list ? "must be an array of tables." : "is no known setting.",
                      is_list ? fmt::format("Write [[{}]] and its settings below.", prefix + entry.key)
                              : "Remove it or correct its name; --help lists all settings."});
}

void Section::apply_list(const TableList& list, const std::string& prefix, std::vector<Problem>& problems) {
  for (ListSetting& setting : lists_) {
    if (setting.name == list.key) {
      setting.given = true;
      setting.assign(list, problems);
      return;
    }
  }
  problems.push_back({list.where, prefix + list.key, "is no known list.",
                      "Remove it or correct its name; --help lists all settings."});
}

void Section::find_missing(const Document& document, const std::string& prefix,
                           std::vector<Problem>& problems) const {
  for (const Setting& setting : settings_) {
    if (setting.required && !setting.given) {
      problems.push_back(
          {document.where, prefix + setting.name, "is missing.", fmt::format("Set it: {}.", setting.type)});
    }
  }
  for (const ListSetting& list : lists_) {
    if (list.required && !list.given) {
      problems.push_back({document.where, prefix + list.name, "is missing.",
                          fmt::format("Add at least one [[{}]].", prefix + list.name)});
    }
  }
}

void Section::run_checks(const std::string& where, std::vector<Problem>& problems) const {
  for (const auto& check : checks_) {
    auto problem = check();
    if (!problem) {
      continue;
    }
    if (problem->where.empty()) {
      problem->where = where;
    }
    problems.push_back(std::move(*problem));
  }
}

}  // namespace pipitpond::settings
