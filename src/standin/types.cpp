#include "standin/types.hpp"

#include <algorithm>

namespace pipitpond::standin {
namespace {

bool replay_record(DurableState& state, const PromiseRecord& record) {
  state.promise = record;
  return true;
}

bool replay_record(DurableState& state, const database::LogEntry& entry) {
  if (entry.position.index != state.entries.size() + 1) {
    return false;
  }
  state.entries.push_back(entry);
  return true;
}

bool replay_record(DurableState& state, const TruncateRecord& record) {
  if (record.from_index <= state.committed || record.from_index > state.entries.size()) {
    return false;
  }
  state.entries.resize(record.from_index - 1);
  return true;
}

bool replay_record(DurableState& state, const CommitRecord& record) {
  if (record.index > state.entries.size()) {
    return false;
  }
  state.committed = std::max(state.committed, record.index);
  return true;
}

}  // namespace

bool replay(DurableState& state, const DiskRecord& record) {
  return std::visit([&state](const auto& typed) { return replay_record(state, typed); }, record);
}

}  // namespace pipitpond::standin
