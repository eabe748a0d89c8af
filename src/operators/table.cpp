#include "operators/table.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <sstream>
#include <vector>

namespace pipitpond::operators {
namespace {

constexpr std::size_t kColumnGap = 2;

std::string cell_of(const nlohmann::json& value) {
  if (value.is_null() || (value.is_array() && value.empty())) {
    return "-";
  }
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_array()) {
    std::string joined;
    for (const nlohmann::json& element : value) {
      joined += (joined.empty() ? "" : ",") + cell_of(element);
    }
    return joined;
  }
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Objects within a row become columns: those of the specification under their own names, others as
// "field.name". A table has room for the first line of a text only.
nlohmann::json flattened(const nlohmann::json& row) {
  nlohmann::json flat = nlohmann::json::object();
  for (const auto& field : row.items()) {
    if (!field.value().is_object()) {
      flat[field.key()] = field.value();
      continue;
    }
    const std::string prefix = field.key() == "spec" ? "" : field.key() + ".";
    for (const auto& inner : field.value().items()) {
      flat[prefix + inner.key()] = inner.value();
    }
  }
  for (nlohmann::json& value : flat) {
    if (value.is_string()) {
      const auto text = value.get<std::string>();
      const auto end = text.find('\n');
      value = end == std::string::npos ? text : text.substr(0, end) + " ...";
    }
  }
  return flat;
}

bool is_rows(const nlohmann::json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(), [](const nlohmann::json& row) { return row.is_object(); });
}

// The name or identifier goes first, the rest in the order of the alphabet. Fields that are rows themselves
// get a table of their own.
std::vector<std::string> columns_of(const nlohmann::json& rows) {
  std::set<std::string> tables;
  for (const nlohmann::json& row : rows) {
    for (const auto& field : row.items()) {
      if (is_rows(field.value())) {
        tables.insert(field.key());
      }
    }
  }
  std::vector<std::string> columns;
  for (const nlohmann::json& row : rows) {
    for (const auto& field : row.items()) {
      if (tables.contains(field.key())) {
        continue;
      }
      if (std::find(columns.begin(), columns.end(), field.key()) == columns.end()) {
        columns.push_back(field.key());
      }
    }
  }
  const auto comes_first = [](const std::string& column) { return column == "name" || column == "id"; };
  std::stable_partition(columns.begin(), columns.end(), comes_first);
  return columns;
}

void write_rows(std::ostringstream& out, const nlohmann::json& rows) {
  const std::vector<std::string> columns = columns_of(rows);
  std::vector<std::size_t> widths;
  for (const std::string& column : columns) {
    std::size_t width = column.size();
    for (const nlohmann::json& row : rows) {
      width = std::max(width, cell_of(row.value(column, nlohmann::json())).size());
    }
    widths.push_back(width);
  }
  const auto write_line = [&](const auto& text_of_column) {
    std::string line;
    for (std::size_t index = 0; index < columns.size(); ++index) {
      std::string cell = text_of_column(columns[index]);
      cell.resize(widths[index] + kColumnGap, ' ');
      line += cell;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  };
  write_line([](const std::string& column) { return column; });
  for (const nlohmann::json& row : rows) {
    write_line([&row](const std::string& column) { return cell_of(row.value(column, nlohmann::json())); });
  }
}

std::string name_of(const nlohmann::json& row) {
  return cell_of(row.value("name", row.value("id", nlohmann::json())));
}

void write_value(std::ostringstream& out, const std::string& title, const nlohmann::json& value);

// Below the table of `rows`: one table for each of their fields that is rows again.
void write_rows_within(std::ostringstream& out, const nlohmann::json& rows) {
  for (const nlohmann::json& row : rows) {
    for (const auto& field : row.items()) {
      if (is_rows(field.value())) {
        write_value(out, field.key() + " of " + name_of(row), field.value());
      }
    }
  }
}

void write_value(std::ostringstream& out, const std::string& title, const nlohmann::json& value) {
  if (is_rows(value)) {
    nlohmann::json rows = nlohmann::json::array();
    std::transform(value.begin(), value.end(), std::back_inserter(rows), flattened);
    out << (title.empty() ? "" : "\n" + title + "\n");
    write_rows(out, rows);
    write_rows_within(out, rows);
    return;
  }
  if (!value.is_object()) {
    out << (title.empty() ? "" : title + ": ") << cell_of(value) << "\n";
    return;
  }
  out << (title.empty() ? "" : "\n" + title + "\n");
  const auto is_plain = [](const nlohmann::json& field) { return !is_rows(field) && !field.is_object(); };
  for (const auto& field : value.items()) {
    if (is_plain(field.value())) {
      write_value(out, field.key(), field.value());
    }
  }
  for (const auto& field : value.items()) {
    if (!is_plain(field.value())) {
      write_value(out, field.key(), field.value());
    }
  }
}

}  // namespace

std::string to_table(const nlohmann::json& value) {
  std::ostringstream out;
  write_value(out, "", value);
  const std::string text = out.str();
  return text.substr(std::min(text.find_first_not_of('\n'), text.size()));
}

}  // namespace pipitpond::operators
