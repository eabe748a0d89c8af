// Files that `pipitctl apply` submits: groups, zones and policies in TOML or JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/error.hpp"

namespace pipitpond::operators {

/// One change as control takes it.
struct Change {
  std::string kind;  ///< "zones", "policies" or "groups": the path's element.
  std::string name;
  std::uint64_t revision = 0;  ///< Revision that it replaces; 0 creates.
  nlohmann::json spec;
  std::string key;  ///< Set by assign_keys.
};

/// A file's changes: zones first, then policies, then groups, which may name both.
struct ChangeFile {
  std::string key;  ///< Of the whole file; empty when it names none.
  std::vector<Change> changes;
};

/// Reads a file; the ending .json or .toml says which. A policy may name a `source_file` beside it. Fails
/// with kInvalidArgument, naming file and key, and kNotFound when the file can't be read.
core::Result<ChangeFile> read_change_file(const std::string& path);

/// Gives each change the key "<key>-<kind>-<name>", so that resending the same file with the same key makes
/// each change at most once.
void assign_keys(ChangeFile& file, const std::string& key);

/// A fresh key "<unix milliseconds>-pipitctl-<random>".
std::string generate_key();

/// Reads a whole file. Fails with kNotFound.
core::Result<std::string> read_text_file(const std::string& path);

}  // namespace pipitpond::operators
