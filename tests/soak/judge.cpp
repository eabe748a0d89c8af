#include "soak/judge.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace pipitpond::soak {
namespace {

using platform_stage::Commit;
using platform_stage::Executed;
using std::chrono::milliseconds;

constexpr milliseconds kBoardStaleness{1500};
constexpr milliseconds kOwnStaleness{2500};

/// An acknowledged commit.
struct Acknowledged {
  core::LogPosition position;
  core::Instant at;
  std::uint64_t session = 0;
};

/// What became of an operation's writes, as its caller was told.
enum class Fate : std::uint8_t { kKept, kNotKept, kOpen };

class Judge {
 public:
  Judge(const std::vector<Operation>& operations, const DatabasesEnd& databases)
      : operations_(operations), databases_(databases) {
    for (const Commit& commit : databases.log) {
      for (const platform_stage::Write& write : commit.writes) {
        committed_[write.request].push_back(commit.position);
      }
    }
    for (const Executed& executed : databases.executed) {
      executed_[executed.request].push_back(&executed);
    }
  }

  std::vector<std::string> run() {
    for (const Operation& operation : operations_) {
      judge_writes(operation);
    }
    for (const Operation& operation : operations_) {
      judge_reads(operation);
    }
    judge_executed();
    judge_commits();
    return std::move(broken_);
  }

 private:
  void report(const char* rule, const std::string& what) {
    broken_.push_back(std::string(rule) + ": " + what);
  }

  static Fate fate_of(const Operation& operation) {
    const AskedStatement& last = operation.statements.back();
    const bool promised = std::any_of(operation.statements.begin(), operation.statements.end(),
                                      [](const AskedStatement& one) { return one.reply == Reply::kNotKept; });
    const bool asked_to_commit = !operation.transaction() || last.is("COMMIT");
    if (promised || !asked_to_commit) {
      return Fate::kNotKept;
    }
    return last.reply == Reply::kDone ? Fate::kKept : Fate::kOpen;
  }

  void judge_writes(const Operation& operation) {
    const Fate fate = fate_of(operation);
    std::set<core::LogPosition> positions;
    std::size_t writes = 0;
    std::size_t kept = 0;
    for (const AskedStatement& statement : operation.statements) {
      if (!statement.is("WRITE")) {
        continue;
      }
      ++writes;
      const auto found = committed_.find(statement.request);
      if (found == committed_.end()) {
        continue;
      }
      ++kept;
      positions.insert(found->second.begin(), found->second.end());
      if (found->second.size() > 1) {
        report("TWICE", statement.request);
      }
    }
    const std::string& request = operation.statements.back().request;
    if (fate == Fate::kKept && kept < writes) {
      report("LOST", request);
    }
    if (fate == Fate::kNotKept && kept > 0) {
      report("REFUSED", request);
    }
    if ((kept != 0 && kept != writes) || positions.size() > 1) {
      report("PINNED", request + " is kept in part");
    }
    if (fate == Fate::kKept && kept == writes && writes > 0) {
      acknowledged_.push_back(
          Acknowledged{*positions.rbegin(), operation.statements.back().answered, operation.session});
    }
  }

  void judge_reads(const Operation& operation) {
    const core::Instant begun = operation.statements.front().sent;
    for (const AskedStatement& statement : operation.statements) {
      if (!statement.is("READ") || statement.reply != Reply::kDone) {
        continue;
      }
      const auto found = executed_.find(statement.request);
      if (found == executed_.end()) {
        report("MIXED", statement.request + " succeeded and never ran");
        continue;
      }
      // A read may have run more than once; one of its runs gave the answer.
      const bool fresh = std::any_of(found->second.begin(), found->second.end(), [&](const Executed* run) {
        return is_fresh(operation, begun, run->seen);
      });
      if (!fresh) {
        report("STALE", statement.request + " on route " + to_string(operation.route));
      }
      judge_row(statement);
    }
  }

  [[nodiscard]] bool is_fresh(const Operation& operation, core::Instant begun,
                              const core::LogPosition& seen) const {
    return std::all_of(acknowledged_.begin(), acknowledged_.end(), [&](const Acknowledged& write) {
      const bool own = operation.route == Route::kOwn && write.session == operation.session;
      core::Duration staleness{};
      if (operation.route == Route::kBoard) {
        staleness = kBoardStaleness;
      } else if (operation.route == Route::kOwn && !own) {
        staleness = kOwnStaleness;
      }
      const bool must_be_seen = write.at + staleness < begun;
      const bool is_seen = write.position.index <= seen.index && write.position.term <= seen.term;
      return !must_be_seen || is_seen;
    });
  }

  /// Values name the thing that they were written to.
  void judge_row(const AskedStatement& statement) {
    const std::string thing = statement.text.substr(statement.text.find(' ') + 1);
    const bool fits = statement.row == "none" || statement.row.starts_with(thing + "/");
    if (!fits) {
      report("MIXED", statement.request + " got " + statement.row);
    }
  }

  void judge_executed() {
    std::map<std::string, std::string> texts;
    for (const Operation& operation : operations_) {
      for (const AskedStatement& statement : operation.statements) {
        texts[statement.request] = statement.text;
      }
    }
    for (const Executed& executed : databases_.executed) {
      const auto asked = texts.find(executed.request);
      if (asked == texts.end() || asked->second != executed.text) {
        report("UNASKED", executed.request + " " + executed.text);
      }
    }
  }

  /// Each commit holds writes of one operation only.
  void judge_commits() {
    std::map<std::string, const Operation*> operation_of;
    for (const Operation& operation : operations_) {
      for (const AskedStatement& statement : operation.statements) {
        operation_of[statement.request] = &operation;
      }
    }
    for (const Commit& commit : databases_.log) {
      std::set<const Operation*> owners;
      for (const platform_stage::Write& write : commit.writes) {
        owners.insert(operation_of[write.request]);
      }
      if (owners.size() > 1) {
        report("PINNED", "a commit mixes operations at " + std::to_string(commit.position.index));
      }
    }
  }

  const std::vector<Operation>& operations_;
  const DatabasesEnd& databases_;
  std::map<std::string, std::vector<core::LogPosition>> committed_;  ///< By the writing request.
  std::map<std::string, std::vector<const Executed*>> executed_;
  std::vector<Acknowledged> acknowledged_;
  std::vector<std::string> broken_;
};

}  // namespace

std::vector<std::string> judge(const std::vector<Operation>& operations, const DatabasesEnd& databases) {
  return Judge(operations, databases).run();
}

}  // namespace pipitpond::soak
