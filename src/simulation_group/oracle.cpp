#include "simulation_group/oracle.hpp"

#include <algorithm>
#include <optional>

namespace pipitpond::simulation::group {
namespace {

using core::Outcome;

class Judge {
 public:
  explicit Judge(const Evidence& evidence) : evidence_(evidence) {
    for (const GroupEvidence& group : evidence.groups) {
      index(group);
    }
  }

  std::vector<std::string> run() {
    for (const WriteRecord& write : evidence_.history->writes) {
      judge_write(write);
    }
    for (const ReadRecord& read : evidence_.history->reads) {
      judge_read(read);
    }
    for (const GroupEvidence& group : evidence_.groups) {
      judge_recovery(group);
      judge_copies(group);
    }
    for (const ConnectionEvidence& connections : evidence_.connections) {
      judge_connections(connections);
    }
    return std::move(findings_);
  }

 private:
  struct Runs {
    std::uint64_t times = 0;
    core::LogPosition last;
  };

  void index(const GroupEvidence& group) {
    groups_[group.group] = &group;
    for (const database::LogEntry& entry : group.log) {
      for (const nlohmann::json& statement : entry.statements) {
        Runs& runs = runs_[statement.value("record", std::string())];
        ++runs.times;
        runs.last = entry.position;
      }
    }
  }

  void find(const std::string& finding) {
    if (findings_.size() < kMaxFindings) {
      findings_.push_back(finding);
    }
  }

  void judge_write(const WriteRecord& write) {
    const auto found = runs_.find(write.record);
    const std::uint64_t times = found == runs_.end() ? 0 : found->second.times;
    if (write.outcome == Outcome::kDone && times == 0) {
      find("Lost: " + write.record + " was acknowledged at " + text(write.position) + ".");
    }
    if (write.outcome == Outcome::kNotRun && times > 0) {
      find("Ran after all: " + write.record + " was called not run, but is in the log at " +
           text(found->second.last) + ".");
    }
    if (!write.repeatable && times > 1) {
      find("Ran twice: " + write.record + " is in the log " + std::to_string(times) + " times.");
    }
    if (write.outcome == Outcome::kDone) {
      judge_acknowledgement(write);
    }
  }

  void judge_acknowledgement(const WriteRecord& write) {
    const auto& primaries = groups_.at(write.group)->primaries;
    // A key's outcome may be told by a later primary than the one that ran it: what counts is who told it.
    const auto later = primaries.upper_bound(write.by_term);
    if (later != primaries.end() && write.decided > later->second + kLateAcknowledgement) {
      const auto late = core::to_millis(write.decided - later->second);
      find("Acknowledged by a replaced primary: " + write.record + " at " + text(write.position) + ", " +
           std::to_string(late) + " ms after term " + std::to_string(later->first) + " had its primary.");
    }
  }

  void judge_read(const ReadRecord& read) {
    if (read.ended != core::Instant() && read.value < read.least) {
      find("Stale session read: " + read.caller + " read " + std::to_string(read.value) + " of " + read.row +
           (read.by_replica ? " at a replica" : " at the primary") + " after it had seen " +
           std::to_string(read.least) + ".");
    }
  }

  void judge_recovery(const GroupEvidence& group) {
    const core::Instant limit = evidence_.faults_ended + kRecoveryLimit;
    const auto& writes = evidence_.history->writes;
    const bool landed = std::any_of(writes.begin(), writes.end(), [&](const WriteRecord& write) {
      return write.group == group.group && write.outcome == Outcome::kDone &&
             write.sent > evidence_.faults_ended && write.decided <= limit;
    });
    if (!landed) {
      find("No recovery: no new write landed in group " + group.group.value() + " in " +
           std::to_string(core::to_millis(kRecoveryLimit)) + " ms after the last fault.");
    }
  }

  /// What a database has called committed once is never replaced.
  void judge_copies(const GroupEvidence& group) {
    for (const CommittedCopy& copy : group.copies) {
      const std::size_t both = std::min(copy.committed.size(), group.log.size());
      for (std::size_t place = 0; place < both; ++place) {
        if (copy.committed[place] != group.log[place].position) {
          find("Diverged: " + copy.database + " has " + text(copy.committed[place]) + " as committed, not " +
               text(group.log[place].position) + ".");
          break;
        }
      }
    }
  }

  void judge_connections(const ConnectionEvidence& one) {
    if (one.greatest > one.limit || one.refused > 0) {
      find("Connection limit: " + one.database + " of limit " + std::to_string(one.limit) + " held " +
           std::to_string(one.greatest) + " and had to refuse " + std::to_string(one.refused) + ".");
    }
  }

  static std::string text(const core::LogPosition& position) {
    return "(" + std::to_string(position.term) + ", " + std::to_string(position.index) + ")";
  }

  const Evidence& evidence_;
  std::map<core::GroupName, const GroupEvidence*> groups_;
  std::map<std::string, Runs> runs_;
  std::vector<std::string> findings_;
};

}  // namespace

std::vector<std::string> judge(const Evidence& evidence) {
  return Judge(evidence).run();
}

}  // namespace pipitpond::simulation::group
