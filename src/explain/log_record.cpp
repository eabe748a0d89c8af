#include "explain/log_record.hpp"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace pipitpond::explain {
namespace {

constexpr std::string_view kProcess = "process=";
/// "2026-12-02T06:45:00.123Z".
constexpr std::size_t kTimeLength = 24;

template <typename Number>
std::optional<Number> to_number(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

std::optional<LogTime> parse_time(std::string_view text) {
  const bool shaped = text.size() == kTimeLength && text[4] == '-' && text[7] == '-' && text[10] == 'T' &&
                      text[13] == ':' && text[16] == ':' && text[19] == '.' && text.back() == 'Z';
  if (!shaped) {
    return std::nullopt;
  }
  const auto year = to_number<int>(text.substr(0, 4));
  const auto month = to_number<unsigned>(text.substr(5, 2));
  const auto day = to_number<unsigned>(text.substr(8, 2));
  const auto hours = to_number<int>(text.substr(11, 2));
  const auto minutes = to_number<int>(text.substr(14, 2));
  const auto seconds = to_number<int>(text.substr(17, 2));
  const auto millis = to_number<int>(text.substr(20, 3));
  if (!year || !month || !day || !hours || !minutes || !seconds || !millis) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{std::chrono::year(*year), std::chrono::month(*month),
                                         std::chrono::day(*day)};
  if (!date.ok()) {
    return std::nullopt;
  }
  return LogTime(std::chrono::sys_days(date)) + std::chrono::hours(*hours) + std::chrono::minutes(*minutes) +
         std::chrono::seconds(*seconds) + std::chrono::milliseconds(*millis);
}

/// The next word, taken off the text.
std::string_view take_word(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  const std::string_view word = text.substr(0, text.find(' '));
  text.remove_prefix(word.size());
  return word;
}

}  // namespace

std::string_view LogRecord::get(std::string_view name) const {
  for (const LogField& field : fields) {
    if (field.name == name) {
      return field.value;
    }
  }
  return {};
}

std::optional<std::uint64_t> LogRecord::number(std::string_view name) const {
  return to_number<std::uint64_t>(get(name));
}

std::optional<LogRecord> parse_line(std::string_view line) {
  std::optional<LogTime> time;
  while (!line.empty() && !time) {
    time = parse_time(take_word(line));
  }
  if (!time) {
    return std::nullopt;
  }
  LogRecord record;
  record.time = *time;
  record.level = take_word(line);
  const std::string_view process = take_word(line);
  const std::string_view part = take_word(line);
  if (!process.starts_with(kProcess) || !part.ends_with(':')) {
    return std::nullopt;
  }
  record.process = process.substr(kProcess.size());
  record.part = part.substr(0, part.size() - 1);
  for (std::string_view word = take_word(line); !word.empty(); word = take_word(line)) {
    const auto equals = word.find('=');
    if (equals != std::string_view::npos) {
      record.fields.push_back(
          LogField{std::string(word.substr(0, equals)), std::string(word.substr(equals + 1))});
    }
  }
  if (record.fields.empty()) {
    return std::nullopt;
  }
  return record;
}

std::string format_time(LogTime time) {
  const auto since_midnight = time - std::chrono::floor<std::chrono::days>(time);
  const std::chrono::hh_mm_ss split(since_midnight);
  return fmt::format("{:02}:{:02}:{:02}.{:03}", split.hours().count(), split.minutes().count(),
                     split.seconds().count(), split.subseconds().count());
}

}  // namespace pipitpond::explain
