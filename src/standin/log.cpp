#include "standin/log.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace pipitpond::standin {
namespace {

/// Rough size of a JSON value as text, cheap enough to be asked for each entry of a batch.
std::size_t estimated_bytes(const nlohmann::json& value) {
  if (value.is_string()) {
    return value.get_ref<const std::string&>().size() + 2;
  }
  if (!value.is_structured()) {
    return 8;
  }
  std::size_t bytes = 2;
  for (const auto& child : value) {
    bytes += estimated_bytes(child) + 16;
  }
  return bytes;
}

std::size_t estimated_bytes(const database::LogEntry& entry) {
  std::size_t bytes = 200 + entry.key.value().size() + estimated_bytes(entry.result);
  for (const auto& statement : entry.statements) {
    bytes += estimated_bytes(statement);
  }
  return bytes;
}

}  // namespace

std::optional<core::UnixMillis> key_time(const core::RequestKey& key) {
  const auto& text = key.value();
  core::UnixMillis time = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), time);
  const bool has_text =
      end != text.data() + text.size() && *end == '-' && end + 1 != text.data() + text.size();
  if (error != std::errc() || !has_text || time < 0) {
    return std::nullopt;
  }
  return time;
}

Log::Log(std::vector<database::LogEntry> entries)
    : entries_(std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end())) {
  for (const auto& entry : entries_) {
    add_key(entry);
  }
}

core::LogPosition Log::last() const {
  return entries_.empty() ? core::LogPosition{} : entries_.back().position;
}

core::LogPosition Log::position(std::uint64_t index) const {
  return index == 0 ? core::LogPosition{} : at(index).position;
}

bool Log::holds(const core::LogPosition& wanted) const {
  return wanted.index <= entries_.size() && position(wanted.index) == wanted;
}

core::LogPosition Log::before_term(core::Term term) const {
  // Terms never fall along the log, so the first entry of the term can be searched for.
  const auto first =
      std::partition_point(entries_.begin(), entries_.end(),
                           [term](const database::LogEntry& entry) { return entry.position.term < term; });
  return position(static_cast<std::uint64_t>(first - entries_.begin()));
}

std::vector<database::LogEntry> Log::copy(std::uint64_t from, std::size_t limit,
                                          std::size_t max_bytes) const {
  std::vector<database::LogEntry> entries;
  std::size_t bytes = 0;
  for (auto index = std::max<std::uint64_t>(from, 1); index <= entries_.size(); ++index) {
    bytes += estimated_bytes(at(index));
    if (entries.size() >= limit || (bytes > max_bytes && !entries.empty())) {
      break;
    }
    entries.push_back(at(index));
  }
  return entries;
}

std::optional<std::uint64_t> Log::find_key(const core::RequestKey& key) const {
  if (key.empty()) {
    return std::nullopt;
  }
  const auto found = keys_.find(key);
  return found == keys_.end() ? std::nullopt : std::optional(found->second);
}

void Log::append(database::LogEntry entry) {
  add_key(entry);
  entries_.push_back(std::move(entry));
}

void Log::truncate(std::uint64_t from_index) {
  while (entries_.size() >= from_index) {
    const auto& entry = entries_.back();
    const auto found = keys_.find(entry.key);
    if (found != keys_.end() && found->second == entry.position.index) {
      keys_.erase(found);
    }
    entries_.pop_back();
  }
}

void Log::forget_keys_before(core::UnixMillis time) {
  const auto end = keys_by_time_.lower_bound(time);
  for (auto old = keys_by_time_.begin(); old != end; ++old) {
    keys_.erase(old->second);
  }
  keys_by_time_.erase(keys_by_time_.begin(), end);
}

void Log::add_key(const database::LogEntry& entry) {
  if (entry.key.empty()) {
    return;
  }
  const auto [position, added] = keys_.emplace(entry.key, entry.position.index);
  if (added) {
    keys_by_time_.emplace(key_time(entry.key).value_or(0), entry.key);
  }
}

}  // namespace pipitpond::standin
