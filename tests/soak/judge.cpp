#include "soak/judge.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace pipitpond::soak {
namespace {

using platform_stage::Commit;
using platform_stage::Executed;
using platform_stage::Order;
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
    judge_tokens();
    judge_promotions();
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

  /// The platform sees no token below one that it has seen, and each token with one holder.
  void judge_tokens() {
    const Order* highest = nullptr;
    for (const Order& order : databases_.orders) {
      if (highest != nullptr && order.token < highest->token) {
        report("ONE",
               describe(order) + " after token " + std::to_string(highest->token) + " of " + highest->holder);
        continue;
      }
      if (highest != nullptr && order.token == highest->token && order.holder != highest->holder) {
        report("ONE", describe(order) + ", a token of " + highest->holder);
      }
      highest = &order;
    }
  }

  static std::string describe(const Order& order) {
    return order.holder + " orders " + order.database + " with token " + std::to_string(order.token);
  }

  /// The log of a database that begins to lead holds all that was acknowledged before, also where a later
  /// promotion brings it back.
  void judge_promotions() {
    for (const Order& order : databases_.orders) {
      if (!order.took_effect) {
        continue;
      }
      const std::size_t lacking = acknowledged_and_lacking(order);
      if (lacking > 0) {
        report("LOST",
               describe(order) + ": its log lacks " + std::to_string(lacking) + " acknowledged commits");
      }
    }
  }

  [[nodiscard]] std::size_t acknowledged_and_lacking(const Order& order) const {
    std::set<std::string> held;
    for (const Commit& commit : order.log) {
      for (const platform_stage::Write& write : commit.writes) {
        held.insert(write.request);
      }
    }
    const auto lacks = [&](const Operation& operation) {
      const bool is_due =
          fate_of(operation) == Fate::kKept && operation.statements.back().answered < *order.took_effect;
      return is_due && std::any_of(operation.statements.begin(), operation.statements.end(),
                                   [&](const AskedStatement& statement) {
                                     return statement.is("WRITE") && !held.contains(statement.request);
                                   });
    };
    return static_cast<std::size_t>(std::count_if(operations_.begin(), operations_.end(), lacks));
  }

  const std::vector<Operation>& operations_;
  const DatabasesEnd& databases_;
  std::map<std::string, std::vector<core::LogPosition>> committed_;  ///< By the writing request.
  std::map<std::string, std::vector<const Executed*>> executed_;
  std::vector<Acknowledged> acknowledged_;
  std::vector<std::string> broken_;
};

}  // namespace

DatabasesEnd databases_end(platform_stage::Service& service, std::size_t databases) {
  DatabasesEnd end;
  if (const platform_stage::Database* primary = service.primary()) {
    end.log = primary->log();
  }
  end.orders = service.orders();
  for (std::size_t number = 0; number < databases; ++number) {
    const auto& executed = service.database(number).executed();
    end.executed.insert(end.executed.end(), executed.begin(), executed.end());
  }
  const auto own = [](const std::string& request) { return request.starts_with("t"); };
  std::erase_if(end.executed, [&](const auto& executed) { return own(executed.request); });
  for (Commit& commit : end.log) {
    std::erase_if(commit.writes, [&](const auto& write) { return own(write.request); });
  }
  return end;
}

std::vector<std::string> judge(const std::vector<Operation>& operations, const DatabasesEnd& databases) {
  return Judge(operations, databases).run();
}

}  // namespace pipitpond::soak
