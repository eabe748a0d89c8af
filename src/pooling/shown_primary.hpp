// The primary of a group as proven by a round of status requests, and the messages by which one daemon passes
// such a proof to another. Performs no I/O.
//
// A proof stays valid whatever happens after its replies (see primary_proof.hpp), and it does not depend on
// anything that the daemon knows. A proof from another daemon is therefore as good as an own one, provided
// that its round is not taken to have begun later than it did. A paused owner, a delayed or duplicated reply,
// and a paused requester only make a proof seem older than it is.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::pooling {

/// Knowledge that no successor of a group's primary had been chosen at a moment: writes that the primary had
/// acknowledged by then are kept.
struct FailoverExclusion {
  core::Instant at{};
  /// The term that the primary led then, as its databases count; empty: any, as control had named none but
  /// the term in this daemon's configuration.
  std::optional<core::Term> led_term;
};

/// The result of a round: every write acknowledged before `begun` is in the log of `primary`, up to
/// `position`.
struct ShownPrimary {
  core::DatabaseId primary;
  core::Instant begun{};
  core::LogPosition position;
  /// In another daemon's reply: what that one knows.
  std::optional<FailoverExclusion> failover_exclusion{};
};

/// Requests from an owner of a group's primary a proof by a round that began no earlier than `max_age_ms`
/// before this message arrived. The reply is a ShownPrimaryReply, or an error when there is no proof in time.
struct ShownPrimaryRequest {
  core::GroupName group;
  std::uint32_t max_age_ms = 0;
  std::uint32_t timeout_ms = 0;  ///< The owner replies within this time.

  MSGPACK_DEFINE(group, max_age_ms, timeout_ms);
};

/// The result of the owner's round.
struct ShownPrimaryReply {
  core::DatabaseId primary;
  core::Term term = 0;  ///< Term of the group in the owner's configuration.
  core::LogPosition position;
  /// Upper bound on the time from the start of the round to the arrival of the request; 0: the round began
  /// after it.
  std::uint32_t age_ms = 0;
  /// Whether the owner knows a FailoverExclusion; its age like `age_ms`, and its term, 0: any.
  bool excludes_failover = false;
  std::uint32_t exclusion_age_ms = 0;
  core::Term exclusion_led_term = 0;

  MSGPACK_DEFINE(primary, term, position, age_ms, excludes_failover, exclusion_age_ms, exclusion_led_term);
};

/// The earliest start of a round whose proof may answer the request, which arrived at `arrived`.
core::Instant earliest_round_start(const ShownPrimaryRequest& request, core::Instant arrived);

/// The owner's reply to a request that arrived at `arrived`.
ShownPrimaryReply make_reply(const ShownPrimary& shown, core::Term term, core::Instant arrived);

/// The primary of a group in the requester's configuration.
struct PresumedPrimary {
  core::DatabaseId database;
  core::Term term = 0;
};

/// The proof contained in the reply to a request sent at `asked` or later. Empty when the owner knows another
/// primary or another term: one of the two configurations is outdated, and only a round of the requester can
/// tell.
std::optional<ShownPrimary> proof_from_reply(const ShownPrimaryReply& reply, const PresumedPrimary& presumed,
                                             core::Instant asked);

}  // namespace pipitpond::pooling
