// The log of a stand-in database.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/log_position.hpp"

namespace pipitpond::platform_stage {

/// One value that a commit writes.
struct Write {
  std::string thing;
  std::string data;
  std::string request;  ///< Id of the statement that wrote it.
};

/// One commit.
struct Commit {
  core::LogPosition position;
  std::vector<Write> writes;
};

/// Commits in order.
using Log = std::vector<Commit>;

/// Position of the last commit; (0, 0) for an empty log.
inline core::LogPosition end_of(const Log& log) {
  return log.empty() ? core::LogPosition{} : log.back().position;
}

/// What a reader of the log sees.
inline std::map<std::string, std::string> values_of(const Log& log) {
  std::map<std::string, std::string> values;
  for (const Commit& commit : log) {
    for (const Write& write : commit.writes) {
      values[write.thing] = write.data;
    }
  }
  return values;
}

}  // namespace pipitpond::platform_stage
