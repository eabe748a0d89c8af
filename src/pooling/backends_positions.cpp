// Determines which database is certain to be a group's primary, and which positions it has reported: by a
// lease from control, by a proof from the databases, or through an owner of the primary.
#include <algorithm>
#include <utility>

#include "pooling/backends.hpp"
#include "pooling/reported_age.hpp"

namespace pipitpond::pooling {

namespace {

AgedPosition to_aged(const ReportedPosition& shown, core::Instant now) {
  return AgedPosition{reported_age_ms(now - shown.sent), shown.position};
}

}  // namespace

bool kept_log(const BackendChoice& choice, const std::optional<core::LogPosition>& position) {
  return position.value_or(core::LogPosition{}) >= choice.reached;
}

// The lease proves that no other database has been named the primary. A database that has started again
// without its log holds nothing, so an empty log proves nothing of what was acknowledged.
bool Backends::is_certain_primary(const core::GroupName& group, const BackendChoice& choice,
                                  const std::optional<core::LogPosition>& position, core::Instant now) const {
  if (!is_chosen_primary(group, choice) || !agent_.lease_valid(now)) {
    return false;
  }
  // Without synchronous replication no other database can show what an empty primary should hold.
  const bool may_be_empty = !find(group)->synchronous_replication;
  const bool holds_entries = position && position->index > 0;
  return (holds_entries || may_be_empty) && kept_log(choice, position);
}

bool Backends::is_chosen_primary(const core::GroupName& group, const BackendChoice& choice) const {
  const GroupView* view = find(group);
  return view != nullptr && choice.is_primary && view->term == choice.term &&
         view->primary == choice.pool->address().database;
}

bool Backends::is_primary(const core::GroupName& group, const core::DatabaseId& database) const {
  const GroupView* view = find(group);
  return view != nullptr && view->primary == database;
}

std::optional<core::LogPosition> Backends::position_for(const core::GroupName& group,
                                                        core::Duration staleness, core::Instant now) const {
  const GroupView* view = find(group);
  return view == nullptr ? std::nullopt : view->positions.covering(now - staleness);
}

void Backends::note_position(const core::GroupName& group, const BackendChoice& choice, core::Instant sent,
                             core::Instant now, const core::LogPosition& position) {
  if (is_certain_primary(group, choice, position, now)) {
    GroupView& view = groups_.at(group);
    view.positions.record(sent, position);
    view.reached = std::max(view.reached, position);
  }
}

// A write that is kept was acknowledged before a successor of its primary had been chosen. So the log of the
// database that acknowledged it holds all writes acknowledged before `sent`.
void Backends::note_acknowledged_write(const core::GroupName& group, const BackendChoice& choice,
                                       core::Instant sent, const core::LogPosition& position) {
  const auto found = groups_.find(group);
  const bool is_proof = found != groups_.end() && found->second.synchronous_replication &&
                        choice.is_primary && kept_log(choice, position);
  if (!is_proof) {
    return;
  }
  GroupView& view = found->second;
  view.positions.record(sent, position);
  const bool is_present_primary = view.term == choice.term && view.primary == choice.pool->address().database;
  if (is_present_primary) {
    view.reached = std::max(view.reached, position);
  }
}

void Backends::request_primary_proof(const core::GroupName& group, core::Instant moment, core::Instant now) {
  const std::optional<RoundSubject> subject = round_subject(group, now);
  if (!subject) {
    return;
  }
  const GroupView& view = groups_.at(group);
  const bool forwards = should_forward(*view.members.at(view.primary).pool, now);
  // A daemon that has started without a lease can't tell that no failover was in progress; others may.
  const bool lacks_exclusion = now - view.failover_exclusion.at > kRecentProofAge;
  const bool asked_owner = (forwards || lacks_exclusion) && request_proof_from_owners(group, moment, now);
  if (!forwards || !asked_owner) {
    rounds_.ask(now, *subject);
  }
}

std::optional<RoundSubject> Backends::round_subject(const core::GroupName& group, core::Instant now) const {
  const GroupView* view = find(group);
  const bool may_ask = view != nullptr && view->synchronous_replication;
  if (!may_ask || !view->members.contains(view->primary)) {
    return std::nullopt;
  }
  RoundSubject subject{group, view->primary, {}, view->members.size()};
  for (const auto& [id, member] : view->members) {
    const bool reachable = member.pool->health().usable() || other_owners_reachable(*member.pool, now);
    if (!member.departed && !member.log_unproven && reachable) {
      subject.pools.push_back(member.pool);
    }
  }
  return subject;
}

/// Returns false when no owner may be asked now.
bool Backends::request_proof_from_owners(const core::GroupName& group, core::Instant moment,
                                         core::Instant now) {
  const GroupView& view = groups_.at(group);
  const std::shared_ptr<BackendPool>& pool = view.members.at(view.primary).pool;
  const AskOwner ask_owner = [this, pool](std::vector<core::DaemonId>& tried, ShownPrimaryRequest request) {
    const std::vector<core::DaemonId>& owners = agent_.owner_table().owners(pool->address().database);
    return forwarder_.shown_primary(pool, owners, tried, std::move(request));
  };
  return proof_requests_.ask(now, moment, ProofRequestSubject{group, {view.primary, view.term}, ask_owner});
}

boost::asio::awaitable<core::Result<ShownPrimaryReply>> Backends::show_primary(ShownPrimaryRequest request) {
  const core::Instant arrived = core::BootClock::now();
  const core::Instant earliest = earliest_round_start(request, arrived);
  const core::Duration most =
      std::min<core::Duration>(std::chrono::milliseconds(request.timeout_ms), kOwnerProofTimeout);
  const RoundSubjectSource subject = [this, group = request.group](core::Instant now) {
    return round_subject(group, now);
  };
  const auto shown = co_await rounds_.await_shown(request.group, subject, earliest, arrived + most);
  const auto found = groups_.find(request.group);
  if (!shown || found == groups_.end() || shown->primary != found->second.primary) {
    co_return core::fail(core::ErrorKind::kUnavailable,
                         "The databases did not prove which of them is the primary in time.",
                         "Ask another owner, or the databases themselves.");
  }
  GroupView& view = found->second;
  renew_exclusion(view, core::BootClock::now());
  ShownPrimary told = *shown;
  if (view.failover_exclusion.at != core::Instant{}) {
    told.failover_exclusion = view.failover_exclusion;
  }
  co_return make_reply(told, view.term, arrived);
}

boost::asio::awaitable<core::Result<BackendStatus>> Backends::ask_status(std::shared_ptr<BackendPool> pool,
                                                                         core::Duration timeout) {
  if (should_forward(*pool, core::BootClock::now())) {
    const core::DatabaseId& database = pool->address().database;
    return forwarder_.status(std::move(pool), agent_.owner_table().owners(database), timeout);
  }
  return BackendPool::ask_status(std::move(pool), timeout);
}

void Backends::note_proof(const core::GroupName& group, const ShownPrimary& shown) {
  last_proof_ = std::max(last_proof_, shown.begun);
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return;
  }
  GroupView& view = found->second;
  view.positions.record(shown.begun, shown.position);
  const bool is_present_primary = shown.primary == view.primary && shown.begun >= view.primary_applied;
  if (is_present_primary) {
    view.reached = std::max(view.reached, shown.position);
  }
  if (shown.failover_exclusion) {
    note_exclusion(view, *shown.failover_exclusion);
  }
}

bool Backends::primary_proven_since(const core::GroupName& group, core::Instant moment) const {
  const GroupView* view = find(group);
  const ShownPrimary* shown = rounds_.shown(group);
  return view != nullptr && shown != nullptr && shown->primary == view->primary && shown->begun >= moment;
}

bool Backends::primary_recently_certain(const core::GroupName& group, core::Instant now) const {
  return agent_.lease_valid(now) || primary_proven_since(group, now - kRecentProofAge);
}

boost::asio::awaitable<void> Backends::request_position(core::GroupName group, core::Duration staleness) {
  const core::Instant asked = core::BootClock::now();
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.position_request_in_flight ||
      asked < found->second.next_position_request) {
    co_return;
  }
  const auto primary = found->second.members.find(found->second.primary);
  const core::Duration most_age = staleness - kMaxForwardWait - kPositionTimeout;
  const bool useful = primary != found->second.members.end() && most_age > core::Duration::zero() &&
                      should_forward(*primary->second.pool, asked);
  if (!useful) {
    co_return;
  }
  found->second.position_request_in_flight = true;
  const std::shared_ptr<BackendPool> pool = primary->second.pool;
  const PositionRequest request{group, static_cast<std::uint32_t>(core::to_millis(most_age))};
  const auto reply = co_await forwarder_.positions(
      pool, agent_.owner_table().owners(pool->address().database), request, kPositionTimeout);
  const auto view_after = groups_.find(group);
  if (view_after == groups_.end()) {
    co_return;
  }
  view_after->second.position_request_in_flight = false;
  if (!reply || reply.value().positions.empty()) {
    view_after->second.next_position_request = core::BootClock::now() + kPositionRequestBackoff;
    co_return;
  }
  // Ages count from when the request was sent, since the owner counted them from its later arrival.
  for (const AgedPosition& known : reply.value().positions) {
    view_after->second.positions.record(asked - std::chrono::milliseconds(known.age_ms), known.position);
  }
}

bool Backends::awaits_position(const core::GroupName& group) const {
  const GroupView* view = find(group);
  return view != nullptr && view->position_request_in_flight;
}

PositionReply Backends::known_positions(const PositionRequest& request, core::Instant now) const {
  PositionReply reply;
  const GroupView* view = find(request.group);
  if (view == nullptr) {
    return reply;
  }
  const core::Duration most_age = std::chrono::milliseconds(request.max_age_ms);
  const ReportedPosition* oldest = view->positions.oldest_covering(now - max_reportable_age(most_age));
  if (oldest == nullptr) {
    return reply;
  }
  reply.positions.push_back(to_aged(*oldest, now));
  const ReportedPosition* newest = view->positions.newest();
  if (newest != oldest) {
    reply.positions.push_back(to_aged(*newest, now));
  }
  return reply;
}

bool Backends::begin_position_refresh(const core::GroupName& group, core::Instant now) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return true;
  }
  std::optional<core::Instant>& last = found->second.last_position_refresh;
  if (last && now - *last < kPositionRefreshInterval) {
    return false;
  }
  last = now;
  return true;
}

}  // namespace pipitpond::pooling
