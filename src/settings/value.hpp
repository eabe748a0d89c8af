// Values as they stand in a settings file or on the command line, before they are checked against settings.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.hpp"

namespace pipitpond::settings {

/// How a value was written.
enum class ValueKind : std::uint8_t {
  kText,
  kInteger,
  kBoolean,
  kTextList,
  kFlag,   ///< Text of the command line; each setting reads it by its own type.
  kOther,  ///< A number with a fraction, a date, a mixed list: no setting takes it.
};

/// One value and where it was found.
struct Value {
  ValueKind kind = ValueKind::kOther;
  std::string text;  ///< For kText and kFlag; for all kinds what to show in an error.
  std::int64_t integer = 0;
  bool boolean = false;
  std::vector<std::string> list;
  std::string where;  ///< "FILE:LINE" or "command line".
};

struct Document;

/// A value under its full name, such as "listen.port".
struct Entry {
  std::string key;
  Value value;
};

/// An array of tables.
struct TableList {
  std::string key;
  std::string where;
  std::vector<Document> tables;
};

/// A settings file, or one table of an array of tables.
struct Document {
  std::string where;
  std::vector<Entry> entries;
  std::vector<TableList> lists;
};

/// Reads a TOML file. Fails with kInvalidArgument, naming file and line.
core::Result<Document> read_toml(const std::string& path);

}  // namespace pipitpond::settings
