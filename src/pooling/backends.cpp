#include "pooling/backends.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "logging/logging.hpp"
#include "ownership/owner_choice.hpp"

namespace pipitpond::pooling {

namespace {

/// Connections that a daemon may open to a database that it does not own, when no owner can be reached.
constexpr std::uint32_t kConnectionsOfOthers = 1;
/// Clocks of two daemons may differ in rate by one part in so many (5%): ages are told that much greater.
constexpr int kClockRatePart = 20;
/// What rounding to milliseconds may add to an age.
constexpr core::Duration kAgeRounding = std::chrono::milliseconds(2);

AgedPosition aged(const ShownPosition& shown, core::Instant now) {
  const std::int64_t age_ms = core::to_millis(now - shown.sent);
  return AgedPosition{static_cast<std::uint32_t>(age_ms + age_ms / kClockRatePart + 1), shown.position};
}

}  // namespace

Backends::Backends(boost::asio::io_context& io, BackendConnector& connector, agent::Agent& agent,
                   core::DaemonId self, core::ZoneName zone)
    : io_(io),
      connector_(connector),
      agent_(agent),
      self_(std::move(self)),
      zone_(std::move(zone)),
      forwarder_(io, self_, zone_),
      rounds_(io, [this](std::shared_ptr<BackendPool> pool, core::Duration timeout) {
        return ask_status(std::move(pool), timeout);
      }) {
  rounds_.on_shown(
      [this](const core::GroupName& group, const ShownPrimary& shown) { note_shown(group, shown); });
}

// --- The configuration
// -----------------------------------------------------------------------------------------

void Backends::apply(const protocol::Configuration& configuration) {
  if (closed_) {
    return;
  }
  for (auto& [name, view] : groups_) {
    if (!configuration.groups.contains(name)) {
      for (auto& [id, member] : view.members) {
        member.pool->close();
      }
    }
  }
  std::erase_if(groups_, [&](const auto& entry) { return !configuration.groups.contains(entry.first); });
  for (const auto& [name, group] : configuration.groups) {
    apply_group(group);
  }
  set_shares(configuration);
  forwarder_.apply(configuration);
}

void Backends::apply_group(const protocol::Group& group) {
  GroupView& view = groups_[group.name];
  std::map<core::DatabaseId, Member> members;
  for (const protocol::Database& database : group.databases) {
    Member member;
    const auto known = view.members.find(database.id);
    const bool same_place =
        known != view.members.end() && known->second.pool->address().endpoint == database.endpoint;
    if (same_place) {
      member.pool = known->second.pool;
      view.members.erase(known);
    } else {
      const BackendAddress address{database.endpoint, group.name, database.id};
      member.pool = std::make_shared<BackendPool>(io_, connector_, address, database.zone);
    }
    member.pool->set_slots(database.slots);
    member.draining = database.draining;
    member.departed = database.departed;
    members.emplace(database.id, std::move(member));
  }
  for (auto& [id, gone] : view.members) {
    gone.pool->close();
  }
  view.members = std::move(members);
  const core::Term term = group.terms.empty() ? 0 : group.terms.back().term;
  if (term != view.term) {
    for (auto& [id, member] : view.members) {
      member.pool->health().on_new_term();
    }
  }
  view.term = term;
  view.acknowledges_by_receipt = group.sync_replicas > 0;
  view.primary = group.terms.empty() ? core::DatabaseId() : group.terms.back().primary;
}

/// Each database's declaration is at hand here: a search for each would cost databases times databases.
void Backends::set_shares(const protocol::Configuration& configuration) {
  const auto self = configuration.daemons.find(self_);
  const bool takes_part =
      self != configuration.daemons.end() && self->second.state == protocol::DaemonState::kLive && !closed_;
  for (const auto& [name, group] : configuration.groups) {
    GroupView& view = groups_.at(name);
    for (const protocol::Database& database : group.databases) {
      ConnectionShare share;
      const std::vector<core::DaemonId>& owners = agent_.owner_table().owners(database.id);
      if (takes_part && owns(owners)) {
        share = own_share(configuration, database, owners, view.primary == database.id);
      } else if (takes_part) {
        share.most = kConnectionsOfOthers;
      }
      view.members.at(database.id).pool->set_share(share);
    }
  }
}

ConnectionShare Backends::own_share(const protocol::Configuration& configuration,
                                    const protocol::Database& database,
                                    const std::vector<core::DaemonId>& owners, bool primary) const {
  const DatabaseCapacity capacity{database.connection_limit, database.slots};
  if (!configuration.routes.tenants) {
    return share_of(capacity, owners.size());
  }
  const auto is_near = [&](const core::DaemonId& owner) {
    const auto found = configuration.daemons.find(owner);
    return found != configuration.daemons.end() && found->second.zone == database.zone;
  };
  OwnerPlace place;
  place.owners = owners.size();
  place.near_owners = static_cast<std::size_t>(std::count_if(owners.begin(), owners.end(), is_near));
  place.is_near = zone_ == database.zone;
  place.primary = primary;
  return tenants_share_of(capacity, place);
}

bool Backends::owns(const std::vector<core::DaemonId>& owners) const {
  return std::find(owners.begin(), owners.end(), self_) != owners.end();
}

void Backends::close() {
  closed_ = true;
  forwarder_.close();
  for (auto& [name, view] : groups_) {
    for (auto& [id, member] : view.members) {
      member.pool->close();
    }
  }
}

void Backends::tick(core::Instant now) {
  if (closed_) {
    return;
  }
  for (auto& [name, view] : groups_) {
    for (auto& [id, member] : view.members) {
      if (!member.departed) {
        member.pool->tick(now);
      }
    }
  }
  forwarder_.tick(now);
  note_missing_primaries(now);
  report_suspicions(now);
}

void Backends::note_missing_primaries(core::Instant now) {
  for (auto& [name, view] : groups_) {
    const auto primary = view.members.find(view.primary);
    const bool usable = primary != view.members.end() &&
                        (primary->second.pool->health().usable() || others_serve(*primary->second.pool, now));
    if (usable && recently_certain(name, now)) {
      view.without_primary_since.reset();
    } else if (!view.without_primary_since) {
      view.without_primary_since = now;
    }
  }
}

core::Duration Backends::without_primary(const core::GroupName& group, core::Instant now) const {
  const GroupView* view = find(group);
  if (view == nullptr || !view->without_primary_since) {
    return core::Duration::zero();
  }
  return now - *view->without_primary_since;
}

void Backends::report_suspicions(core::Instant now) {
  std::vector<protocol::SuspicionReport> reports;
  std::map<core::DatabaseId, protocol::Suspicion> suspicions;
  for (auto& [name, view] : groups_) {
    for (auto& [id, member] : view.members) {
      const auto suspicion = member.pool->health().suspicion(now, id == view.primary);
      if (suspicion) {
        reports.push_back(protocol::SuspicionReport{id, *suspicion, view.term, 0});
        suspicions.emplace(id, *suspicion);
      }
    }
  }
  agent_.set_suspicions(std::move(reports));
  log_suspicions(suspicions);
}

void Backends::log_suspicions(const std::map<core::DatabaseId, protocol::Suspicion>& suspicions) {
  const auto log = logging::logger("backends");
  for (const auto& [id, suspicion] : suspicions) {
    const auto known = suspicions_.find(id);
    if (known == suspicions_.end() || known->second != suspicion) {
      log->warn("event=suspect database={} suspicion={}", id.value(), protocol::to_string(suspicion));
    }
  }
  for (const auto& [id, suspicion] : suspicions_) {
    if (!suspicions.contains(id)) {
      log->info("event=trust database={} suspicion_ended={}", id.value(), protocol::to_string(suspicion));
    }
  }
  suspicions_ = suspicions;
}

// --- Choice
// ----------------------------------------------------------------------------------------------------

const Backends::GroupView* Backends::find(const core::GroupName& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? nullptr : &found->second;
}

std::optional<BackendChoice> Backends::choose(const core::GroupName& group, const BackendNeed& need,
                                              core::Instant now) const {
  const GroupView* view = find(group);
  if (view == nullptr) {
    return std::nullopt;
  }
  if (!need.primary && need.after) {
    if (auto chosen = choose_for_read(*view, need, now)) {
      return chosen;
    }
  }
  return choose_primary(*view, need, now);
}

std::optional<BackendChoice> Backends::choose_primary(const GroupView& view, const BackendNeed& need,
                                                      core::Instant now) const {
  const auto primary = view.members.find(view.primary);
  if (primary == view.members.end() || need.avoided.contains(view.primary)) {
    return std::nullopt;
  }
  const BackendPool& pool = *primary->second.pool;
  if (!pool.health().usable() && !others_serve(pool, now)) {
    return std::nullopt;
  }
  return BackendChoice{primary->second.pool, true, view.term};
}

bool Backends::others_serve(const BackendPool& pool, core::Instant now) const {
  const core::DatabaseId& database = pool.address().database;
  return forwarder_.reaches(agent_.owner_table().owners(database), database, now);
}

/// Where this daemon owns no connections, or has none and can't get any now: the database is cut off from
/// here, or counts the connections of machines that are gone.
bool Backends::should_pass_on(const BackendPool& pool, core::Instant now) const {
  const bool serves_itself = owns(agent_.owner_table().owners(pool.address().database)) && pool.can_serve();
  return !serves_itself && others_serve(pool, now);
}

/// A tenant's statements meet at one near owner, also those of other owners' callers.
bool Backends::belongs_to_another(const BackendPool& pool, const ConnectionRequest& request,
                                  core::Instant now) const {
  if (!request.tenant || request.tenant->empty()) {
    return false;
  }
  const std::vector<core::DaemonId>& owners = agent_.owner_table().owners(pool.address().database);
  return forwarder_.prefers_another(owners, pool, *request.tenant, now);
}

std::optional<BackendChoice> Backends::choose_for_read(const GroupView& view, const BackendNeed& need,
                                                       core::Instant now) const {
  std::shared_ptr<BackendPool> best;
  core::Duration least{};
  std::uint64_t best_preference = 0;
  for (const auto& [id, member] : view.members) {
    const BackendPool& pool = *member.pool;
    const bool is_primary = id == view.primary;
    const bool ends = !is_primary && (member.draining || member.departed);
    const bool serves = !ends && pool.health().usable() && pool.share().most > 0 &&
                        (is_primary || pool.reach().may_reach(now, *need.after)) &&
                        !need.avoided.contains(id);
    if (!serves) {
      continue;
    }
    const core::Duration expected = cost(pool) + (is_primary ? kPrimaryReadCost : core::Duration::zero());
    // Of databases that are alike each daemon prefers another one: the first in order would serve all.
    const std::uint64_t preference = ownership::weight_of(self_, id);
    if (best == nullptr || std::tie(expected, preference) < std::tie(least, best_preference)) {
      best = member.pool;
      least = expected;
      best_preference = preference;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool is_primary = best->address().database == view.primary;
  return BackendChoice{std::move(best), is_primary, view.term};
}

core::Duration Backends::cost(const BackendPool& pool) const {
  return pool.expected_wait() + (pool.zone() == zone_ ? core::Duration::zero() : kOtherZoneCost);
}

boost::asio::awaitable<core::Result<std::unique_ptr<StatementLease>>> Backends::acquire(
    BackendChoice choice, ConnectionRequest request) {
  const core::Instant now = core::BootClock::now();
  if (should_pass_on(*choice.pool, now) || belongs_to_another(*choice.pool, request, now)) {
    const core::DatabaseId& database = choice.pool->address().database;
    co_return forwarder_.lease(choice.pool, agent_.owner_table().owners(database), request);
  }
  auto lease = co_await BackendPool::acquire(choice.pool, request);
  if (!lease) {
    co_return lease.error();
  }
  std::unique_ptr<StatementLease> own = std::make_unique<ConnectionLease>(std::move(lease.value()));
  co_return own;
}

// --- Primaries and freshness
// -----------------------------------------------------------------------------------

bool Backends::surely_primary(const core::GroupName& group, const BackendChoice& choice,
                              core::Instant now) const {
  const GroupView* view = find(group);
  return view != nullptr && choice.is_primary && view->term == choice.term &&
         view->primary == choice.pool->address().database && agent_.lease_valid(now);
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
  if (surely_primary(group, choice, now)) {
    groups_.at(group).positions.note(sent, position);
  }
}

// A change of primary promotes nothing before it has stopped all databases of
// the group but one from receiving or leading. A receipt therefore shows that
// none was promoted when it was given, which was after `sent`. So all that was
// acknowledged before `sent` is in the log of the one that acknowledged this
// write.
void Backends::note_acknowledged_write(const core::GroupName& group, const BackendChoice& choice,
                                       core::Instant sent, const core::LogPosition& position) {
  const auto found = groups_.find(group);
  const bool proves = found != groups_.end() && found->second.acknowledges_by_receipt && choice.is_primary;
  if (proves) {
    found->second.positions.note(sent, position);
  }
}

void Backends::ask_databases(const core::GroupName& group, core::Instant now) {
  const GroupView* view = find(group);
  const bool may_ask = view != nullptr && view->acknowledges_by_receipt;
  if (!may_ask || !view->members.contains(view->primary)) {
    return;
  }
  RoundSubject subject{group, view->primary, {}, view->members.size()};
  for (const auto& [id, member] : view->members) {
    const bool reachable = member.pool->health().usable() || others_serve(*member.pool, now);
    if (!member.departed && reachable) {
      subject.pools.push_back(member.pool);
    }
  }
  rounds_.ask(now, subject);
}

boost::asio::awaitable<core::Result<BackendStatus>> Backends::ask_status(std::shared_ptr<BackendPool> pool,
                                                                         core::Duration timeout) {
  if (should_pass_on(*pool, core::BootClock::now())) {
    const core::DatabaseId& database = pool->address().database;
    return forwarder_.status(std::move(pool), agent_.owner_table().owners(database), timeout);
  }
  return BackendPool::ask_status(std::move(pool), timeout);
}

void Backends::note_shown(const core::GroupName& group, const ShownPrimary& shown) {
  last_shown_ = std::max(last_shown_, shown.begun);
  const auto found = groups_.find(group);
  if (found != groups_.end()) {
    found->second.positions.note(shown.begun, shown.position);
  }
}

bool Backends::primary_shown_since(const core::GroupName& group, core::Instant moment) const {
  const GroupView* view = find(group);
  const ShownPrimary* shown = rounds_.shown(group);
  return view != nullptr && shown != nullptr && shown->primary == view->primary && shown->begun >= moment;
}

bool Backends::recently_certain(const core::GroupName& group, core::Instant now) const {
  return agent_.lease_valid(now) || primary_shown_since(group, now - kShownRecently);
}

boost::asio::awaitable<void> Backends::ask_position(core::GroupName group, core::Duration staleness) {
  const core::Instant asked = core::BootClock::now();
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.position_asked || asked < found->second.next_position_ask) {
    co_return;
  }
  const auto primary = found->second.members.find(found->second.primary);
  const core::Duration most_age = staleness - kLongestForwardWait - kPositionTimeout;
  const bool useful = primary != found->second.members.end() && most_age > core::Duration::zero() &&
                      should_pass_on(*primary->second.pool, asked);
  if (!useful) {
    co_return;
  }
  found->second.position_asked = true;
  const std::shared_ptr<BackendPool> pool = primary->second.pool;
  const PositionRequest request{group, static_cast<std::uint32_t>(core::to_millis(most_age))};
  const auto reply = co_await forwarder_.positions(
      pool, agent_.owner_table().owners(pool->address().database), request, kPositionTimeout);
  const auto still = groups_.find(group);
  if (still == groups_.end()) {
    co_return;
  }
  still->second.position_asked = false;
  if (!reply || reply.value().positions.empty()) {
    still->second.next_position_ask = core::BootClock::now() + kPositionAskRest;
    co_return;
  }
  // Counted from before the question: the owner counted from a moment after it.
  for (const AgedPosition& known : reply.value().positions) {
    still->second.positions.note(asked - std::chrono::milliseconds(known.age_ms), known.position);
  }
}

bool Backends::awaits_position(const core::GroupName& group) const {
  const GroupView* view = find(group);
  return view != nullptr && view->position_asked;
}

PositionReply Backends::known_positions(const PositionRequest& request, core::Instant now) const {
  PositionReply reply;
  const GroupView* view = find(request.group);
  if (view == nullptr) {
    return reply;
  }
  const core::Duration most_age = std::chrono::milliseconds(request.max_age_ms);
  const core::Duration counted = most_age * kClockRatePart / (kClockRatePart + 1) - kAgeRounding;
  const ShownPosition* oldest = view->positions.oldest_covering(now - counted);
  if (oldest == nullptr) {
    return reply;
  }
  reply.positions.push_back(aged(*oldest, now));
  const ShownPosition* newest = view->positions.newest();
  if (newest != oldest) {
    reply.positions.push_back(aged(*newest, now));
  }
  return reply;
}

std::optional<BackendChoice> Backends::as_chosen(const core::DatabaseId& database) const {
  for (const auto& [name, view] : groups_) {
    const auto found = view.members.find(database);
    if (found != view.members.end()) {
      return BackendChoice{found->second.pool, database == view.primary, view.term};
    }
  }
  return std::nullopt;
}

bool Backends::take_position_seek(const core::GroupName& group, core::Instant now) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return true;
  }
  std::optional<core::Instant>& last = found->second.last_seek;
  if (last && now - *last < kSeekInterval) {
    return false;
  }
  last = now;
  return true;
}

std::shared_ptr<BackendPool> Backends::pool(const core::DatabaseId& database) const {
  for (const auto& [name, view] : groups_) {
    const auto found = view.members.find(database);
    if (found != view.members.end()) {
      return found->second.pool;
    }
  }
  return nullptr;
}

std::size_t Backends::connections() const {
  std::size_t held = 0;
  for (const auto& pool : pools()) {
    held += pool->held();
  }
  return held;
}

std::vector<std::shared_ptr<BackendPool>> Backends::pools() const {
  std::vector<std::shared_ptr<BackendPool>> pools;
  for (const auto& [name, view] : groups_) {
    for (const auto& [id, member] : view.members) {
      pools.push_back(member.pool);
    }
  }
  return pools;
}

}  // namespace pipitpond::pooling
