#include "oracle/judge.hpp"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <utility>

#include "oracle/log_index.hpp"
#include "oracle/replay.hpp"

namespace pipitpond::oracle {
namespace {

using workload::Ending;
using workload::History;
using workload::Operation;
using workload::RequestRecord;

std::string name_of(const RequestRecord& record) {
  return record.caller + " at " + record.proxy + ", key '" + record.key.value() + "', request " +
         record.request;
}

bool in_doubt(Ending ending) {
  return ending == Ending::kUnknown || ending == Ending::kAnswerLost || ending == Ending::kUnreadable ||
         ending == Ending::kUnfinished;
}

/// "12 ms before" or "12 ms after".
std::string distance(workload::UnixMicros moment, workload::UnixMicros reference) {
  constexpr workload::UnixMicros kMicrosPerMilli = 1000;
  const workload::UnixMicros apart = (moment - reference) / kMicrosPerMilli;
  return std::to_string(std::abs(apart)) + " ms " + (apart < 0 ? "before" : "after");
}

/// Which request a drain cut, and when it and its transaction began.
std::string describe_cut(const RequestRecord& record, workload::UnixMicros transaction_began,
                         const FaultRecord& drain) {
  const bool in_transaction =
      record.operation == Operation::kStatement || record.operation == Operation::kCommit;
  std::string text = nlohmann::json(record.operation).get<std::string>() + " begun " +
                     distance(record.began_us, drain.began_us) + " the drain's begin";
  if (in_transaction) {
    text += ", its transaction " + distance(transaction_began, drain.began_us);
  }
  return text + ", ended as " + nlohmann::json(record.ending).get<std::string>();
}

std::string text_of(const core::LogPosition& position) {
  return "(" + std::to_string(position.term) + ", " + std::to_string(position.index) + ")";
}

/// Every logged statement of `sent` has the same fields as when it was sent, and there are no others.
bool same_statements(const std::vector<nlohmann::json>& sent, const std::vector<nlohmann::json>& logged) {
  if (sent.size() != logged.size()) {
    return false;
  }
  for (std::size_t index = 0; index < sent.size(); ++index) {
    for (const auto& field : sent[index].items()) {
      if (!logged[index].contains(field.key()) || logged[index].at(field.key()) != field.value()) {
        return false;
      }
    }
  }
  return true;
}

class Judge {
 public:
  Judge(const History& history, const std::vector<GroupLog>& logs, const std::vector<FaultRecord>& faults)
      : history_(history), faults_(faults) {
    for (const GroupLog& log : logs) {
      indexes_.emplace(log.group, LogIndex(log));
      for (const WrongAnswer& wrong : wrong_answers(history, log)) {
        check_read_answer(wrong);
      }
    }
  }

  Verdict run() {
    check_logs();
    for (const RequestRecord& record : history_.requests) {
      check_acknowledged(record);
      check_not_run(record);
      check_answer(record);
      check_session_position(record);
      count_doubt(record);
    }
    for (const FaultRecord& fault : faults_) {
      if (is_drain(fault.kind)) {
        check_drain(fault);
      }
      if (fault.kind == FaultKind::kDrainDatabase) {
        check_leaving(fault);
      }
    }
    verdict_.unsettled_keys = doubtful_keys_.size();
    return std::move(verdict_);
  }

 private:
  void find(std::uint64_t& counter, const std::string& finding) {
    ++counter;
    if (verdict_.findings.size() < kMaxFindings) {
      verdict_.findings.push_back(finding);
    }
  }

  const LogIndex* index_of(const core::GroupName& group) const {
    const auto found = indexes_.find(group);
    return found == indexes_.end() ? nullptr : &found->second;
  }

  void check_logs() {
    for (const auto& [group, index] : indexes_) {
      for (const std::string& what : index.doubled()) {
        find(verdict_.doubled_writes, group.value() + ": " + what + " ran more than once");
      }
    }
  }

  void check_read_answer(const WrongAnswer& wrong) {
    if (!wrong.position_exists) {
      find(verdict_.mixed_answers, name_of(*wrong.record) + " read at " + text_of(wrong.record->position) +
                                       ", which the log does not hold");
      return;
    }
    find(verdict_.mixed_answers, name_of(*wrong.record) + " read " + wrong.record->result.dump() + " at " +
                                     text_of(wrong.record->position) + ", the log held " +
                                     wrong.expected.dump());
  }

  void check_acknowledged(const RequestRecord& record) {
    const bool about_key = is_write(record) || record.operation == Operation::kOutcome;
    if (!about_key || record.ending != Ending::kDone || record.key.empty()) {
      return;
    }
    const LogIndex* index = index_of(record.group);
    const database::LogEntry* entry = index == nullptr ? nullptr : index->entry_of(record.key);
    if (entry == nullptr && judged_lost_.insert(record.key).second) {
      find(verdict_.lost_writes, "lost: " + name_of(record) + " was done at " + text_of(record.position));
    }
    check_primary(record, index);
    if (entry != nullptr && is_write(record)) {
      check_write_answer(record, *entry);
    }
  }

  void check_write_answer(const RequestRecord& record, const database::LogEntry& entry) {
    if (!same_statements(record.statements, entry.statements)) {
      find(verdict_.mixed_answers, "the log holds other statements than those of " + name_of(record));
    }
    if (record.position != entry.position) {
      find(verdict_.mixed_answers, name_of(record) + " was done at " + text_of(record.position) +
                                       ", the log holds it at " + text_of(entry.position));
    }
    if (record.operation == Operation::kWrite && record.result != entry.result) {
      find(verdict_.mixed_answers, name_of(record) + " was answered " + record.result.dump() +
                                       ", the log holds " + entry.result.dump());
    }
  }

  // Safe against clocks: callers and databases of a run share one machine.
  void check_primary(const RequestRecord& record, const LogIndex* index) {
    if (record.position.term == 0 || index == nullptr) {
      if (record.operation != Operation::kOutcome) {
        find(verdict_.acknowledged_by_replaced_primary, "no position came with " + name_of(record));
      }
      return;
    }
    if (!index->holds(record.position)) {
      find(verdict_.acknowledged_by_replaced_primary,
           name_of(record) + " was done at " + text_of(record.position) + ", which did not survive");
      return;
    }
    const bool first_answer = is_write(record) && !record.replayed;
    if (first_answer && index->replaced_before(record.position.term, record.began_us)) {
      find(verdict_.acknowledged_by_replaced_primary,
           name_of(record) + " began after the primary of its term had been replaced");
    } else if (first_answer && index->replaced_before(record.position.term, record.ended_us - kPassingTime)) {
      find(verdict_.acknowledged_by_replaced_primary,
           name_of(record) + " was acknowledged long after the primary of its term had been replaced");
    }
  }

  void check_not_run(const RequestRecord& record) {
    if (!settles_key_as_not_run(record)) {
      return;
    }
    const LogIndex* index = index_of(record.group);
    const database::LogEntry* entry = index == nullptr ? nullptr : index->entry_of(record.key);
    if (entry != nullptr) {
      find(verdict_.false_not_run,
           name_of(record) + " was not run, yet the log holds it at " + text_of(entry->position));
    }
  }

  void check_answer(const RequestRecord& record) {
    if (record.stale) {
      find(verdict_.stale_session_reads, "stale: " + name_of(record) + ": " + record.remark);
    }
    if (record.mixed) {
      find(verdict_.mixed_answers, "mixed: " + name_of(record) + ": " + record.remark);
    }
    if (!record.request.empty() && !request_ids_.insert(record.request).second) {
      find(verdict_.mixed_answers, "two answers carry the request identifier of " + name_of(record));
    }
  }

  // A read must have run where all that the session wrote and read before was applied, whatever value it
  // returned.
  void check_session_position(const RequestRecord& record) {
    if (record.ending != Ending::kDone) {
      return;
    }
    const bool read = record.operation == Operation::kRead;
    core::LogPosition& seen = seen_[{record.caller, record.group}];
    if (read && !record.stale && seen.term > 0 && !covers(record.position, seen)) {
      find(verdict_.stale_session_reads, "stale: " + name_of(record) + " ran at " + text_of(record.position) +
                                             ", the session was at " + text_of(seen));
    }
    if (read || is_write(record)) {
      seen = std::max(seen, record.position);
    }
  }

  void count_doubt(const RequestRecord& record) {
    if (is_write(record) && in_doubt(record.ending)) {
      ++verdict_.unknown_outcomes;
      doubtful_keys_.insert(record.key);
    }
    if (record.ending == Ending::kDone || settles_key_as_not_run(record)) {
      doubtful_keys_.erase(record.key);
    }
  }

  void check_drain(const FaultRecord& drain) {
    std::map<std::string, workload::UnixMicros> transaction_began;
    for (const RequestRecord& record : history_.requests) {
      if (record.operation == Operation::kBegin) {
        transaction_began[record.caller] = record.began_us;
      }
      if (record.ended_us < drain.began_us || record.began_us > drain.ended_us) {
        continue;
      }
      const bool concerned =
          stops_proxy(drain.kind) ? record.proxy == drain.target : record.group == drain.group;
      if (concerned && was_cut(record, transaction_began[record.caller], drain)) {
        find(verdict_.requests_cut_by_drain,
             "cut by the drain of " + drain.target + ": " + name_of(record) + ", " +
                 describe_cut(record, transaction_began[record.caller], drain) + ": " + record.error_message);
      }
    }
  }

  void check_leaving(const FaultRecord& drain) {
    for (const RequestRecord& record : history_.requests) {
      const bool late = record.began_us > drain.began_us + kLeavingGrace && record.ended_us < drain.ended_us;
      const bool may_continue =
          record.operation == Operation::kStatement || record.operation == Operation::kCommit;
      if (late && !may_continue && record.ending == Ending::kDone &&
          record.database.value() == drain.target) {
        find(verdict_.served_while_leaving,
             drain.target + " was leaving and still got new work: " + name_of(record));
      }
    }
  }

  static bool was_cut(const RequestRecord& record, workload::UnixMicros transaction_began,
                      const FaultRecord& drain) {
    const bool in_transaction =
        record.operation == Operation::kStatement || record.operation == Operation::kCommit;
    const bool open_before = in_transaction && transaction_began < drain.began_us;
    return in_doubt(record.ending) || (open_before && record.ending != Ending::kDone);
  }

  const History& history_;
  const std::vector<FaultRecord>& faults_;
  std::map<core::GroupName, LogIndex> indexes_;
  std::set<core::RequestKey> judged_lost_;
  std::set<core::RequestKey> doubtful_keys_;
  std::set<std::string> request_ids_;
  std::map<std::pair<std::string, core::GroupName>, core::LogPosition> seen_;
  Verdict verdict_;
};

}  // namespace

std::uint64_t violations(const Verdict& verdict) {
  return verdict.lost_writes + verdict.doubled_writes + verdict.stale_session_reads + verdict.mixed_answers +
         verdict.false_not_run + verdict.acknowledged_by_replaced_primary + verdict.requests_cut_by_drain +
         verdict.served_while_leaving;
}

Verdict judge(const History& history, const std::vector<GroupLog>& logs,
              const std::vector<FaultRecord>& faults) {
  return Judge(history, logs, faults).run();
}

}  // namespace pipitpond::oracle
