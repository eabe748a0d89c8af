// Look-ups in a group's surviving log.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/log_position.hpp"
#include "database/protocol.hpp"
#include "workload/history.hpp"

namespace pipitpond::oracle {

struct GroupLog;

/// Index of one log. Keeps pointers into it: the log must outlive the index.
class LogIndex {
 public:
  explicit LogIndex(const GroupLog& log);

  /// Entry that ran under the key; null if none did. Entries that only settle a key don't count.
  [[nodiscard]] const database::LogEntry* entry_of(const core::RequestKey& key) const;
  /// True when the log holds an entry of exactly this term and index.
  [[nodiscard]] bool holds(const core::LogPosition& position) const;
  /// True when a later term had opened before the moment.
  [[nodiscard]] bool replaced_before(core::Term term, workload::UnixMicros moment) const;
  /// Keys and records that ran more than once, named.
  [[nodiscard]] const std::vector<std::string>& doubled() const { return doubled_; }

 private:
  void add(const database::LogEntry& entry);
  void add_records(const database::LogEntry& entry);

  std::map<core::RequestKey, const database::LogEntry*> by_key_;
  std::set<core::LogPosition> positions_;
  std::set<std::string> records_;
  std::map<core::Term, workload::UnixMicros> opened_us_;
  std::vector<std::string> doubled_;
};

}  // namespace pipitpond::oracle
