#include "proxy/database_views.hpp"

#include "protocol/tunables.hpp"
#include "proxy/progress_questions.hpp"

namespace pipitpond::proxy {
namespace {

/// How long a database that could not be reached through any owner is left alone.
constexpr core::Duration kUnreachableMemory = std::chrono::milliseconds(500);
/// How long an answer "leaving" counts for a database whose status this daemon does not see.
constexpr core::Duration kLeavingMemory = std::chrono::milliseconds(2000);
/// A write that took longer tells too little of when the log's head was where: it says so only of a moment
/// between its sending and its answer. Statuses tell it without such writes.
constexpr core::Duration kLongestHeadWrite = std::chrono::milliseconds(30);
/// Weight of the newest latency in the moving average: 1/8.
constexpr int kLatencyWeight = 8;

core::RegionName region_of(const protocol::Configuration& configuration, const core::ZoneName& zone) {
  const auto found = configuration.zones.find(zone);
  return found == configuration.zones.end() ? core::RegionName() : found->second.region;
}

}  // namespace

void DatabaseViews::observe_status(const core::GroupName& group, core::Instant asked_at, core::Instant now,
                                   const database::StatusAnswer& status) {
  Known& known = known_[status.database];
  known.leaving = status.leaving;
  known.reachable = true;
  note_applied(group, status.database, status.applied, now);
  // Only a primary's committed position says that nothing later was committed before it was asked.
  if (status.role == database::Role::kPrimary) {
    progress_[group].observe_head(asked_at, status.committed);
  }
}

void DatabaseViews::set_reachable(const core::DatabaseId& database, bool reachable) {
  known_[database].reachable = reachable;
}

void DatabaseViews::begin_attempt(const core::DatabaseId& database) {
  ++known_[database].in_flight;
}

void DatabaseViews::end_attempt(const protocol::ForwardRequest& request, const protocol::ForwardReply& reply,
                                core::Instant sent_at, core::Instant now) {
  Known& known = known_[request.database];
  if (known.in_flight > 0) {
    --known.in_flight;
  }
  if (reply.error.kind == core::ErrorKind::kLeaving && reply.outcome != core::Outcome::kDone) {
    known.leaving_until = now + kLeavingMemory;
  }
  if (reply.applied.term != 0) {
    // An owner answers a question about progress by a status that may be this old.
    const bool is_old = request.operation == protocol::Operation::kProgress;
    note_applied(request.group, request.database, reply.applied, is_old ? now - kOldestStatus : now);
    known.seen_at = now;
  }
  if (reply.outcome != core::Outcome::kDone) {
    return;
  }
  known.unreachable_until = now;
  if (request.operation == protocol::Operation::kProgress) {
    if (reply.position.term != 0) {
      // The owner had asked the primary at most this long before it answered.
      progress_[request.group].observe_head(sent_at - kOldestStatus - protocol::kProbeTimeout,
                                            reply.position);
    }
    return;
  }
  const core::Duration latency = now - sent_at;
  known.latency += (latency - known.latency) / kLatencyWeight;
  const bool is_new_write = request.kind == core::StatementKind::kWrite && !reply.replayed &&
                            request.transaction.empty() && reply.position.term != 0;
  // The database got the write only when its slot came free.
  const core::Instant began = sent_at + core::Duration(reply.queued_us);
  if (is_new_write && now - began <= kLongestHeadWrite) {
    progress_[request.group].observe_head(began, reply.position);
  }
}

void DatabaseViews::note_unreachable(const core::DatabaseId& database, core::Instant now) {
  known_[database].unreachable_until = now + kUnreachableMemory;
}

void DatabaseViews::note_applied(const core::GroupName& group, const core::DatabaseId& database,
                                 const core::LogPosition& applied, core::Instant now) {
  Known& known = known_[database];
  known.seen_at = now;
  if (known.applied < applied) {
    known.applied = applied;
  }
  progress_[group].observe_applied(database, applied, now);
}

routing::GroupView DatabaseViews::view(const protocol::Configuration& configuration,
                                       const protocol::Group& group, core::Instant now) const {
  routing::GroupView view;
  view.group = group.name;
  view.local_zone = local_zone_;
  view.local_region = region_of(configuration, local_zone_);
  if (!group.terms.empty()) {
    view.term = group.terms.back().term;
    view.primary = group.terms.back().primary;
  }
  for (const protocol::Database& declaration : group.databases) {
    routing::ReplicaView replica;
    replica.database = declaration.id;
    replica.zone = declaration.zone;
    replica.region = region_of(configuration, declaration.zone);
    replica.slots = declaration.slots;
    replica.draining = declaration.draining;
    describe(replica, group.name, now);
    view.databases.push_back(std::move(replica));
  }
  return view;
}

void DatabaseViews::describe(routing::ReplicaView& replica, const core::GroupName& group,
                             core::Instant now) const {
  const auto found = known_.find(replica.database);
  if (found == known_.end()) {
    return;
  }
  const Known& known = found->second;
  replica.applied = known.applied;
  replica.seen_at = known.seen_at;
  replica.in_flight = known.in_flight;
  replica.latency_average = known.latency;
  replica.reachable = known.reachable && known.unreachable_until <= now;
  replica.leaving = known.leaving || known.leaving_until > now;
  const auto progress = progress_.find(group);
  if (progress != progress_.end()) {
    replica.staleness = progress->second.staleness(known.applied, now);
  }
}

}  // namespace pipitpond::proxy
