// What became of a statement: three results that are never mixed up.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

namespace pipitpond::core {

/// What is known about a request's effect.
enum class Outcome : std::uint8_t {
  kDone,     ///< It ran, once, and its effect is durable.
  kNotRun,   ///< It did not run and never will: proved, not guessed.
  kUnknown,  ///< It may or may not have run; the key's outcome can be asked for.
};

NLOHMANN_JSON_SERIALIZE_ENUM(Outcome, {{Outcome::kUnknown, "unknown"},
                                       {Outcome::kDone, "done"},
                                       {Outcome::kNotRun, "not_run"}})

/// Whether a statement only reads.
enum class StatementKind : std::uint8_t { kRead, kWrite };

NLOHMANN_JSON_SERIALIZE_ENUM(StatementKind,
                             {{StatementKind::kWrite, "write"}, {StatementKind::kRead, "read"}})

}  // namespace pipitpond::core

MSGPACK_ADD_ENUM(pipitpond::core::Outcome);
MSGPACK_ADD_ENUM(pipitpond::core::StatementKind);
