#include "logging/logging.hpp"

#include <unistd.h>

#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "logging/descriptor_sink.hpp"

namespace pipitpond::logging {
namespace {

/// Time, level, process if it is named, part, text.
std::string& pattern() {
  static std::string text = "%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v";
  return text;
}

std::unique_ptr<spdlog::formatter> make_formatter() {
  return std::make_unique<spdlog::pattern_formatter>(pattern(), spdlog::pattern_time_type::utc);
}

spdlog::level::level_enum& current_level() {
  static spdlog::level::level_enum level = spdlog::level::info;
  return level;
}

const std::shared_ptr<DescriptorSink>& sink() {
  static const auto kSink = std::make_shared<DescriptorSink>(STDERR_FILENO);
  return kSink;
}

}  // namespace

Logger logger(const std::string& part) {
  if (Logger known = spdlog::get(part)) {
    return known;
  }
  auto created = std::make_shared<spdlog::logger>(part, sink());
  created->set_formatter(make_formatter());
  created->set_level(current_level());
  created->flush_on(spdlog::level::trace);
  spdlog::register_logger(created);
  return created;
}

void use_standard_output() {
  sink()->set_descriptor(STDOUT_FILENO);
}

void set_process(const std::string& name) {
  pattern() = "%Y-%m-%dT%H:%M:%S.%eZ %l process=" + field(name) + " %n: %v";
  spdlog::apply_all([](const Logger& existing) { existing->set_formatter(make_formatter()); });
}

std::uint64_t lines_left_out() {
  return sink()->left_out();
}

std::string field(std::string_view value) {
  std::string clean(value);
  for (char& letter : clean) {
    const auto byte = static_cast<unsigned char>(letter);
    const bool plain = byte > ' ' && byte < 127 && letter != '=';
    if (!plain) {
      letter = '_';
    }
  }
  return clean.empty() ? "-" : clean;
}

const std::vector<std::string>& levels() {
  static const std::vector<std::string> kLevels = {"trace", "debug", "info", "warn", "error", "off"};
  return kLevels;
}

void set_level(const std::string& level) {
  const bool known = std::find(levels().begin(), levels().end(), level) != levels().end();
  current_level() = known ? spdlog::level::from_str(level) : spdlog::level::info;
  spdlog::apply_all([](const Logger& existing) { existing->set_level(current_level()); });
}

}  // namespace pipitpond::logging
