#include "workload/history.hpp"

#include <chrono>
#include <fstream>

namespace pipitpond::workload {

UnixMicros unix_micros_now() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

bool is_write(const RequestRecord& record) {
  return record.operation == Operation::kWrite || record.operation == Operation::kCommit;
}

bool settles_key_as_not_run(const RequestRecord& record) {
  const bool about_key = is_write(record) || record.operation == Operation::kOutcome;
  return about_key && record.ending == Ending::kNotRun && !record.key.empty();
}

bool write_history(const History& history, const std::string& path) {
  std::ofstream file(path);
  for (const RequestRecord& record : history.requests) {
    file << nlohmann::json(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  }
  file.flush();
  return file.good();
}

}  // namespace pipitpond::workload
