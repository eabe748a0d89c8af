#include "agent/session.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "protocol/tunables.hpp"

namespace pipitpond::agent {

namespace {

bool same_suspicion(const protocol::SuspicionReport& left, const protocol::SuspicionReport& right) {
  return left.database == right.database && left.suspicion == right.suspicion && left.term == right.term;
}

/// A change of primary waits until control knows that all daemons follow.
bool awaits_followers(const protocol::Configuration& configuration) {
  return std::any_of(configuration.groups.begin(), configuration.groups.end(), [](const auto& entry) {
    const protocol::Group& group = entry.second;
    return group.sync_replicas > 0 && !group.terms.empty() && group.terms.back().primary.empty();
  });
}

bool same_suspicions(const std::vector<protocol::SuspicionReport>& left,
                     const std::vector<protocol::SuspicionReport>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), same_suspicion);
}

}  // namespace

Session::Session(SessionOptions options, protocol::Configuration configuration)
    : options_(std::move(options)),
      control_(options_.control),
      configuration_(std::move(configuration)),
      budgets_(options_.daemon, options_.incarnation),
      sequence_(options_.last_sequence),
      newest_known_(configuration_.revision) {
  budgets_.on_configuration(configuration_);
  // Where control was when this daemon last ran: of the machines in its settings none may be left.
  std::vector<core::Endpoint> known;
  for (const auto& [id, control] : configuration_.controls) {
    known.push_back(control.internal);
  }
  take_control_list(known);
  // Daemons that start together begin at different replicas.
  next_replica_ = std::hash<core::DaemonId>{}(options_.daemon) % control_.size();
  next_fetch_source_ = next_replica_;
}

std::vector<Effect> Session::take_effects() {
  return std::exchange(effects_, {});
}

void Session::tick(core::Instant now) {
  if (stopped_) {
    return;
  }
  notice_standstill(now);
  if (now >= next_heartbeat_) {
    send_heartbeat(now);
  }
  if (fetched_.has_value() || now < next_fetch_) {
    return;
  }
  if (!asked_enough()) {
    ask_around(now);
    return;
  }
  if (fetching_) {
    return;
  }
  const bool behind = newest_known_ > configuration_.revision;
  if (behind || !lease_valid(now)) {
    fetch(now, next_fetch_source(now));
  }
}

// --- Heartbeats and lease
// ------------------------------------------------------------------------------------

void Session::notice_standstill(core::Instant now) {
  const bool stood_still = now - last_tick_ > options_.standstill_limit;
  last_tick_ = now;
  if (!stood_still) {
    return;
  }
  // The lease may run on, but a later term may have been announced meanwhile: no answer that was read before
  // the next heartbeat is answered rests on it.
  lease_end_ = {};
  sent_.clear();
  next_heartbeat_ = now;
}

protocol::Heartbeat Session::heartbeat() {
  protocol::Heartbeat heartbeat;
  heartbeat.daemon = options_.daemon;
  heartbeat.incarnation = options_.incarnation;
  heartbeat.sequence = ++sequence_;
  heartbeat.zone = options_.zone;
  heartbeat.internal = options_.internal;
  heartbeat.callers = options_.callers;
  heartbeat.leaving = leaving_;
  heartbeat.applied = configuration_.revision;
  heartbeat.settled = budgets_.settled();
  heartbeat.suspicions = suspicions_;
  return heartbeat;
}

void Session::send_heartbeat(core::Instant now) {
  next_heartbeat_ = now + protocol::kHeartbeatInterval;
  SendHeartbeat effect{leader_guess(), heartbeat(), heartbeat_timeout()};
  // The lease counts from here, which is before the message leaves.
  sent_.emplace_back(effect.heartbeat.sequence, now);
  std::erase_if(sent_, [&](const auto& entry) { return now - entry.second > protocol::kDaemonLease; });
  effects_.emplace_back(std::move(effect));
}

// Follows the way: behind a link whose queue holds 0.8 s, every answer came after 0.4 s, and the daemon left
// the leader each time.
core::Duration Session::heartbeat_timeout() const {
  return std::clamp(2 * reply_delay_, kHeartbeatTimeout, kMaxHeartbeatTimeout);
}

core::Endpoint Session::leader_guess() const {
  return leader_.has_value() ? *leader_ : control_[next_replica_ % control_.size()];
}

void Session::on_heartbeat_reply(core::Instant now, const core::Endpoint& from,
                                 const protocol::HeartbeatReply& reply) {
  const auto sent = std::find_if(sent_.begin(), sent_.end(),
                                 [&](const auto& entry) { return entry.first == reply.sequence; });
  if (stopped_ || sent == sent_.end()) {
    return;
  }
  const core::Instant sent_at = sent->second;
  sent_.erase(sent);
  if (reply.sequence < answered_) {
    return;  // A later heartbeat's answer came first: it tells all of this and newer.
  }
  if (!reply.from_leader) {
    if (reply.complete > 0) {
      note_complete_revision(sent_at, reply.complete);
      fetch_if_behind(now, from);
    }
    follow_hint(now, reply.leader);
    return;
  }
  newest_incarnation_ = std::max(newest_incarnation_, reply.known_incarnation);
  const bool leader_without_quorum = reply.current == 0;
  if (leader_without_quorum) {
    try_next_replica(now);
    return;
  }
  leader_ = from;
  hints_followed_ = 0;
  answered_ = reply.sequence;
  reply_delay_ = now - sent_at;
  take_control_list(reply.control);
  note_complete_revision(sent_at, reply.current);
  if (reply.lease_ms > 0) {
    lease_end_ = std::max(lease_end_, sent_at + std::chrono::milliseconds(reply.lease_ms));
    had_lease_ = true;
  } else {
    // Not admitted yet: the leader commits that now.
    next_heartbeat_ = std::min(next_heartbeat_, now + 2 * kReplicaRetryPause);
  }
  budgets_.on_settled_everywhere(reply.settled_everywhere);
  fetch_if_behind(now, from);
}

// A leader answers with a revision only once it has applied all that earlier leaders committed, and while a
// majority stands by it; a replica without a leader only once a majority has shown it: all that any leader
// acknowledged before the question was sent is part of that revision.
void Session::note_complete_revision(core::Instant sent_at, protocol::Revision revision) {
  newest_known_ = std::max(newest_known_, revision);
  awaited_revisions_.emplace_back(revision, sent_at);
  if (awaited_revisions_.size() > kMostAwaitedRevisions) {
    awaited_revisions_.pop_front();
  }
  prove_complete();
}

void Session::prove_complete() {
  std::erase_if(awaited_revisions_, [this](const auto& awaited) {
    const bool in_force = awaited.first <= configuration_.revision;
    if (in_force) {
      complete_until_ = std::max(complete_until_, awaited.second);
    }
    return in_force;
  });
}

void Session::on_heartbeat_failed(core::Instant now, const core::Endpoint& from, std::uint64_t sequence) {
  // The entry in sent_ stays: a lease that comes late runs from the sending too.
  const bool newer_answered = sequence < answered_;
  if (stopped_ || newer_answered || from != leader_guess()) {
    return;
  }
  try_next_replica(now);
}

void Session::try_next_replica(core::Instant now) {
  leader_.reset();
  hints_followed_ = 0;
  next_replica_ = (next_replica_ + 1) % control_.size();
  next_heartbeat_ = std::min(next_heartbeat_, now + kReplicaRetryPause);
}

void Session::follow_hint(core::Instant now, const core::Endpoint& hint) {
  if (hint.port == 0 || hints_followed_ >= kMaxHintsAtOnce) {
    try_next_replica(now);
    return;
  }
  ++hints_followed_;
  leader_ = hint;
  send_heartbeat(now);
}

void Session::take_control_list(const std::vector<core::Endpoint>& control) {
  if (control.empty()) {
    return;
  }
  control_ = control;
  // The configured ones stay as a last resort, should the list be of replicas that are all gone.
  for (const core::Endpoint& configured : options_.control) {
    if (std::find(control_.begin(), control_.end(), configured) == control_.end()) {
      control_.push_back(configured);
    }
  }
}

// --- Configuration
// -------------------------------------------------------------------------------------------

void Session::on_revision_notice(core::Instant now, const core::Endpoint& from, protocol::Revision revision) {
  newest_known_ = std::max(newest_known_, revision);
  fetch_if_behind(now, from);
}

void Session::on_control_announced(core::Instant now, const core::Endpoint& replica) {
  const bool known = std::find(control_.begin(), control_.end(), replica) != control_.end();
  const bool wanted = !stopped_ && !configuration_proven() && !known && replica.port != 0;
  if (!wanted || control_.size() >= kMostKnownReplicas) {
    return;
  }
  control_.push_back(replica);
  if (!fetched_.has_value() && !asked_enough()) {
    ask_around(now);
  }
}

void Session::fetch_if_behind(core::Instant now, const core::Endpoint& from) {
  if (newest_known_ > configuration_.revision && !fetching_ && !fetched_.has_value()) {
    fetch(now, from);
  }
}

void Session::fetch(core::Instant now, const core::Endpoint& from) {
  if (stopped_) {
    return;
  }
  fetching_ = true;
  next_fetch_ = now + kIdleFetchInterval;
  effects_.emplace_back(
      SendFetch{from, protocol::FetchRequest{options_.daemon, configuration_.revision}, kFetchTimeout});
}

void Session::probe_all() {
  for (const core::Endpoint& replica : control_) {
    const bool known_to_be_up = informants_.contains(replica) || heard_.contains(replica);
    if (known_to_be_up || !probes_.insert(replica).second) {
      continue;
    }
    const protocol::FetchRequest nothing{options_.daemon, std::numeric_limits<protocol::Revision>::max()};
    effects_.emplace_back(SendFetch{replica, nothing, kReplicaProbeTimeout, true});
  }
}

void Session::on_probe_ended(core::Instant now, const core::Endpoint& from, bool answered) {
  probes_.erase(from);
  const bool wanted = !informants_.contains(from) && !asked_enough();
  if (answered && wanted) {
    heard_.insert(from);
    fetch_from_heard(now);
  }
}

void Session::fetch_from_heard(core::Instant now) {
  if (fetching_ || fetched_.has_value() || heard_.empty()) {
    return;
  }
  const core::Endpoint next = *heard_.begin();
  heard_.erase(heard_.begin());
  fetch(now, next);
}

void Session::ask_around(core::Instant now) {
  next_fetch_ = now + kReplicaProbeInterval;
  const bool all_have_told = std::all_of(control_.begin(), control_.end(), [this](const auto& replica) {
    return informants_.contains(replica);
  });
  if (all_have_told) {
    // They know of no control yet, as when a fleet is new, or no majority of it can be asked.
    informants_.clear();
    next_fetch_ = now + kReplicaProbeRest;
    return;
  }
  probe_all();
  fetch_from_heard(now);
}

bool Session::asked_enough() const {
  if (had_lease_) {
    return true;
  }
  const auto told =
      std::count_if(configuration_.controls.begin(), configuration_.controls.end(),
                    [this](const auto& entry) { return informants_.contains(entry.second.internal); });
  return static_cast<std::size_t>(told) > configuration_.controls.size() / 2;
}

core::Endpoint Session::next_fetch_source(core::Instant now) {
  // The leader is known to be there; replicas that are gone would cost a time limit each.
  const bool leader_answers = leader_.has_value() && lease_valid(now) && last_failed_source_ != leader_;
  if (leader_answers) {
    return *leader_;
  }
  next_fetch_source_ = (next_fetch_source_ + 1) % control_.size();
  return control_[next_fetch_source_];
}

void Session::on_fetch_failed(core::Instant now, const core::Endpoint& from) {
  fetching_ = false;
  last_failed_source_ = from;
  next_fetch_ = now + kReplicaRetryPause;
}

core::Duration Session::pause_without_news() const {
  if (!asked_enough()) {
    return kReplicaProbeInterval;
  }
  return newest_known_ > configuration_.revision ? kReplicaRetryPause : kIdleFetchInterval;
}

const protocol::FetchReply* Session::take_fetch_reply(core::Instant now, protocol::FetchReply reply) {
  fetching_ = false;
  const bool newer_snapshot =
      reply.snapshot.has_value() && reply.snapshot->revision > configuration_.revision;
  if (!newer_snapshot) {
    reply.snapshot.reset();
  }
  protocol::Revision reached = newer_snapshot ? reply.snapshot->revision : configuration_.revision;
  std::erase_if(reply.changes, [&reached](const protocol::Change& change) {
    const bool follows = change.revision == reached + 1;
    reached += follows ? 1 : 0;
    return !follows;
  });
  if (reached <= configuration_.revision) {
    // This replica has nothing newer. If another one has, ask around, not in a tight loop.
    next_fetch_ = now + pause_without_news();
    return nullptr;
  }
  fetched_ = std::move(reply);
  return &*fetched_;
}

std::optional<protocol::Configuration> Session::on_fetch_reply(core::Instant now, const core::Endpoint& from,
                                                               protocol::FetchReply reply) {
  on_fetch_answered(from);
  const protocol::FetchReply* fetched = take_fetch_reply(now, std::move(reply));
  if (fetched == nullptr) {
    return std::nullopt;
  }
  protocol::Configuration next = fetched->snapshot ? *fetched->snapshot : configuration_;
  for (const protocol::Change& change : fetched->changes) {
    protocol::apply(next, change);
  }
  return next;
}

void Session::apply_fetched(core::Instant now) {
  if (!fetched_.has_value()) {
    return;
  }
  protocol::FetchReply reply = std::move(*fetched_);
  fetched_.reset();
  if (reply.snapshot.has_value()) {
    configuration_ = std::move(*reply.snapshot);
    budgets_.on_configuration(configuration_);
  }
  // One by one: budgets depend on every revision on the way.
  for (const protocol::Change& change : reply.changes) {
    if (protocol::apply(configuration_, change)) {
      budgets_.on_change(configuration_, change);
    }
  }
  newest_known_ = std::max(newest_known_, configuration_.revision);
  prove_complete();
  if (awaits_followers(configuration_) || waits_for_admission(now)) {
    send_heartbeat(now);
  }
  fetch_if_behind(now, leader_guess());
  if (!asked_enough()) {
    fetch_from_heard(now);
  }
}

/// The leader grants the first lease to a heartbeat that shows that this life's admission is known here.
bool Session::waits_for_admission(core::Instant now) const {
  const auto self = configuration_.daemons.find(options_.daemon);
  const bool admitted =
      self != configuration_.daemons.end() && self->second.incarnation == options_.incarnation;
  return admitted && leader_.has_value() && !lease_valid(now);
}

void Session::drop_fetched(core::Instant now) {
  fetched_.reset();
  next_fetch_ = now + kIdleFetchInterval;
}

// --- The daemon
// ----------------------------------------------------------------------------------------------

bool Session::set_suspicions(core::Instant now, std::vector<protocol::SuspicionReport> suspicions) {
  const bool changed = !same_suspicions(suspicions_, suspicions);
  suspicions_ = std::move(suspicions);
  if (changed && !stopped_) {
    send_heartbeat(now);
  }
  return changed;
}

void Session::set_configured_control(std::vector<core::Endpoint> control) {
  if (control.empty()) {
    return;
  }
  options_.control = std::move(control);
  take_control_list(std::vector<core::Endpoint>(control_));
}

void Session::set_leaving(core::Instant now) {
  if (!leaving_) {
    leaving_ = true;
    send_heartbeat(now);
  }
}

void Session::report_held(const core::DatabaseId& database, std::uint32_t connections) {
  budgets_.report_held(database, connections);
}

void Session::stop() {
  stopped_ = true;
  lease_end_ = {};
}

protocol::Departure Session::departure() const {
  return protocol::Departure{options_.daemon, options_.incarnation};
}

}  // namespace pipitpond::agent
