#include "explain/clock_offsets.hpp"

#include <algorithm>
#include <cstdint>

namespace pipitpond::explain {
namespace {

using Revisions = std::map<std::uint64_t, LogTime>;

/// When each process first had each revision in force.
std::map<std::string, Revisions> revisions_by_process(const std::vector<LogRecord>& records) {
  std::map<std::string, Revisions> revisions;
  for (const LogRecord& record : records) {
    const auto revision = record.number("revision");
    if (record.event() == "revision_in_force" && revision) {
      revisions[record.process].try_emplace(*revision, record.time);
    }
  }
  return revisions;
}

std::chrono::milliseconds median(std::vector<std::chrono::milliseconds> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

ClockOffsets::ClockOffsets(const std::vector<LogRecord>& records, const std::string& reference) {
  const auto revisions = revisions_by_process(records);
  offsets_[reference] = std::chrono::milliseconds::zero();
  const auto own = revisions.find(reference);
  if (own == revisions.end()) {
    return;
  }
  for (const auto& [process, others] : revisions) {
    std::vector<std::chrono::milliseconds> differences;
    for (const auto& [revision, time] : others) {
      const auto same = own->second.find(revision);
      if (same != own->second.end()) {
        differences.push_back(time - same->second);
      }
    }
    if (!differences.empty()) {
      offsets_[process] = median(std::move(differences));
    }
  }
}

LogTime ClockOffsets::by_reference(const LogRecord& record) const {
  const auto found = offsets_.find(record.process);
  return found == offsets_.end() ? record.time : record.time - found->second;
}

}  // namespace pipitpond::explain
