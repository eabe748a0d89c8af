#include "settings/loader.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cxxopts.hpp>

namespace pipitpond::settings {
namespace {

constexpr const char* kCommandLine = "command line";
constexpr const char* kSwitchType = "true or false";

std::string describe_setting(const Setting& setting) {
  std::string text = fmt::format("{} [{}", setting.help, setting.type);
  if (setting.required) {
    text += "; required";
  } else if (!setting.default_text.empty()) {
    text += "; default " + setting.default_text;
  }
  return text + "]";
}

cxxopts::Options make_options(const Program& program, const Section& section) {
  cxxopts::Options options(program.name, program.description);
  auto add = options.add_options();
  add("config", "Settings file (TOML)", cxxopts::value<std::string>(), "FILE");
  add("check", "Check the settings and end without starting");
  add("help", "Print this help");
  add("version", "Print the version");
  for (const Setting& setting : section.settings()) {
    const auto value = cxxopts::value<std::string>();
    if (setting.type == kSwitchType) {
      value->implicit_value("true");
    }
    add(setting.name, describe_setting(setting), value, "VALUE");
  }
  return options;
}

bool is_switch(const Section& section, const std::string& argument) {
  return std::any_of(section.settings().begin(), section.settings().end(), [&](const Setting& setting) {
    return setting.type == kSwitchType && argument == "--" + setting.name;
  });
}

/// Writes "--SWITCH true" as "--SWITCH=true": the parser takes no separate value for what may go without one.
std::vector<std::string> join_switch_values(const Section& section,
                                            const std::vector<std::string>& arguments) {
  std::vector<std::string> joined;
  joined.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    const bool is_value = argument == "true" || argument == "false";
    if (is_value && !joined.empty() && is_switch(section, joined.back())) {
      joined.back() += "=" + argument;
    } else {
      joined.push_back(argument);
    }
  }
  return joined;
}

core::Result<cxxopts::ParseResult> parse(cxxopts::Options& options,
                                         const std::vector<std::string>& arguments) {
  std::vector<const char*> pointers;
  pointers.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  try {
    auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
    if (!parsed.unmatched().empty()) {
      return core::fail(core::ErrorKind::kInvalidArgument,
                        fmt::format("{}: {}: is no option.", kCommandLine, parsed.unmatched().front()),
                        "Write --NAME VALUE; --help lists all settings.");
    }
    return parsed;
  } catch (const cxxopts::exceptions::exception& error) {
    return core::fail(core::ErrorKind::kInvalidArgument, fmt::format("{}: {}.", kCommandLine, error.what()),
                      "Write --NAME VALUE; --help lists all settings.");
  }
}

/// Replaces or adds the values of the command line.
void add_flags(const cxxopts::ParseResult& parsed, const Section& section, Document& document) {
  for (const Setting& setting : section.settings()) {
    if (parsed.count(setting.name) == 0) {
      continue;
    }
    Value value;
    value.kind = ValueKind::kFlag;
    value.text = parsed[setting.name].as<std::string>();
    value.where = kCommandLine;
    std::erase_if(document.entries, [&](const Entry& entry) { return entry.key == setting.name; });
    document.entries.push_back({setting.name, std::move(value)});
  }
}

}  // namespace

core::Result<Request> load(const Program& program, Section& section,
                           const std::vector<std::string>& arguments) {
  auto options = make_options(program, section);
  const auto parsed = parse(options, join_switch_values(section, arguments));
  if (!parsed.has_value()) {
    return parsed.as_failure();
  }
  if (parsed.value().count("help") > 0) {
    return Request::kHelp;
  }
  if (parsed.value().count("version") > 0) {
    return Request::kVersion;
  }
  Document document;
  document.where = kCommandLine;
  if (parsed.value().count("config") > 0) {
    const std::string path = parsed.value()["config"].as<std::string>();
    auto file = read_toml(path);
    if (!file.has_value()) {
      return file.as_failure();
    }
    document = std::move(file.value());
    document.where = path;
  }
  add_flags(parsed.value(), section, document);
  std::vector<Problem> problems;
  section.apply(document, "", problems);
  if (problems.empty()) {
    return parsed.value().count("check") > 0 ? Request::kCheck : Request::kRun;
  }
  std::vector<std::string> lines;
  lines.reserve(problems.size());
  std::transform(problems.begin(), problems.end(), std::back_inserter(lines),
                 [](const Problem& problem) { return to_string(problem); });
  return core::fail(core::ErrorKind::kInvalidArgument, fmt::format("{}", fmt::join(lines, "\n")),
                    "Nothing was started; correct the settings and start again.");
}

std::string help_text(const Program& program, const Section& section) {
  std::string text = make_options(program, section).help();
  for (const ListSetting& list : section.lists()) {
    text +=
        fmt::format("\n  [[{}]] in the file: {}{}", list.name, list.help, list.required ? " [required]" : "");
  }
  return text + "\n";
}

}  // namespace pipitpond::settings
