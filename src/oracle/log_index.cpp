#include "oracle/log_index.hpp"

#include "oracle/judge.hpp"

namespace pipitpond::oracle {
namespace {

constexpr workload::UnixMicros kMicrosPerMilli = 1000;

}  // namespace

LogIndex::LogIndex(const GroupLog& log) {
  for (const database::LogEntry& entry : log.entries) {
    add(entry);
  }
}

void LogIndex::add(const database::LogEntry& entry) {
  positions_.insert(entry.position);
  // Milliseconds are rounded down: the next one has surely begun after the entry was written.
  const workload::UnixMicros written_us = (entry.committed_at + 1) * kMicrosPerMilli;
  opened_us_.try_emplace(entry.position.term, written_us);
  if (entry.settled_not_run || entry.statements.empty()) {
    return;
  }
  if (!entry.key.empty() && !by_key_.try_emplace(entry.key, &entry).second) {
    doubled_.push_back("key '" + entry.key.value() + "'");
  }
  add_records(entry);
}

// Each version of a record is put once in a run, so that a second put shows a doubled write even under
// another key.
void LogIndex::add_records(const database::LogEntry& entry) {
  for (const nlohmann::json& statement : entry.statements) {
    if (statement.value("op", "") != "put") {
      continue;
    }
    const std::string record = statement.at("table").dump() + statement.at("id").dump() +
                               statement.value("value", nlohmann::json()).dump();
    if (!records_.insert(record).second) {
      doubled_.push_back("record " + record);
    }
  }
}

const database::LogEntry* LogIndex::entry_of(const core::RequestKey& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

bool LogIndex::holds(const core::LogPosition& position) const {
  return positions_.contains(position);
}

bool LogIndex::replaced_before(core::Term term, workload::UnixMicros moment) const {
  const auto later = opened_us_.upper_bound(term);
  return later != opened_us_.end() && later->second <= moment;
}

}  // namespace pipitpond::oracle
