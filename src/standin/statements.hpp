// The stand-in database's statements: parsing and execution on rows (see database/statement.hpp).
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/outcome.hpp"

namespace pipitpond::standin {

/// Names one row. Identifiers that are JSON numbers are kept as their text.
struct RowKey {
  std::string table;
  std::string id;

  auto operator<=>(const RowKey&) const = default;
};

struct PutStatement {
  RowKey row;
  nlohmann::json value;
};

struct AddStatement {
  RowKey row;
  std::int64_t amount = 0;
};

struct GetStatement {
  RowKey row;
};

struct ListStatement {
  std::string table;
  std::size_t limit = 0;
};

struct BlobStatement {
  std::size_t bytes = 0;
  std::string seed;
};

struct SleepStatement {};

/// A statement that was checked.
struct Statement {
  std::variant<PutStatement, AddStatement, GetStatement, ListStatement, BlobStatement, SleepStatement>
      operation;
  core::StatementKind kind = core::StatementKind::kRead;
  std::optional<core::Duration> work;  ///< Time in a slot, when the statement names it.
};

/// Largest answer of "blob", bytes.
inline constexpr std::size_t kMaxBlobBytes = 32UL * 1024 * 1024;
/// Most rows of "list".
inline constexpr std::size_t kMaxListRows = 10'000;
/// Longest "sleep" and "work_ms", milliseconds.
inline constexpr std::int64_t kMaxWorkMs = 60'000;

/// Checks a statement; the error names what is wrong.
core::Result<Statement> parse_statement(const nlohmann::json& json);

/// One row of a listing.
struct Row {
  std::string id;
  nlohmann::json value;
};

/// Rows as a reader sees them.
class RowReader {
 public:
  virtual ~RowReader() = default;
  /// The row's value, or null when there is none.
  [[nodiscard]] virtual const nlohmann::json* find(const RowKey& row) const = 0;
  /// The first rows of a table in the order of their identifiers.
  [[nodiscard]] virtual std::vector<Row> list(const std::string& table, std::size_t limit) const = 0;
};

/// Rows that can be written.
class RowWriter : public RowReader {
 public:
  virtual void set(const RowKey& row, nlohmann::json value) = 0;
};

/// All applied rows.
class Tables final : public RowWriter {
 public:
  [[nodiscard]] const nlohmann::json* find(const RowKey& row) const override;
  [[nodiscard]] std::vector<Row> list(const std::string& table, std::size_t limit) const override;
  void set(const RowKey& row, nlohmann::json value) override;

 private:
  std::unordered_map<std::string, std::map<std::string, nlohmann::json>> tables_;
};

/// Changes that lie over other rows and are not part of them yet. `below` must outlive this.
class RowOverlay final : public RowWriter {
 public:
  explicit RowOverlay(const RowReader& below) : below_(below) {}

  [[nodiscard]] const nlohmann::json* find(const RowKey& row) const override;
  [[nodiscard]] std::vector<Row> list(const std::string& table, std::size_t limit) const override;
  void set(const RowKey& row, nlohmann::json value) override;

  /// Log index that `set` notes with each change, so that `forget` can tell which change it removes.
  void set_index(std::uint64_t index) { index_ = index; }
  /// Removes the row's change if it was made at `index`: the rows below hold it now.
  void forget(const RowKey& row, std::uint64_t index);
  /// Copies all changes to other rows.
  void copy_to(RowWriter& target) const;

 private:
  struct Change {
    nlohmann::json value;
    std::uint64_t index = 0;
  };

  const RowReader& below_;
  std::map<RowKey, Change> changes_;
  std::uint64_t index_ = 0;
};

/// Runs a read.
nlohmann::json execute_read(const Statement& statement, const RowReader& rows);
/// Runs a write; fails and changes nothing when the row's value does not fit the statement.
core::Result<nlohmann::json> execute_write(const Statement& statement, RowWriter& rows);
/// The row that a write changes.
const RowKey& written_row(const Statement& statement);

}  // namespace pipitpond::standin
