// What the oracle is told by callers: every write and every read with what came of it, in true time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "core/outcome.hpp"

namespace pipitpond::simulation::group {

/// One write of a caller, resends included.
struct WriteRecord {
  std::string caller;
  core::GroupName group;
  std::string record;  ///< Identifier that its statement alone names; found again in the log.
  std::string row;     ///< That it adds one to.
  core::RequestKey key;
  bool repeatable = false;
  core::Instant sent;
  core::Instant ended;
  core::Outcome outcome = core::Outcome::kUnknown;  ///< The last that the caller was told.
  core::LogPosition position;                       ///< When done.
  core::Term by_term = 0;                           ///< When done: term of the primary that answered.
  core::Instant decided;                            ///< When done: when the daemon said so.
  std::uint32_t sends = 0;
};

/// One answered read of a counter that only grows.
struct ReadRecord {
  std::string caller;
  core::GroupName group;
  std::string row;
  core::Instant ended;
  std::int64_t value = 0;
  std::int64_t least = 0;  ///< What the session had written or read of the row before.
  bool by_replica = false;
};

/// All that callers saw.
struct History {
  std::vector<WriteRecord> writes;
  std::vector<ReadRecord> reads;
  std::uint64_t positions_lost = 0;
  std::uint64_t lost_answers = 0;
};

}  // namespace pipitpond::simulation::group
