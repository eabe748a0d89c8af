// Replays a group's surviving log and compares what reads were answered with what it held at their positions.
#pragma once

#include <vector>

#include "oracle/judge.hpp"
#include "workload/history.hpp"

namespace pipitpond::oracle {

/// A read whose answer is not what its group held at the position that came with it.
struct WrongAnswer {
  const workload::RequestRecord* record = nullptr;  ///< Points into the history.
  nlohmann::json expected;  ///< Null also when the log has no such position; `position_exists` tells.
  bool position_exists = true;
};

/// Wrong answers to "get" and "list" statements of the log's group. Other reads are left to their callers.
std::vector<WrongAnswer> wrong_answers(const workload::History& history, const GroupLog& log);

}  // namespace pipitpond::oracle
