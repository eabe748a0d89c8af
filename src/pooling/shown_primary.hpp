// What a round of questions has shown of a group's primary, and how one daemon tells it to another. No input
// or output.
//
// A proof stays true whatever happens after its answers (see primary_proof.hpp), and it rests on nothing that
// the asker knows: so a proof of another daemon is as good as one of its own, if the round is not taken to
// have begun later than it did. An owner that was frozen, an answer that is late or comes twice, and an asker
// that was frozen only make a proof older than it need be.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// What a round has shown: every write acknowledged before `begun` is in the log of `primary`, up to
/// `position`.
struct ShownPrimary {
  core::DatabaseId primary;
  core::Instant begun{};
  core::LogPosition position;
};

/// Asks an owner of a group's primary who that surely is, shown by a round that began `max_age_ms` before
/// this message arrived, or later. Answered with a ShownPrimaryReply, or an error when nothing was shown in
/// time.
struct ShownPrimaryRequest {
  core::GroupName group;
  std::uint32_t max_age_ms = 0;
  std::uint32_t timeout_ms = 0;  ///< The owner answers within this time.

  MSGPACK_DEFINE(group, max_age_ms, timeout_ms);
};

/// What the owner's round has shown.
struct ShownPrimaryReply {
  core::DatabaseId primary;
  core::Term term = 0;  ///< Of the group, as the owner's configuration has it.
  core::LogPosition position;
  /// How long before the question's arrival the round began, at most; 0: after it.
  std::uint32_t age_ms = 0;

  MSGPACK_DEFINE(primary, term, position, age_ms);
};

/// The earliest beginning of a round that serves the question, which arrived at `arrived`.
core::Instant earliest_round(const ShownPrimaryRequest& request, core::Instant arrived);

/// What an owner answers to a question that arrived at `arrived`.
ShownPrimaryReply told(const ShownPrimary& shown, core::Term term, core::Instant arrived);

/// The primary that an asker takes a group to have.
struct PresumedPrimary {
  core::DatabaseId database;
  core::Term term = 0;
};

/// What the answer to a question that was sent at `asked` or later shows to the asker. Empty when the owner
/// has another primary or another term: one of the two configurations is old, and the asker's own round tells
/// more.
std::optional<ShownPrimary> understood(const ShownPrimaryReply& reply, const PresumedPrimary& presumed,
                                       core::Instant asked);

}  // namespace pipitpond::pooling
