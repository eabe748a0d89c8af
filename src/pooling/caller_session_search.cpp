// The first statement of a caller's session, or the begin of a transaction: seeks a database that can serve
// it, again and again within its time, and judges the answer.
#include <algorithm>
#include <utility>

#include "pooling/caller_session.hpp"
#include "pooling/waiting.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// A statement that finds no database is given up after this part of its time, so that its caller has time
/// left to come back: numerator and denominator.
constexpr int kWaitingShareNumerator = 2;
constexpr int kWaitingShareDenominator = 5;
/// A read that failed at one database may still seek another one for this long.
constexpr core::Duration kSecondSearch = std::chrono::milliseconds(150);
/// Reads that ran and failed are run this often in all.
constexpr std::uint32_t kReadAttempts = 3;
/// Statements wait for a new primary while one may be expected within this time of the old one's loss.
constexpr core::Duration kUsualPrimaryChange = std::chrono::milliseconds(3000);
constexpr core::Duration kBusyPause = std::chrono::milliseconds(10);
constexpr core::Duration kNoBackendPause = std::chrono::milliseconds(15);
constexpr core::Duration kCertaintyPause = std::chrono::milliseconds(10);
/// When a caller may come back after its statement was given up.
constexpr core::Duration kComeBackAfter = std::chrono::milliseconds(100);

std::string come_back_text(const std::string& reason) {
  return "retry in " + std::to_string(core::to_millis(kComeBackAfter)) + " ms: " + reason;
}

core::Duration time_left(core::Instant deadline, core::Instant now) {
  return std::max(core::Duration::zero(), deadline - now);
}

}  // namespace

std::optional<CallerSession::Search> CallerSession::begin_search(Statement statement) const {
  auto route = services_.routes.find(database_);
  if (!route) {
    return std::nullopt;
  }
  Search search;
  const core::Duration timeout = std::chrono::milliseconds(route->timeout_ms);
  search.started = core::BootClock::now();
  search.trace = RequestTrace(search.started);
  search.deadline = search.started + timeout;
  search.stop_waiting = search.started + timeout * kWaitingShareNumerator / kWaitingShareDenominator;
  if (route->goal_ms > 0) {
    search.goal = search.started + std::chrono::milliseconds(route->goal_ms);
  }
  search.needs_primary = route->kind == protocol::RouteKind::kPrimary || may_write(statement) ||
                         statement.kind == StatementKind::kBegin;
  search.route = std::move(*route);
  search.statement = std::move(statement);
  search.last_failure = Failure{FailureCode::kBusy, "no database can serve it now"};
  return search;
}

awaitable<StatementReply> CallerSession::run_outside_transaction(Statement statement) {
  auto search = begin_search(std::move(statement));
  if (!search) {
    co_return failed_reply(FailureCode::kUnknownDatabase, database_, TransactionState::kIdle);
  }
  auto refusal = co_await refuse_or_admit(*search);
  if (refusal) {
    write_trace(*search, *refusal);
    co_return std::move(*refusal);
  }
  StatementReply reply = co_await search_until_answered(*search);
  give_back_if_not_run(*search, reply);
  write_trace(*search, reply);
  co_return reply;
}

awaitable<StatementReply> CallerSession::search_until_answered(Search& search) {
  while (true) {
    auto reply = co_await attempt(search);
    if (reply) {
      co_return std::move(*reply);
    }
    const core::Instant now = core::BootClock::now();
    // A change of primary is soon over, or takes long: waiting on helps nobody then.
    const bool hopeless = services_.backends.without_primary(search.route.group, now) >= kUsualPrimaryChange;
    if (now >= search.stop_waiting || hopeless) {
      co_return give_up(search);
    }
    if (search.pause > core::Duration::zero()) {
      co_await pause_for(services_.io, std::min(search.pause, search.stop_waiting - now));
      search.pause = core::Duration::zero();
    }
  }
}

/// Failures, and answers that came later than the route's goal. What only the caller got wrong is not told.
void CallerSession::write_trace(const Search& search, const StatementReply& reply) const {
  const core::Instant now = core::BootClock::now();
  const core::Duration goal = std::chrono::milliseconds(search.route.goal_ms);
  const bool late = goal > core::Duration::zero() && search.trace.taken(now) > goal;
  services_.times.observe(search.route.kind, !reply.failure, search.trace.taken(now));
  if (!reply.failure && !late) {
    return;
  }
  const TraceSubject subject{search.statement.id, search.route.name, search.route.group,
                             services_.routes.version(), services_.backends.revision()};
  search.trace.write(now, subject, reply);
}

StatementReply CallerSession::give_up(const Search& search) const {
  ++services_.counters.given_up;
  Failure failure = search.last_failure;
  if (guarantees_not_run(failure.code)) {
    failure = Failure{FailureCode::kBusy, come_back_text(failure.text)};
  }
  return failed_reply(failure.code, failure.text, TransactionState::kIdle);
}

BackendRequirement CallerSession::need_of(const Search& search, core::Instant now) const {
  BackendRequirement need;
  need.primary = search.needs_primary;
  need.avoided = search.avoided;
  if (search.route.kind == protocol::RouteKind::kPrimary) {
    return need;
  }
  const core::Duration staleness = std::chrono::milliseconds(search.route.max_staleness_ms);
  need.after = services_.backends.position_for(search.route.group, staleness, now);
  const bool own_matters = search.route.kind == protocol::RouteKind::kSession && own_position_.has_value();
  if (need.after && own_matters) {
    need.after = std::max(*need.after, *own_position_);
  }
  return need;
}

bool CallerSession::lacks_position(const Search& search, const BackendRequirement& need) {
  return !need.primary && !need.after && !may_write(search.statement);
}

/// Only the primary can serve a read, or begin a transaction, for which no position is known. One such read
/// at a time gives the position for all. Without a lease the primary's answer would not be certain, so that
/// the databases are asked first who it is.
const char* CallerSession::reason_to_wait(const Search& search, const BackendRequirement& need,
                                          core::Instant now) {
  if (may_write(search.statement) || need.after) {
    return nullptr;
  }
  const core::GroupName& group = search.route.group;
  if (services_.backends.primary_proven_since(group, search.started)) {
    return nullptr;
  }
  if (!services_.backends.has_control_lease(now)) {
    services_.backends.request_primary_proof(group, search.started, now);
    return "the primary is not certain";
  }
  if (!need.primary && services_.backends.awaits_position(group)) {
    return "an owner was asked for the primary's position";
  }
  if (!need.primary && !services_.backends.begin_position_refresh(group, now)) {
    return "another read asks for the primary's position";
  }
  return nullptr;
}

// Not part of the coroutine: GCC 12 destroys a temporary of such an initializer twice there.
ConnectionRequest CallerSession::connection_request(const Search& search) const {
  ConnectionRequest request;
  request.priority = search.route.priority;
  request.deadline = search.stop_waiting;
  request.session = &session_;
  request.goal = search.goal;
  request.tenant = search.access.tenant;
  request.since = search.started;
  return request;
}

awaitable<std::optional<StatementReply>> CallerSession::attempt(Search& search) {
  if (lacks_position(search, need_of(search, core::BootClock::now() + search.max_connection_wait))) {
    co_await services_.backends.request_position(search.route.group,
                                                 std::chrono::milliseconds(search.route.max_staleness_ms));
  }
  const core::Instant now = core::BootClock::now();
  if (auto refusal = refuse_key(search)) {
    co_return refusal;  // It may have waited for long since it was admitted.
  }
  const BackendRequirement need = need_of(search, now + search.max_connection_wait);
  if (const char* reason = reason_to_wait(search, need, now)) {
    search.trace.add(now, TraceStep{{}, TraceEvent::kWaits, {}, 0, {}, reason});
    search.last_failure = Failure{FailureCode::kBusy, reason};
    search.pause = kCertaintyPause;
    co_return std::nullopt;
  }
  auto choice = services_.backends.choose(search.route.group, need, now);
  if (!choice) {
    search.trace.add(now, TraceStep{{}, TraceEvent::kNoBackend, {}, 0, {}, search.last_failure.text});
    search.avoided.clear();
    search.pause = kNoBackendPause;
    co_return std::nullopt;
  }
  const ConnectionRequest request = connection_request(search);
  auto lease = co_await services_.backends.acquire(*choice, request);
  if (!lease) {
    search.last_failure = Failure{FailureCode::kBusy, lease.error().message};
    search.trace.add(core::BootClock::now(),
                     step_at(*choice, TraceEvent::kNoConnection, lease.error().message));
    search.avoided.insert(choice->pool->address().database);
    search.pause = choice->is_primary ? kBusyPause : core::Duration::zero();
    co_return std::nullopt;
  }
  co_return co_await attempt_at(search, std::move(*choice), std::move(lease.value()));
}

awaitable<std::optional<StatementReply>> CallerSession::attempt_at(Search& search, BackendChoice choice,
                                                                   std::unique_ptr<StatementLease> lease) {
  const core::Instant sent = core::BootClock::now();
  // The wait for the connection may have been long, and may go on: what was fresh enough when the database
  // was chosen may not be any more when the statement runs.
  if (auto refusal = refuse_key(search)) {
    co_return refusal;
  }
  const BackendRequirement need = need_of(search, sent + lease->max_connection_wait());
  if (!choice.is_primary && lacks_position(search, need)) {
    // A replica's answer would prove nothing. The next attempt leaves room for such a wait.
    search.max_connection_wait = lease->max_connection_wait();
    co_return std::nullopt;
  }
  BackendStatement statement{search.statement, {}};
  if (!may_write(search.statement)) {
    statement.after = need.after;
    search.after = need.after;
  }
  TraceStep sending = step_at(choice, TraceEvent::kSent, choice.is_primary ? "primary" : "replica");
  sending.after = statement.after;
  search.trace.add(sent, std::move(sending));
  auto ran = co_await lease->run(session_, std::move(statement), time_left(search.deadline, sent));
  const core::Instant now = core::BootClock::now();
  if (!ran) {
    co_return on_lost(search, choice, ran.error());
  }
  StatementReply reply = std::move(ran.value());
  search.may_have_run |= !reply.failure || !guarantees_not_run(reply.failure->code);
  if (reply.position) {
    services_.backends.note_position(search.route.group, choice, sent, now, *reply.position);
  }
  if (reply.position && !reply.failure && may_write(search.statement)) {
    services_.backends.note_acknowledged_write(search.route.group, choice, sent, *reply.position);
  }
  if (reply.failure) {
    if (reply.failure->code == FailureCode::kNoStatement) {
      lease->discard();  // The connection does not know a name that it was given.
    }
    co_return on_failure(search, choice, std::move(reply));
  }
  if (!may_write(search.statement) && !is_proven_fresh(search, choice, need, now)) {
    search.last_failure = Failure{FailureCode::kBusy, "the primary is not certain"};
    search.trace.add(now, step_at(choice, TraceEvent::kNotCertain, "no lease, or a newer term"));
    search.pause = kNoBackendPause;
    if (begins_transaction(search.statement)) {
      lease->discard();
    }
    co_return std::nullopt;
  }
  co_return accept(search, choice, std::move(lease), std::move(reply));
}

/// A position that the database had to reach makes a read fresh, but for routes whose reads must see every
/// write: there only the primary will do. That it is one is known by control's lease, or was shown by the
/// databases after the read was asked for.
bool CallerSession::is_proven_fresh(const Search& search, const BackendChoice& choice,
                                    const BackendRequirement& need, core::Instant now) const {
  const bool by_position = search.route.kind != protocol::RouteKind::kPrimary && need.after.has_value();
  const Backends& backends = services_.backends;
  const core::GroupName& group = search.route.group;
  const bool shown = choice.is_primary && backends.is_primary(group, choice.pool->address().database) &&
                     backends.primary_proven_since(group, search.started);
  return by_position || shown || backends.is_certain_primary(group, choice, now);
}

std::optional<StatementReply> CallerSession::on_lost(Search& search, const BackendChoice& choice,
                                                     const core::Error& error) {
  const core::Instant now = core::BootClock::now();
  search.avoided.insert(choice.pool->address().database);
  search.last_failure = Failure{FailureCode::kBusy, error.message};
  search.trace.add(now, step_at(choice, TraceEvent::kLost, error.message));
  if (error.kind == core::ErrorKind::kConnectionRefused) {
    return std::nullopt;
  }
  search.may_have_run = true;
  if (may_write(search.statement)) {
    return failed_reply(FailureCode::kUnsure, error.message, TransactionState::kIdle);
  }
  const bool timed_out = error.kind == core::ErrorKind::kTimeout || now >= search.deadline;
  if (timed_out || ++search.failed_reads >= kReadAttempts) {
    const FailureCode code = timed_out ? FailureCode::kTimeout : FailureCode::kAborted;
    return failed_reply(code, error.message, TransactionState::kIdle);
  }
  ++services_.counters.retried;
  search.stop_waiting = std::min(search.deadline, std::max(search.stop_waiting, now + kSecondSearch));
  return std::nullopt;
}

std::optional<StatementReply> CallerSession::on_failure(Search& search, const BackendChoice& choice,
                                                        StatementReply reply) {
  BackendPool& pool = *choice.pool;
  search.last_failure = *reply.failure;
  const FailureCode code = reply.failure->code;
  search.trace.add(
      core::BootClock::now(),
      step_at(choice, guarantees_not_run(code) ? TraceEvent::kNotRun : TraceEvent::kFailed, to_string(code)));
  if (code == FailureCode::kBehind) {
    pool.reach().note_lacking(core::BootClock::now(), search.after.value_or(core::LogPosition{}));
  }
  if (code == FailureCode::kReadOnly && choice.is_primary) {
    pool.health().on_refused_write();
  }
  if (guarantees_not_run(code)) {
    ++services_.counters.retried;
    if (choice.is_primary) {
      search.pause = code == FailureCode::kReadOnly ? kNoBackendPause : kBusyPause;
    } else {
      search.avoided.insert(pool.address().database);
    }
    return std::nullopt;
  }
  const bool ran_and_failed = code == FailureCode::kFailed || code == FailureCode::kTimeout;
  const bool again = ran_and_failed && !may_write(search.statement) && ++search.failed_reads < kReadAttempts;
  if (again) {
    ++services_.counters.retried;
    search.avoided.insert(pool.address().database);
    search.stop_waiting =
        std::min(search.deadline, std::max(search.stop_waiting, core::BootClock::now() + kSecondSearch));
    return std::nullopt;
  }
  reply.state = TransactionState::kIdle;
  return reply;
}

StatementReply CallerSession::accept(const Search& search, const BackendChoice& choice,
                                     std::unique_ptr<StatementLease> lease, StatementReply reply) {
  if (search.after) {
    choice.pool->reach().note_reached(*search.after);
  }
  if (may_write(search.statement)) {
    note_own_position(reply);
  } else if (!begins_transaction(search.statement)) {
    ++(choice.is_primary ? services_.counters.reads_at_primaries : services_.counters.reads_at_replicas);
  }
  if (begins_transaction(search.statement)) {
    transaction_.emplace(search.route, search.access.tenant, choice, std::move(lease));
  }
  return reply;
}

void CallerSession::note_own_position(const StatementReply& reply) {
  if (reply.position) {
    own_position_ = own_position_ ? std::max(*own_position_, *reply.position) : *reply.position;
  }
}

}  // namespace pipitpond::pooling
