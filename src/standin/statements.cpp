#include "standin/statements.hpp"

#include <algorithm>

namespace pipitpond::standin {
namespace {

using core::ErrorKind;
using nlohmann::json;

constexpr const char* kStatementRemedy = "Send one of the statements that database/statement.hpp lists.";

auto invalid(std::string message) {
  return core::fail(ErrorKind::kInvalidArgument, std::move(message), kStatementRemedy);
}

std::string text_of(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

RowKey row_of(const json& statement) {
  return {statement.at("table").get<std::string>(), text_of(statement.at("id"))};
}

core::Result<Statement> parse_list(const json& statement) {
  const auto limit = statement.value("limit", std::int64_t{100});
  if (limit < 0 || limit > static_cast<std::int64_t>(kMaxListRows)) {
    return invalid("limit is out of range.");
  }
  return Statement{ListStatement{statement.at("table").get<std::string>(), static_cast<std::size_t>(limit)},
                   core::StatementKind::kRead,
                   {}};
}

core::Result<Statement> parse_blob(const json& statement) {
  const auto bytes = statement.at("bytes").get<std::int64_t>();
  if (bytes < 0 || bytes > static_cast<std::int64_t>(kMaxBlobBytes)) {
    return invalid("bytes is out of range.");
  }
  const auto seed = statement.contains("seed") ? text_of(statement.at("seed")) : std::string();
  return Statement{BlobStatement{static_cast<std::size_t>(bytes), seed}, core::StatementKind::kRead, {}};
}

core::Result<Statement> parse_operation(const std::string& operation, const json& statement) {
  if (operation == "put") {
    return Statement{PutStatement{row_of(statement), statement.at("value")}, core::StatementKind::kWrite, {}};
  }
  if (operation == "add") {
    return Statement{AddStatement{row_of(statement), statement.at("amount").get<std::int64_t>()},
                     core::StatementKind::kWrite,
                     {}};
  }
  if (operation == "get") {
    return Statement{GetStatement{row_of(statement)}, core::StatementKind::kRead, {}};
  }
  if (operation == "list") {
    return parse_list(statement);
  }
  if (operation == "blob") {
    return parse_blob(statement);
  }
  if (operation == "sleep") {
    return Statement{SleepStatement{}, core::StatementKind::kRead, {}};
  }
  return invalid("Statement has an unknown op \"" + operation + "\".");
}

core::Result<std::optional<core::Duration>> parse_work(const std::string& operation, const json& statement) {
  const char* field = operation == "sleep" ? "ms" : "work_ms";
  if (!statement.contains(field)) {
    return std::optional<core::Duration>();
  }
  const auto work_ms = statement.at(field).get<double>();
  if (!(work_ms >= 0 && work_ms <= static_cast<double>(kMaxWorkMs))) {
    return invalid(std::string(field) + " is out of range.");
  }
  return std::optional(core::Duration(static_cast<std::int64_t>(work_ms * 1000)));
}

/// "S:" repeated up to the wanted length, so that a reader can check every byte.
std::string make_blob(const BlobStatement& blob) {
  const auto pattern = blob.seed + ":";
  std::string text;
  text.reserve(blob.bytes);
  while (text.size() < blob.bytes) {
    text.append(pattern, 0, blob.bytes - text.size());
  }
  return text;
}

struct ReadOperation {
  const RowReader& rows;

  json operator()(const GetStatement& get) const {
    const auto* value = rows.find(get.row);
    return value == nullptr ? json() : *value;
  }
  json operator()(const ListStatement& list) const {
    auto listing = json::array();
    for (auto& row : rows.list(list.table, list.limit)) {
      listing.push_back({{"id", std::move(row.id)}, {"value", std::move(row.value)}});
    }
    return listing;
  }
  json operator()(const BlobStatement& blob) const { return make_blob(blob); }
  template <typename Other>
  json operator()(const Other&) const {
    return {};
  }
};

struct WriteOperation {
  RowWriter& rows;

  core::Result<json> operator()(const PutStatement& put) const {
    rows.set(put.row, put.value);
    return json();
  }
  core::Result<json> operator()(const AddStatement& add) const {
    const auto* current = rows.find(add.row);
    if (current != nullptr && !current->is_number_integer()) {
      return core::fail(ErrorKind::kInvalidArgument, "The row does not hold an integer.",
                        "Use add only on rows that were made by add or hold integers.");
    }
    const auto before = current == nullptr ? 0 : current->get<std::int64_t>();
    std::int64_t sum = 0;
    if (__builtin_add_overflow(before, add.amount, &sum)) {
      return core::fail(ErrorKind::kInvalidArgument, "The sum is out of range.", "Add a smaller amount.");
    }
    rows.set(add.row, sum);
    return json(sum);
  }
  template <typename Other>
  core::Result<json> operator()(const Other&) const {
    return invalid("The statement is a read.");
  }
};

}  // namespace

core::Result<Statement> parse_statement(const json& json_statement) {
  if (!json_statement.is_object()) {
    return invalid("Statement is not an object.");
  }
  try {
    const auto operation = json_statement.at("op").get<std::string>();
    auto statement = parse_operation(operation, json_statement);
    if (!statement) {
      return statement;
    }
    auto work = parse_work(operation, json_statement);
    if (!work) {
      return work.as_failure();
    }
    statement.value().work = work.value();
    return statement;
  } catch (const json::exception& error) {
    return invalid(std::string("Statement is not valid: ") + error.what());
  }
}

const json* Tables::find(const RowKey& row) const {
  const auto table = tables_.find(row.table);
  if (table == tables_.end()) {
    return nullptr;
  }
  const auto found = table->second.find(row.id);
  return found == table->second.end() ? nullptr : &found->second;
}

std::vector<Row> Tables::list(const std::string& table, std::size_t limit) const {
  std::vector<Row> rows;
  const auto found = tables_.find(table);
  if (found == tables_.end()) {
    return rows;
  }
  for (const auto& [id, value] : found->second) {
    if (rows.size() >= limit) {
      break;
    }
    rows.push_back({id, value});
  }
  return rows;
}

void Tables::set(const RowKey& row, json value) {
  tables_[row.table][row.id] = std::move(value);
}

const json* RowOverlay::find(const RowKey& row) const {
  const auto found = changes_.find(row);
  return found == changes_.end() ? below_.find(row) : &found->second.value;
}

std::vector<Row> RowOverlay::list(const std::string& table, std::size_t limit) const {
  // Rows are never deleted, so the first rows of the merge are among the first rows of either part.
  std::map<std::string, json> merged;
  for (auto& row : below_.list(table, limit)) {
    merged[row.id] = std::move(row.value);
  }
  for (auto change = changes_.lower_bound({table, ""}); change != changes_.end(); ++change) {
    if (change->first.table != table) {
      break;
    }
    merged[change->first.id] = change->second.value;
  }
  std::vector<Row> rows;
  for (auto& [id, value] : merged) {
    if (rows.size() >= limit) {
      break;
    }
    rows.push_back({id, std::move(value)});
  }
  return rows;
}

void RowOverlay::set(const RowKey& row, json value) {
  changes_[row] = Change{std::move(value), index_};
}

void RowOverlay::forget(const RowKey& row, std::uint64_t index) {
  const auto found = changes_.find(row);
  if (found != changes_.end() && found->second.index == index) {
    changes_.erase(found);
  }
}

void RowOverlay::copy_to(RowWriter& target) const {
  for (const auto& [row, change] : changes_) {
    target.set(row, change.value);
  }
}

json execute_read(const Statement& statement, const RowReader& rows) {
  return std::visit(ReadOperation{rows}, statement.operation);
}

core::Result<json> execute_write(const Statement& statement, RowWriter& rows) {
  return std::visit(WriteOperation{rows}, statement.operation);
}

const RowKey& written_row(const Statement& statement) {
  static const RowKey kNone;
  if (const auto* put = std::get_if<PutStatement>(&statement.operation)) {
    return put->row;
  }
  if (const auto* add = std::get_if<AddStatement>(&statement.operation)) {
    return add->row;
  }
  return kNone;
}

}  // namespace pipitpond::standin
