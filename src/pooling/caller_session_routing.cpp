// Statements outside transactions, and BEGIN: chooses a database that can serve the statement, retries within
// its timeout, and checks that the answer is recent enough.
#include <algorithm>
#include <utility>

#include "pooling/caller_session.hpp"
#include "pooling/waiting.hpp"

namespace pipitpond::pooling {

using boost::asio::awaitable;

namespace {

/// Fraction of its timeout after which a statement without a database is given up, so that the caller has
/// time left to retry.
constexpr int kWaitNumerator = 2;
constexpr int kWaitDenominator = 5;
/// A read that failed at one database may look for another one for this long.
constexpr core::Duration kReadRetryWindow = std::chrono::milliseconds(150);
/// Limit on the runs of a read that keeps failing, including the first.
constexpr std::uint32_t kMaxReadRuns = 3;
/// A failover usually completes within this time of the primary's loss. Statements wait for the new primary
/// until then.
constexpr core::Duration kTypicalFailover = std::chrono::milliseconds(3000);
constexpr core::Duration kBusyPause = std::chrono::milliseconds(10);
constexpr core::Duration kNoBackendPause = std::chrono::milliseconds(15);
constexpr core::Duration kUnconfirmedPrimaryPause = std::chrono::milliseconds(10);
/// Retry hint for a caller whose statement was given up.
constexpr core::Duration kRetryAfter = std::chrono::milliseconds(100);

std::string retry_message(const std::string& reason) {
  return "retry in " + std::to_string(core::to_millis(kRetryAfter)) + " ms: " + reason;
}

/// The primary's log is in doubt although control's lease names it.
bool may_be_shown_fresh(const Backends& backends, const BackendChoice& choice, const StatementReply& reply,
                        core::Instant now) {
  const BackendAddress& address = choice.pool->address();
  return choice.is_primary && kept_log(choice, reply.position) && backends.has_control_lease(now) &&
         backends.is_primary(address.group, address.database);
}

/// Lets the databases show, after a reply of the primary, that its log held every acknowledged write then.
awaitable<bool> is_shown_fresh(Backends& backends, const BackendChoice& choice,
                               std::optional<core::LogPosition> position) {
  const BackendAddress& address = choice.pool->address();
  ShownPrimaryRequest request{address.group, 0,
                              static_cast<std::uint32_t>(core::to_millis(kOwnerProofTimeout))};
  const auto shown = co_await backends.show_primary(std::move(request));
  co_return shown&& shown.value().primary ==
      address.database&& position.value_or(core::LogPosition{}) >= shown.value().position;
}

core::Duration time_left(core::Instant deadline, core::Instant now) {
  return std::max(core::Duration::zero(), deadline - now);
}

}  // namespace

std::optional<CallerSession::PendingStatement> CallerSession::begin_statement(Statement statement) const {
  auto route = services_.routes.find(database_);
  if (!route) {
    return std::nullopt;
  }
  PendingStatement pending;
  const core::Duration timeout = std::chrono::milliseconds(route->timeout_ms);
  pending.started = core::BootClock::now();
  pending.trace = RequestTrace(pending.started);
  pending.deadline = pending.started + timeout;
  pending.wait_deadline = pending.started + timeout * kWaitNumerator / kWaitDenominator;
  if (route->goal_ms > 0) {
    pending.goal = pending.started + std::chrono::milliseconds(route->goal_ms);
  }
  pending.needs_primary = route->kind == protocol::RouteKind::kPrimary || may_write(statement) ||
                          statement.kind == StatementKind::kBegin;
  pending.route = std::move(*route);
  pending.statement = std::move(statement);
  pending.last_failure = Failure{FailureCode::kBusy, "no database can serve it now"};
  return pending;
}

awaitable<StatementReply> CallerSession::run_outside_transaction(Statement statement) {
  auto pending = begin_statement(std::move(statement));
  if (!pending) {
    co_return failed_reply(FailureCode::kUnknownDatabase, database_, TransactionState::kIdle);
  }
  auto refusal = co_await check_admission(*pending);
  if (refusal) {
    log_trace(*pending, *refusal);
    co_return std::move(*refusal);
  }
  StatementReply reply = co_await run_until_answered(*pending);
  give_back_if_not_run(*pending, reply);
  log_trace(*pending, reply);
  co_return reply;
}

awaitable<StatementReply> CallerSession::run_until_answered(PendingStatement& pending) {
  while (true) {
    auto reply = co_await attempt(pending);
    if (reply) {
      co_return std::move(*reply);
    }
    const core::Instant now = core::BootClock::now();
    // A failover that exceeds its usual time tends to take long, so further waiting is of no use.
    const bool failover_overdue =
        services_.backends.without_primary(pending.route.group, now) >= kTypicalFailover;
    if (now >= pending.wait_deadline || failover_overdue) {
      co_return give_up(pending);
    }
    if (pending.retry_delay > core::Duration::zero()) {
      co_await pause_for(services_.io, std::min(pending.retry_delay, pending.wait_deadline - now));
      pending.retry_delay = core::Duration::zero();
    }
  }
}

/// Records the statement's time, and logs the trace of failures and of answers later than the route's goal.
/// Errors that are answered before a route is found leave no trace.
void CallerSession::log_trace(const PendingStatement& pending, const StatementReply& reply) const {
  const core::Instant now = core::BootClock::now();
  const core::Duration goal = std::chrono::milliseconds(pending.route.goal_ms);
  const bool late = goal > core::Duration::zero() && pending.trace.elapsed(now) > goal;
  services_.times.observe(pending.route.kind, !reply.failure, pending.trace.elapsed(now));
  if (!reply.failure && !late) {
    return;
  }
  const TraceSubject subject{pending.statement.id, pending.route.name, pending.route.group,
                             services_.routes.version(), services_.backends.revision()};
  pending.trace.write(now, subject, reply);
}

StatementReply CallerSession::give_up(const PendingStatement& pending) const {
  ++services_.counters.given_up;
  Failure failure = pending.last_failure;
  if (guarantees_not_run(failure.code)) {
    failure = Failure{FailureCode::kBusy, retry_message(failure.text)};
  }
  return failed_reply(failure.code, failure.text, TransactionState::kIdle);
}

BackendRequirement CallerSession::need_of(const PendingStatement& pending, core::Instant now) const {
  BackendRequirement need;
  need.primary = pending.needs_primary;
  need.avoided = pending.avoided;
  if (pending.route.kind == protocol::RouteKind::kPrimary) {
    return need;
  }
  const core::Duration staleness = std::chrono::milliseconds(pending.route.max_staleness_ms);
  need.after = services_.backends.position_for(pending.route.group, staleness, now);
  const auto own_write = own_write_positions_.find(pending.route.group);
  const bool needs_own_writes =
      pending.route.kind == protocol::RouteKind::kSession && own_write != own_write_positions_.end();
  if (need.after && needs_own_writes) {
    need.after = std::max(*need.after, own_write->second);
  }
  return need;
}

bool CallerSession::lacks_position(const PendingStatement& pending, const BackendRequirement& need) {
  return !need.primary && !need.after && !may_write(pending.statement);
}

/// The outcome of a write is better known than unknown: it is not sent while nothing could confirm it.
const char* CallerSession::reason_to_hold_write_back(const core::GroupName& group, core::Instant now) {
  if (services_.backends.may_confirm_writes(group, now)) {
    return nullptr;
  }
  services_.backends.request_primary_proof(group, now, now);
  return "the primary is not certain";
}

/// Without a known position, only the primary can serve a read or begin a transaction. One such read at a
/// time fetches the position for all. Without a lease from control the primary may have been replaced, so the
/// databases are first asked which of them is the primary.
const char* CallerSession::reason_to_wait(const PendingStatement& pending, const BackendRequirement& need,
                                          core::Instant now) {
  const core::GroupName& group = pending.route.group;
  if (may_write(pending.statement)) {
    return reason_to_hold_write_back(group, now);
  }
  if (need.after) {
    return nullptr;
  }
  if (services_.backends.primary_proven_since(group, pending.started)) {
    return nullptr;
  }
  if (!services_.backends.has_control_lease(now)) {
    services_.backends.request_primary_proof(group, pending.started, now);
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

// A separate function because GCC 12 destroys a temporary of such an initializer twice in a coroutine.
ConnectionRequest CallerSession::connection_request(const PendingStatement& pending) const {
  ConnectionRequest request;
  request.priority = pending.route.priority;
  request.deadline = pending.wait_deadline;
  request.session = &session_;
  request.goal = pending.goal;
  request.tenant = pending.access.tenant;
  request.since = pending.started;
  return request;
}

awaitable<std::optional<StatementReply>> CallerSession::attempt(PendingStatement& pending) {
  if (lacks_position(pending, need_of(pending, core::BootClock::now() + pending.max_connection_wait))) {
    co_await services_.backends.request_position(pending.route.group,
                                                 std::chrono::milliseconds(pending.route.max_staleness_ms));
  }
  const core::Instant now = core::BootClock::now();
  if (auto refusal = check_caller_key(pending)) {
    co_return refusal;  // The statement may have waited for long since it was admitted.
  }
  const BackendRequirement need = need_of(pending, now + pending.max_connection_wait);
  if (const char* reason = reason_to_wait(pending, need, now)) {
    pending.trace.add(now, TraceStep{{}, TraceEvent::kWaits, {}, 0, {}, reason});
    pending.last_failure = Failure{FailureCode::kBusy, reason};
    pending.retry_delay = kUnconfirmedPrimaryPause;
    co_return std::nullopt;
  }
  auto choice = services_.backends.choose(pending.route.group, need, now);
  if (!choice) {
    pending.trace.add(now, TraceStep{{}, TraceEvent::kNoBackend, {}, 0, {}, pending.last_failure.text});
    pending.avoided.clear();
    pending.retry_delay = kNoBackendPause;
    co_return std::nullopt;
  }
  const ConnectionRequest request = connection_request(pending);
  auto lease = co_await services_.backends.acquire(*choice, request);
  if (!lease) {
    pending.last_failure = Failure{FailureCode::kBusy, lease.error().message};
    pending.trace.add(core::BootClock::now(),
                      step_at(*choice, TraceEvent::kNoConnection, lease.error().message));
    pending.avoided.insert(choice->pool->address().database);
    pending.retry_delay = choice->is_primary ? kBusyPause : core::Duration::zero();
    co_return std::nullopt;
  }
  co_return co_await attempt_at(pending, std::move(*choice), std::move(lease.value()));
}

awaitable<std::optional<StatementReply>> CallerSession::attempt_at(PendingStatement& pending,
                                                                   BackendChoice choice,
                                                                   std::unique_ptr<StatementLease> lease) {
  const core::Instant sent = core::BootClock::now();
  // The wait for a connection may have been long and may continue at another daemon, so the position that
  // satisfied the staleness bound when the database was chosen may be too old when the statement runs.
  if (auto refusal = check_caller_key(pending)) {
    co_return refusal;
  }
  const BackendRequirement need = need_of(pending, sent + lease->max_connection_wait());
  if (!choice.is_primary && lacks_position(pending, need)) {
    // A replica's answer would not be provably recent. The next attempt allows for such a wait.
    pending.max_connection_wait = lease->max_connection_wait();
    co_return std::nullopt;
  }
  BackendStatement statement{pending.statement, {}};
  if (!may_write(pending.statement)) {
    statement.after = need.after;
    pending.after = need.after;
  }
  TraceStep sending = step_at(choice, TraceEvent::kSent, choice.is_primary ? "primary" : "replica");
  sending.after = statement.after;
  pending.trace.add(sent, std::move(sending));
  auto result = co_await lease->run(session_, std::move(statement), time_left(pending.deadline, sent));
  const core::Instant now = core::BootClock::now();
  if (!result) {
    co_return on_attempt_lost(pending, choice, result.error());
  }
  StatementReply reply = std::move(result.value());
  pending.may_have_run |= !reply.failure || !guarantees_not_run(reply.failure->code);
  if (reply.position) {
    services_.backends.note_position(pending.route.group, choice, sent, now, *reply.position);
  }
  if (reply.failure) {
    if (reply.failure->code == FailureCode::kNoStatement) {
      lease->discard();  // The connection's prepared statements differ from its recorded state.
    }
    co_return on_attempt_failed(pending, choice, std::move(reply));
  }
  if (may_write(pending.statement)) {
    lease.reset();  // Others may use the connection while the write awaits its confirmation.
    AcknowledgedWrite write{pending.route.group, choice, now, reply.position};
    co_return co_await confirm_write(std::move(write), sent, std::move(reply), pending.deadline);
  }
  bool is_fresh = is_proven_fresh(pending, choice, need, reply, now);
  if (!is_fresh && may_be_shown_fresh(services_.backends, choice, reply, now)) {
    is_fresh = co_await is_shown_fresh(services_.backends, choice, reply.position);
  }
  if (!is_fresh) {
    on_not_proven_fresh(pending, choice, reply, now);
    if (begins_transaction(pending.statement)) {
      lease->discard();
    }
    co_return std::nullopt;
  }
  co_return accept_reply(pending, choice, std::move(lease), std::move(reply));
}

/// A read is fresh if the database had to reach a required position. On routes whose reads must see every
/// write only the primary qualifies, as confirmed by control's lease or by the databases after the read
/// arrived, and only with the log that it was known to have.
bool CallerSession::is_proven_fresh(const PendingStatement& pending, const BackendChoice& choice,
                                    const BackendRequirement& need, const StatementReply& reply,
                                    core::Instant now) const {
  const bool by_position = pending.route.kind != protocol::RouteKind::kPrimary && need.after.has_value();
  const Backends& backends = services_.backends;
  const core::GroupName& group = pending.route.group;
  const bool confirmed = choice.is_primary && backends.is_primary(group, choice.pool->address().database) &&
                         backends.primary_proven_since(group, pending.started) &&
                         kept_log(choice, reply.position);
  return by_position || confirmed || backends.is_certain_primary(group, choice, reply.position, now);
}

void CallerSession::on_not_proven_fresh(PendingStatement& pending, const BackendChoice& choice,
                                        const StatementReply& reply, core::Instant now) {
  pending.last_failure = Failure{FailureCode::kBusy, "the primary is not certain"};
  pending.trace.add(now, step_at(choice, TraceEvent::kNotCertain, "no lease, a newer term, or a lost log"));
  pending.retry_delay = kNoBackendPause;
  const bool is_empty = reply.position && reply.position->index == 0;
  if (is_empty && services_.backends.is_chosen_primary(pending.route.group, choice) &&
      services_.backends.has_control_lease(now) && !kept_log(choice, reply.position)) {
    choice.pool->health().on_log_lost();
  }
}

std::optional<StatementReply> CallerSession::on_attempt_lost(PendingStatement& pending,
                                                             const BackendChoice& choice,
                                                             const core::Error& error) {
  const core::Instant now = core::BootClock::now();
  pending.avoided.insert(choice.pool->address().database);
  pending.last_failure = Failure{FailureCode::kBusy, error.message};
  pending.trace.add(now, step_at(choice, TraceEvent::kLost, error.message));
  if (error.kind == core::ErrorKind::kConnectionRefused) {
    return std::nullopt;
  }
  pending.may_have_run = true;
  if (may_write(pending.statement)) {
    return failed_reply(FailureCode::kUnsure, error.message, TransactionState::kIdle);
  }
  const bool timed_out = error.kind == core::ErrorKind::kTimeout || now >= pending.deadline;
  if (timed_out || ++pending.failed_reads >= kMaxReadRuns) {
    const FailureCode code = timed_out ? FailureCode::kTimeout : FailureCode::kAborted;
    return failed_reply(code, error.message, TransactionState::kIdle);
  }
  ++services_.counters.retried;
  pending.wait_deadline = std::min(pending.deadline, std::max(pending.wait_deadline, now + kReadRetryWindow));
  return std::nullopt;
}

std::optional<StatementReply> CallerSession::on_attempt_failed(PendingStatement& pending,
                                                               const BackendChoice& choice,
                                                               StatementReply reply) {
  BackendPool& pool = *choice.pool;
  pending.last_failure = *reply.failure;
  const FailureCode code = reply.failure->code;
  pending.trace.add(
      core::BootClock::now(),
      step_at(choice, guarantees_not_run(code) ? TraceEvent::kNotRun : TraceEvent::kFailed, to_string(code)));
  if (code == FailureCode::kBehind) {
    pool.reach().note_lacking(core::BootClock::now(), pending.after.value_or(core::LogPosition{}));
  }
  if (code == FailureCode::kReadOnly && choice.is_primary) {
    pool.health().on_refused_write();
  }
  if (guarantees_not_run(code)) {
    ++services_.counters.retried;
    if (choice.is_primary) {
      pending.retry_delay = code == FailureCode::kReadOnly ? kNoBackendPause : kBusyPause;
    } else {
      pending.avoided.insert(pool.address().database);
    }
    return std::nullopt;
  }
  const bool ran_and_failed = code == FailureCode::kFailed || code == FailureCode::kTimeout;
  const bool may_retry =
      ran_and_failed && !may_write(pending.statement) && ++pending.failed_reads < kMaxReadRuns;
  if (may_retry) {
    ++services_.counters.retried;
    pending.avoided.insert(pool.address().database);
    pending.wait_deadline = std::min(
        pending.deadline, std::max(pending.wait_deadline, core::BootClock::now() + kReadRetryWindow));
    return std::nullopt;
  }
  reply.state = TransactionState::kIdle;
  return reply;
}

StatementReply CallerSession::accept_reply(const PendingStatement& pending, const BackendChoice& choice,
                                           std::unique_ptr<StatementLease> lease, StatementReply reply) {
  if (pending.after) {
    choice.pool->reach().note_reached(*pending.after);
  }
  if (!begins_transaction(pending.statement)) {
    ++(choice.is_primary ? services_.counters.reads_at_primaries : services_.counters.reads_at_replicas);
  }
  if (begins_transaction(pending.statement)) {
    transaction_.emplace(pending.route, pending.access.tenant, choice, std::move(lease));
  }
  return reply;
}

awaitable<StatementReply> CallerSession::confirm_write(AcknowledgedWrite write, core::Instant sent,
                                                       StatementReply reply, core::Instant deadline) {
  Backends& backends = services_.backends;
  while (true) {
    const core::Instant now = core::BootClock::now();
    const WriteDurability durability = backends.write_durability(write, now);
    if (durability == WriteDurability::kDurable) {
      if (reply.position) {
        backends.note_acknowledged_write(write.group, write.choice, sent, *reply.position);
      }
      note_own_write(write.group, reply);
      co_return reply;
    }
    const bool failover_overdue = backends.without_primary(write.group, now) >= kTypicalFailover;
    if (durability == WriteDurability::kUncertain || failover_overdue || now >= deadline) {
      ++services_.counters.writes_unconfirmed;
      co_return failed_reply(FailureCode::kUnsure, "a failover may have dropped it", reply.state);
    }
    backends.request_write_proof(write, now);
    co_await pause_for(services_.io, std::min(kUnconfirmedPrimaryPause, deadline - now));
  }
}

void CallerSession::note_own_write(const core::GroupName& group, const StatementReply& reply) {
  if (reply.position) {
    core::LogPosition& newest = own_write_positions_[group];
    newest = std::max(newest, *reply.position);
  }
}

}  // namespace pipitpond::pooling
