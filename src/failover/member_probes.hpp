// The control leader's own probes of the databases of one group. Their results confirm or contradict the
// reports of the owners, and show whether enough databases are reachable for a change of primary.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "database/protocol.hpp"
#include "failover/effects.hpp"
#include "protocol/configuration.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::failover {

/// Probes the members of one group.
class MemberProbes {
 public:
  /// Sets the databases to probe. Keeps the results of databases that have neither moved nor started again.
  void set_members(core::Instant now, const protocol::Group& group);
  /// Clears all results, e.g. when leadership is gained.
  void reset();

  /// Time between two probes of a member.
  using Interval = std::function<core::Duration(const core::DatabaseId& database)>;
  /// Appends the probes that are due: one per member every `interval`. Probes that time out while this
  /// process was stalled are not counted as failures.
  void probe(core::Instant now, const Interval& interval, std::vector<Effect>& effects);
  void on_answer(core::Instant now, const database::StatusAnswer& status);
  void on_failure(core::Instant now, const core::DatabaseId& database);

  /// The last probe did not fail, and an answer arrived within kProbeAnswerMaxAge.
  [[nodiscard]] bool reachable(core::Instant now, const core::DatabaseId& database) const;
  /// Number of reachable members other than `excluded`.
  [[nodiscard]] std::size_t count_reachable(core::Instant now, const core::DatabaseId& excluded) const;
  /// At least kProbeFailuresToSuspect probes in a row failed.
  [[nodiscard]] bool suspected_unreachable(const core::DatabaseId& database) const;
  /// The last probe failed.
  [[nodiscard]] bool last_probe_failed(const core::DatabaseId& database) const;
  /// Last probe answer, or null.
  [[nodiscard]] const database::StatusAnswer* status(const core::DatabaseId& database) const;
  /// True when the last probe answer shows a state of the database at `moment` or later. Answers may be under
  /// way for kLongestProbe.
  [[nodiscard]] bool answered_since(const core::DatabaseId& database, core::Instant moment) const;
  /// True when a reachable member other than `primary` has received entries within
  /// kReplicationProgressWindow, which means that replication is slow but not interrupted.
  [[nodiscard]] bool replicas_advancing(core::Instant now, const core::DatabaseId& primary) const;

 private:
  struct Member {
    core::Endpoint endpoint;
    std::uint64_t born = 0;
    /// Until then, an answer may come from the earlier life of a database that has started again.
    core::Instant answers_count_from;
    std::optional<core::Instant> in_flight_since;  ///< Send time of the probe in flight.
    std::optional<core::Instant> last_sent;
    std::uint32_t failures = 0;
    std::optional<database::StatusAnswer> status;
    core::Instant last_answered;
    core::Instant first_answered;
    core::Instant last_advanced;  ///< When `status->received` last advanced.
  };

  core::GroupName group_;
  std::map<core::DatabaseId, Member> members_;
  std::optional<core::Instant> last_probe_call_;
};

/// Maximum age of a probe answer that counts a database as reachable.
inline constexpr core::Duration kProbeAnswerMaxAge = std::chrono::milliseconds(700);
/// Longest time between the sending of a probe and its answer: to connect, and to be answered.
inline constexpr core::Duration kLongestProbe = 2 * protocol::kProbeTimeout;
/// A replica that has received nothing for this long while its primary waits for it is taken as disconnected
/// from the primary.
inline constexpr core::Duration kReplicationProgressWindow = std::chrono::milliseconds(400);

}  // namespace pipitpond::failover
