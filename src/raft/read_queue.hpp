// Linearizable reads that wait for a heartbeat round to confirm the leadership (ReadIndex).
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "raft/message.hpp"
#include "raft/ready.hpp"
#include "raft/types.hpp"

namespace pipitpond::raft {

class ReadQueue {
 public:
  /// Adds a read. Only a heartbeat round that begins after this call can confirm it.
  void add(ReadToken token) { reads_.push_back({token}); }
  /// True if some read is not assigned to a round yet.
  [[nodiscard]] bool needs_round() const;
  /// Assigns all unassigned reads to `round`, with the current commit index as their read index.
  void begin_round(Round round, Index commit);
  /// Removes and returns the reads that are confirmed once a majority has answered `round`.
  std::vector<ReadResult> confirm(Round round);
  /// Removes all reads and returns them as not confirmed. Called when leadership is lost.
  std::vector<ReadResult> fail_all();

 private:
  struct PendingRead {
    ReadToken token = 0;
    std::optional<Round> round = std::nullopt;
    Index index = 0;
  };

  std::deque<PendingRead> reads_;
};

}  // namespace pipitpond::raft
