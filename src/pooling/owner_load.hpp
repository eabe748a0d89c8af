// What an owner of a database tells other daemons of its line, with each answer. No input or output.
#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace pipitpond::pooling {

/// The line before a database at one owner, at the moment of an answer.
struct OwnerLoad {
  /// Milliseconds that the next statement has to expect until its answer, when it waits behind all that
  /// waits.
  std::uint32_t wait_ms = 0;
  std::uint32_t waiting = 0;  ///< Statements that wait for a connection or for their turn.

  MSGPACK_DEFINE(wait_ms, waiting);
};

}  // namespace pipitpond::pooling
