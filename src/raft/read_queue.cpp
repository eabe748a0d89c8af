#include "raft/read_queue.hpp"

#include <algorithm>

namespace pipitpond::raft {

bool ReadQueue::needs_round() const {
  return !reads_.empty() && !reads_.back().round.has_value();
}

void ReadQueue::begin_round(Round round, Index commit) {
  for (auto& read : reads_) {
    if (read.round.has_value()) continue;
    read.round = round;
    read.index = commit;
  }
}

std::vector<ReadResult> ReadQueue::confirm(Round round) {
  std::vector<ReadResult> results;
  while (!reads_.empty() && reads_.front().round.has_value() && *reads_.front().round <= round) {
    results.push_back({reads_.front().token, true, reads_.front().index});
    reads_.pop_front();
  }
  return results;
}

std::vector<ReadResult> ReadQueue::fail_all() {
  std::vector<ReadResult> results;
  for (const auto& read : reads_) results.push_back({read.token, false, 0});
  reads_.clear();
  return results;
}

}  // namespace pipitpond::raft
