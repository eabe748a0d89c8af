// Whether a statement that waits for a connection of its tenant gets a new one, or waits for one that is in
// use. An opening takes one of the database's slots from statements. No input or output.
#pragma once

#include <cstddef>

#include "core/clock.hpp"

namespace pipitpond::pooling {

/// What is known when a statement finds no idle connection of its tenant.
struct OpeningInputs {
  /// Statements of the tenant that wait before it and for which no connection is being opened.
  std::size_t waiting_before = 0;
  /// The tenant's connections that run a statement outside a transaction: each is free when it ends. A
  /// transaction may rest on its connection for as long as its caller likes.
  std::size_t coming_back = 0;
  std::size_t opening = 0;  ///< Connections that are being opened for statements of the tenant before it.
  /// No more may be held, so that another tenant's idle connection is closed for the new one.
  bool closes_another = false;
  core::Duration usual_statement{};  ///< From sending it to its answer.
  core::Duration usual_opening{};
};

/// How long the statement waits for one of the connections that come back, also from the first use of those
/// that are being opened; nothing comes back: forever.
core::Duration expected_wait_for_return(const OpeningInputs& inputs);

/// True when a new connection is worth its slot: the statement would wait for longer than two openings, or
/// four where another tenant's connection is closed for it.
///
/// Bursts of 1 to 12 statements, 20 a second, of 12 tenants that share 14 connections and 4 slots, played in
/// opening_choice_test: fewer openings and shorter waits than with an opening for each statement that waits,
/// and shorter waits than with one connection for each tenant.
bool should_open(const OpeningInputs& inputs);

/// When a connection in use since `since` is no longer counted on: a statement that takes much longer than
/// usual waits for a lock, or its database is silent.
bool is_overdue(core::Instant now, core::Instant since, core::Duration usual_statement);

}  // namespace pipitpond::pooling
