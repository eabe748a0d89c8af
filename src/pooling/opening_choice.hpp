// Decides whether a statement that waits for a connection of its tenant gets a new one, or waits for one in
// use. Opening a connection takes one of the database's slots from statements. Performs no I/O.
#pragma once

#include <cstddef>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// The state of the pool when a statement finds no idle connection of its tenant.
struct OpeningInputs {
  /// Statements of the tenant that are ahead in the queue and for which no connection is being opened.
  std::size_t waiting_before = 0;
  /// The tenant's connections that run a statement outside a transaction: each becomes free when its
  /// statement ends. Connections in a transaction don't count, since it may stay open for as long as its
  /// caller likes.
  std::size_t soon_free = 0;
  /// Connections being opened for statements of the tenant that are ahead in the queue.
  std::size_t opening = 0;
  /// The pool holds as many connections as it may, so an idle one of another tenant is closed for the new
  /// one.
  bool replaces_another = false;
  core::Duration average_statement_time{};  ///< From sending a statement to its reply.
  core::Duration average_opening_time{};
};

/// Expected wait for one of the tenant's connections to become free, counting those being opened, which are
/// first used by statements ahead; the maximum duration when there is none.
core::Duration expected_wait_for_free_connection(const OpeningInputs& inputs);

/// True when a new connection is worth its slot: the statement would otherwise wait longer than two openings
/// take, or four where another tenant's connection is closed for it.
///
/// opening_choice_test simulates bursts of 1 to 12 statements, 20 bursts a second, of 12 tenants that share
/// 14 connections and 4 slots. This rule opens fewer connections and gives shorter waits than one opening for
/// each waiting statement, and gives shorter waits than one connection for each tenant.
bool should_open(const OpeningInputs& inputs);

/// True when a connection in use since `since` can't be expected to become free soon: a statement that takes
/// much longer than usual waits for a lock, or its database does not respond.
bool is_overdue(core::Instant now, core::Instant since, core::Duration average_statement_time);

}  // namespace pipitpond::pooling
