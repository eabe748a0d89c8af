// What this daemon knows of every database of the fleet: from probes of those it owns, and from replies.
#pragma once

#include <cstdint>
#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "database/protocol.hpp"
#include "protocol/configuration.hpp"
#include "protocol/forward.hpp"
#include "routing/group_progress.hpp"
#include "routing/view.hpp"

namespace pipitpond::proxy {

/// Collects observations and builds the views that routing reads.
class DatabaseViews {
 public:
  explicit DatabaseViews(core::ZoneName local_zone) : local_zone_(std::move(local_zone)) {}

  /// A probe was answered. `asked_at` is when it was sent.
  void observe_status(const core::GroupName& group, core::Instant asked_at, core::Instant now,
                      const database::StatusAnswer& status);
  /// Sets whether an owned database is suspected of being unreachable.
  void set_reachable(const core::DatabaseId& database, bool reachable);
  /// An attempt starts; `finish` ends it.
  void begin_attempt(const core::DatabaseId& database);
  /// An attempt that was sent at `sent_at` has ended with this reply.
  void end_attempt(const protocol::ForwardRequest& request, const protocol::ForwardReply& reply,
                   core::Instant sent_at, core::Instant now);
  /// No owner of the database could be reached, so it is left alone for a moment.
  void note_unreachable(const core::DatabaseId& database, core::Instant now);

  /// The group as routing reads it.
  [[nodiscard]] routing::GroupView view(const protocol::Configuration& configuration,
                                        const protocol::Group& group, core::Instant now) const;
  [[nodiscard]] routing::GroupProgress& progress(const core::GroupName& group) { return progress_[group]; }

 private:
  struct Known {
    core::LogPosition applied;
    core::Instant seen_at;
    core::Duration latency{0};
    core::Instant unreachable_until;
    core::Instant leaving_until;  ///< Told by an answer; owners know better from the status.
    std::uint32_t in_flight = 0;
    bool reachable = true;
    bool leaving = false;
  };

  void describe(routing::ReplicaView& replica, const core::GroupName& group, core::Instant now) const;
  void note_applied(const core::GroupName& group, const core::DatabaseId& database,
                    const core::LogPosition& applied, core::Instant now);

  core::ZoneName local_zone_;
  std::map<core::DatabaseId, Known> known_;
  std::map<core::GroupName, routing::GroupProgress> progress_;
};

}  // namespace pipitpond::proxy
