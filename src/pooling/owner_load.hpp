// What an owner of a database tells other daemons of its line, with each answer. No input or output.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>

#include "pooling/replica_reach.hpp"

namespace pipitpond::pooling {

/// The line before a database at one owner, at the moment of an answer.
struct OwnerLoad {
  /// Milliseconds that the next statement has to expect until its answer, when it waits behind all that
  /// waits.
  std::uint32_t wait_ms = 0;
  std::uint32_t waiting = 0;  ///< Statements that wait for a connection or for their turn.

  /// What the database's log was lately found to lack, by reads of all daemons that ask this owner.
  std::optional<ToldLacking> lacking;

  MSGPACK_DEFINE(wait_ms, waiting, lacking);
};

}  // namespace pipitpond::pooling
