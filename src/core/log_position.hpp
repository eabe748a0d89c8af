// Positions in a database group's replicated log.
#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

namespace pipitpond::core {

/// Number of a primary's reign. Raised by control on each change of primary; 0 means none yet.
using Term = std::uint64_t;

/// One entry of a group's log. Ordered by term first. (0, 0) is the empty log.
struct LogPosition {
  Term term = 0;
  std::uint64_t index = 0;

  auto operator<=>(const LogPosition&) const = default;

  MSGPACK_DEFINE(term, index);
  NLOHMANN_DEFINE_TYPE_INTRUSIVE(LogPosition, term, index)
};

/// True when a database that has applied up to `applied` holds the committed entry `wanted`.
/// Safe because a log whose last entry is of the same or a later term contains every entry that was
/// committed at or below its own length (the log matching property of the databases' replication).
constexpr bool covers(const LogPosition& applied, const LogPosition& wanted) {
  return applied.term >= wanted.term && applied.index >= wanted.index;
}

}  // namespace pipitpond::core
