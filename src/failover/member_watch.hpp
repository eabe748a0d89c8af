// The control leader's own view of the databases of one group, from its own probes. It confirms or
// contradicts what owners report, and tells whether a change of primary could succeed at all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "database/protocol.hpp"
#include "failover/effects.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::failover {

/// Probes the members of one group.
class MemberWatch {
 public:
  /// Takes over the group's databases; what is known of those that stay is kept.
  void set_members(const protocol::Group& group);
  /// Forgets all answers, as after a gain of leadership.
  void reset();

  /// Appends the probes that are due, one per member and `interval`. An answer that is late because this
  /// process stood still is not counted as a failure.
  void probe(core::Instant now, core::Duration interval, std::vector<Effect>& effects);
  void on_answer(core::Instant now, const database::StatusAnswer& status);
  void on_failure(core::Instant now, const core::DatabaseId& database);

  /// Answered a probe within kFreshAnswer.
  [[nodiscard]] bool reachable(core::Instant now, const core::DatabaseId& database) const;
  /// Number of reachable members, `except` one.
  [[nodiscard]] std::size_t count_reachable(core::Instant now, const core::DatabaseId& except = {}) const;
  /// Failed kProbeFailuresToSuspect probes in a row.
  [[nodiscard]] bool silent(const core::DatabaseId& database) const;
  /// Failed its last probe.
  [[nodiscard]] bool doubtful(const core::DatabaseId& database) const;
  /// Last answer, or null.
  [[nodiscard]] const database::StatusAnswer* status(const core::DatabaseId& database) const;
  /// True when a reachable member other than `primary` has received entries within kProgressWindow: the
  /// primary's replication is slow but not cut.
  [[nodiscard]] bool replicas_advance(core::Instant now, const core::DatabaseId& primary) const;

 private:
  struct Member {
    core::Endpoint endpoint;
    std::optional<core::Instant> sent;  ///< Probe without an answer so far.
    std::optional<core::Instant> last_sent;
    std::uint32_t failures = 0;
    std::optional<database::StatusAnswer> status;
    core::Instant answered;
    core::Instant first_answered;
    core::Instant advanced;  ///< When `received` was last seen to have grown.
  };

  core::GroupName group_;
  std::map<core::DatabaseId, Member> members_;
  std::optional<core::Instant> last_probe_call_;
};

/// An answer of this age or younger shows that the database is reachable.
inline constexpr core::Duration kFreshAnswer = std::chrono::milliseconds(700);
/// A replica that has not received anything for this long, while its primary waits, is cut from it.
inline constexpr core::Duration kProgressWindow = std::chrono::milliseconds(400);

}  // namespace pipitpond::failover
