#include "oracle/replay.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace pipitpond::oracle {
namespace {

using workload::Ending;
using workload::Operation;
using workload::RequestRecord;

/// Tables as the log makes them; knows only the statements that the workloads send.
class Replay {
 public:
  void apply(const database::LogEntry& entry) {
    if (entry.settled_not_run) {
      return;
    }
    for (const nlohmann::json& statement : entry.statements) {
      nlohmann::json& row = tables_[statement.at("table")][statement.at("id")];
      if (statement.at("op") == "put") {
        row = statement.at("value");
      } else if (statement.at("op") == "add") {
        row = (row.is_null() ? 0 : row.get<std::int64_t>()) + statement.at("amount").get<std::int64_t>();
      }
    }
  }

  [[nodiscard]] nlohmann::json answer_to(const nlohmann::json& statement) const {
    const auto table = tables_.find(statement.at("table"));
    return statement.at("op") == "get" ? get(table, statement) : list(table, statement);
  }

 private:
  using Rows = std::map<std::string, nlohmann::json>;
  using Tables = std::map<std::string, Rows>;

  nlohmann::json get(Tables::const_iterator table, const nlohmann::json& statement) const {
    if (table == tables_.end()) {
      return nullptr;
    }
    const auto row = table->second.find(statement.at("id"));
    return row == table->second.end() ? nlohmann::json() : row->second;
  }

  nlohmann::json list(Tables::const_iterator table, const nlohmann::json& statement) const {
    nlohmann::json rows = nlohmann::json::array();
    if (table == tables_.end()) {
      return rows;
    }
    const auto limit = statement.at("limit").get<std::size_t>();
    for (const auto& [id, value] : table->second) {
      if (rows.size() == limit) {
        break;
      }
      rows.push_back({{"id", id}, {"value", value}});
    }
    return rows;
  }

  Tables tables_;
};

bool is_comparable(const RequestRecord& record) {
  if (record.operation != Operation::kRead || record.ending != Ending::kDone || record.statements.empty()) {
    return false;
  }
  const std::string operation = record.statements.front().value("op", "");
  return operation == "get" || operation == "list";
}

std::vector<const RequestRecord*> reads_by_position(const workload::History& history,
                                                    const core::GroupName& group) {
  std::vector<const RequestRecord*> reads;
  for (const RequestRecord& record : history.requests) {
    if (record.group == group && is_comparable(record)) {
      reads.push_back(&record);
    }
  }
  std::sort(reads.begin(), reads.end(), [](const RequestRecord* left, const RequestRecord* right) {
    return left->position.index < right->position.index;
  });
  return reads;
}

}  // namespace

std::vector<WrongAnswer> wrong_answers(const workload::History& history, const GroupLog& log) {
  std::vector<WrongAnswer> wrong;
  Replay replay;
  core::LogPosition applied;
  auto next = log.entries.begin();
  for (const RequestRecord* read : reads_by_position(history, log.group)) {
    while (next != log.entries.end() && next->position.index <= read->position.index) {
      replay.apply(*next);
      applied = next->position;
      ++next;
    }
    if (applied != read->position) {
      wrong.push_back({read, nullptr, false});
      continue;
    }
    nlohmann::json expected = replay.answer_to(read->statements.front());
    if (expected != read->result) {
      wrong.push_back({read, std::move(expected), true});
    }
  }
  return wrong;
}

}  // namespace pipitpond::oracle
