#include "oracle/marks.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace pipitpond::oracle {
namespace {

using workload::Ending;
using workload::RequestRecord;

std::string mark_of(const nlohmann::json& statement) {
  return statement.value("mark", std::string());
}

std::string text_of(const core::LogPosition& position) {
  return "(" + std::to_string(position.term) + ", " + std::to_string(position.index) + ")";
}

class MarkJudge {
 public:
  MarkJudge(const workload::History& history, const GroupLog& log) {
    for (const RequestRecord& record : history.requests) {
      if (workload::is_write(record) && record.group == log.group && !record.statements.empty()) {
        writes_[mark_of(record.statements.front())].push_back(&record);
      }
    }
    for (const database::LogEntry& entry : log.entries) {
      if (!entry.settled_not_run && !entry.statements.empty()) {
        check_entry(entry);
      }
    }
  }

  std::vector<std::string> run() {
    for (const auto& [mark, records] : writes_) {
      check_write(mark, records);
    }
    return std::move(findings_);
  }

 private:
  void check_entry(const database::LogEntry& entry) {
    const std::string mark = mark_of(entry.statements.front());
    const std::string where = "entry " + text_of(entry.position) + " of write '" + mark + "' ";
    if (!entries_.try_emplace(mark, &entry).second) {
      findings_.push_back("doubled: " + where + "is not its first");
    }
    const auto sent = writes_.find(mark);
    if (sent == writes_.end()) {
      findings_.push_back("mixed: " + where + "was never sent to be committed");
    } else if (sent->second.front()->statements != entry.statements) {
      findings_.push_back("mixed: " + where + "has other statements than were sent");
    }
  }

  void check_write(const std::string& mark, const std::vector<const RequestRecord*>& records) {
    const auto found = entries_.find(mark);
    const database::LogEntry* entry = found == entries_.end() ? nullptr : found->second;
    bool may_have_run = false;
    for (const RequestRecord* record : records) {
      may_have_run =
          may_have_run || (record->ending != Ending::kNotRun && record->ending != Ending::kNotSent);
      if (record->ending == Ending::kDone && entry == nullptr) {
        findings_.push_back("lost: write '" + mark + "' was done at " + text_of(record->position));
      } else if (record->ending == Ending::kDone && entry->position != record->position) {
        findings_.push_back("mixed: write '" + mark + "' was done at " + text_of(record->position) +
                            ", the log holds it at " + text_of(entry->position));
      }
    }
    if (!may_have_run && entry != nullptr) {
      findings_.push_back("false not run: write '" + mark + "' stands at " + text_of(entry->position));
    }
  }

  std::map<std::string, std::vector<const RequestRecord*>> writes_;
  std::map<std::string, const database::LogEntry*> entries_;
  std::vector<std::string> findings_;
};

}  // namespace

std::vector<std::string> judge_marks(const workload::History& history, const GroupLog& log) {
  return MarkJudge(history, log).run();
}

}  // namespace pipitpond::oracle
