// How far the clocks of processes are apart, from what all of them log at nearly the same time: that a
// revision of the configuration is in force.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "explain/log_record.hpp"

namespace pipitpond::explain {

/// Offsets to the clock of one process.
class ClockOffsets {
 public:
  ClockOffsets(const std::vector<LogRecord>& records, const std::string& reference);

  /// The time of a record by the reference's clock. A process that shares no revision with the reference is
  /// taken at its word.
  [[nodiscard]] LogTime by_reference(const LogRecord& record) const;
  /// False where the offset is not known.
  [[nodiscard]] bool known(const std::string& process) const { return offsets_.contains(process); }

 private:
  std::map<std::string, std::chrono::milliseconds> offsets_;  ///< What is taken off the process's time.
};

}  // namespace pipitpond::explain
