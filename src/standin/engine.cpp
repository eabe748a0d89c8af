#include "standin/engine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pipitpond::standin {
namespace {

constexpr core::Duration kKeySweepInterval = std::chrono::seconds(5);

}  // namespace

Engine::Engine(EngineOptions options, DurableState state, Now now)
    : options_(std::move(options)),
      random_(options_.seed),
      promise_(std::move(state.promise)),
      log_(std::move(state.entries)),
      synced_index_(log_.last().index),
      committed_(state.committed) {
  apply_up_to(committed_);
  if (promise_.primary) {
    become_primary(now);
  }
}

void Engine::handle(Now now, CallId call, ConnectionId connection, const Request& request) {
  latest_ = now.instant;
  begin_call(call, connection, now.instant);
  dispatch(now, call, connection, request);
  advance(now);
}

void Engine::dispatch(Now now, CallId call, ConnectionId connection, const Request& request) {
  if (std::holds_alternative<StatusRequest>(request)) {
    answer(call, status(now.instant));
  } else if (std::holds_alternative<database::ConnectRequest>(request)) {
    connect(now, call, connection);
  } else if (const auto* execute_request = std::get_if<database::ExecuteRequest>(&request)) {
    execute(now, call, connection, *execute_request);
  } else if (const auto* begin_request = std::get_if<database::BeginRequest>(&request)) {
    begin(call, connection, *begin_request);
  } else if (const auto* commit_request = std::get_if<database::CommitRequest>(&request)) {
    commit(now, call, connection, *commit_request);
  } else if (const auto* rollback_request = std::get_if<database::RollbackRequest>(&request)) {
    rollback(call, connection, *rollback_request);
  } else if (const auto* key_request = std::get_if<database::KeyRequest>(&request)) {
    resolve_key(now, call, *key_request);
  } else if (const auto* fence_request = std::get_if<database::FenceRequest>(&request)) {
    fence(call, *fence_request);
  } else if (const auto* promote_request = std::get_if<database::PromoteRequest>(&request)) {
    promote(now, call, *promote_request);
  } else if (const auto* replicate_request = std::get_if<database::ReplicateRequest>(&request)) {
    replicate(now, call, *replicate_request);
  } else if (const auto* drain_request = std::get_if<database::DrainRequest>(&request)) {
    leaving_ = drain_request->leaving;
    answer(call, status(now.instant));
  } else if (const auto* log_request = std::get_if<LogRequest>(&request)) {
    constexpr std::size_t kMaxLogEntries = 5000;
    constexpr std::size_t kMaxLogBytes = 8UL * 1024 * 1024;
    answer(call, database::LogAnswer{options_.database, log_.position(committed_),
                                     log_.copy(log_request->from, kMaxLogEntries, kMaxLogBytes)});
  }
}

void Engine::connect(Now now, CallId call, ConnectionId connection) {
  if (!connections_.open(connection, now.instant, options_.connection_limit)) {
    ++counters_.connections_over_limit;
    constexpr std::uint32_t kRetryAfterMs = 1000;
    refuse(call, {},
           {core::ErrorKind::kNoCapacity, core::Outcome::kNotRun, "The connection limit is reached.",
            kRetryAfterMs});
    return;
  }
  ++counters_.connections_opened;
  counters_.greatest_connections =
      std::max<std::uint64_t>(counters_.greatest_connections, connections_.size());
  begin_call(call, connection, now.instant);
  timers_.emplace(now.instant + options_.connection_cost, Timer{TimerKind::kConnected, call});
}

void Engine::connection_closed(Now now, ConnectionId connection) {
  connections_.close(connection);
  std::erase_if(calls_, [connection](const auto& call) { return call.second == connection; });
  std::erase_if(parked_reads_,
                [connection](const ParkedRead& read) { return read.execution.connection == connection; });
  advance(now);
}

void Engine::tick(Now now) {
  advance(now);
}

void Engine::synced(Now now, std::uint64_t disk_sequence) {
  synced_sequence_ = std::max(synced_sequence_, disk_sequence);
  while (!unsynced_indexes_.empty() && unsynced_indexes_.front().first <= synced_sequence_) {
    synced_index_ = unsynced_indexes_.front().second;
    unsynced_indexes_.pop_front();
  }
  while (!unsynced_answers_.empty() && unsynced_answers_.front().disk_sequence <= synced_sequence_) {
    auto& ready = unsynced_answers_.front().answer;
    answer(ready.call, std::move(ready.response));
    unsynced_answers_.pop_front();
  }
  advance(now);
}

void Engine::replicate_answered(Now now, const core::DatabaseId& peer, std::uint64_t sequence,
                                const Response& response) {
  if (const auto* accepted = std::get_if<database::ReplicateAnswer>(&response)) {
    if (replication_ && accepted->term == promise_.term) {
      replication_->answered(now.instant, *accepted, sequence, log_);
    }
  } else if (const auto* error = std::get_if<database::DatabaseError>(&response)) {
    if (error->term > promise_.term) {
      // A peer promised a later term, which control had committed before: this term is over.
      promise(error->term);
    } else if (replication_) {
      replication_->failed(now.instant, peer, sequence);
    }
  }
  advance(now);
}

void Engine::replicate_failed(Now now, const core::DatabaseId& peer, std::uint64_t sequence) {
  if (replication_) {
    replication_->failed(now.instant, peer, sequence);
  }
  advance(now);
}

Effects Engine::take_effects() {
  effects_.disk_sequence = disk_sequence_;
  return std::exchange(effects_, Effects{});
}

std::optional<core::Instant> Engine::next_wakeup() const {
  std::optional<core::Instant> next;
  const auto consider = [&next](core::Instant at) { next = next ? std::min(*next, at) : at; };
  if (!timers_.empty()) {
    consider(timers_.begin()->first);
  }
  if (!scheduled_applies_.empty()) {
    consider(scheduled_applies_.front().at);
  }
  for (const auto& read : parked_reads_) {
    consider(read.deadline);
  }
  if (replication_) {
    if (const auto at = replication_->next_wakeup()) {
      consider(*at);
    }
  }
  if (options_.idle_timeout > core::Duration::zero()) {
    if (const auto at = connections_.next_idle(options_.idle_timeout)) {
      consider(*at);
    }
  }
  return next;
}

database::StatusAnswer Engine::status(core::Instant now) const {
  database::StatusAnswer status;
  status.database = options_.database;
  status.group = options_.group;
  status.role = role();
  status.term = promise_.term;
  status.received = log_.position(synced_index_);
  status.committed = log_.position(committed_);
  status.applied = log_.position(applied_);
  status.connections = static_cast<std::uint32_t>(connections_.size());
  status.connection_limit = options_.connection_limit;
  status.slots_in_use = static_cast<std::uint32_t>(executions_.size());
  status.slots = options_.slots;
  status.leaving = leaving_;
  if (!append_times_.empty()) {
    status.replication_stalled_ms = static_cast<std::uint32_t>(core::to_millis(now - append_times_.front()));
  }
  status.connections_over_limit = counters_.connections_over_limit;
  status.statements_over_limit = counters_.statements_over_limit;
  return status;
}

bool Engine::quiet() const {
  const bool in_transaction = connections_.transactions() > 0;
  return executions_.empty() && waiters_.empty() && parked_reads_.empty() && !in_transaction;
}

void Engine::advance(Now now) {
  latest_ = now.instant;
  run_timers(now);
  if (replication_) {
    const auto majority = replication_->majority_index(synced_index_);
    // An entry of an earlier term may be held by a majority and still be replaced by a later primary; an
    // entry of this term may not, and settles all before it.
    if (majority > committed_ && log_.position(majority).term == promise_.term) {
      commit_up_to(majority);
    }
  }
  apply_due(now.instant);
  release_waiters();
  check_parked_reads(now);
  close_idle_connections(now.instant);
  if (now.instant >= next_key_sweep_) {
    next_key_sweep_ = now.instant + kKeySweepInterval;
    log_.forget_keys_before(now.wall - options_.key_retention_ms - 2 * database::kKeyClockSkewMs);
  }
  if (replication_) {
    auto messages = replication_->due(now.instant, log_, synced_index_, committed_);
    std::move(messages.begin(), messages.end(), std::back_inserter(effects_.replicate));
  }
}

void Engine::run_timers(Now now) {
  while (!timers_.empty() && timers_.begin()->first <= now.instant) {
    const auto timer = timers_.begin()->second;
    timers_.erase(timers_.begin());
    if (timer.kind == TimerKind::kConnected) {
      answer(timer.id, status(now.instant));
    } else {
      finish_work(now, timer.id);
    }
  }
}

void Engine::close_idle_connections(core::Instant now) {
  if (options_.idle_timeout <= core::Duration::zero()) {
    return;
  }
  for (const auto connection : connections_.idle(now, options_.idle_timeout)) {
    connections_.close(connection);
    effects_.close.push_back(connection);
  }
}

void Engine::answer(CallId call, Response response) {
  end_call(call);
  effects_.answers.push_back({call, std::move(response)});
}

void Engine::answer_when_synced(CallId call, Response response) {
  if (needed_disk_sequence_ <= synced_sequence_) {
    answer(call, std::move(response));
    return;
  }
  unsynced_answers_.push_back({needed_disk_sequence_, {call, std::move(response)}});
}

void Engine::refuse(CallId call, const core::RequestId& request, Refusal refusal) {
  database::DatabaseError error;
  error.request = request;
  error.kind = core::to_string(refusal.kind);
  error.message = std::move(refusal.message);
  error.outcome = refusal.outcome;
  error.term = promise_.term;
  error.applied = log_.position(applied_);
  error.retry_after_ms = refusal.retry_after_ms;
  counters_.fenced_refusals += refusal.kind == core::ErrorKind::kFenced ? 1 : 0;
  answer(call, std::move(error));
}

void Engine::write_disk(DiskRecord record) {
  ++disk_sequence_;
  if (!std::holds_alternative<CommitRecord>(record)) {
    needed_disk_sequence_ = disk_sequence_;
    effects_.sync = true;
  }
  effects_.disk.push_back(std::move(record));
}

void Engine::begin_call(CallId call, ConnectionId id, core::Instant now) {
  auto* connection = connections_.find(id);
  if (connection != nullptr && calls_.emplace(call, id).second) {
    ++connection->calls;
    connection->last_used = now;
  }
}

void Engine::end_call(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  if (auto* connection = connections_.find(found->second)) {
    --connection->calls;
    connection->last_used = latest_;
  }
  calls_.erase(found);
}

unsigned http_status(const Response& response) {
  const auto* error = std::get_if<database::DatabaseError>(&response);
  if (error == nullptr) {
    return 200;
  }
  switch (core::error_kind_from(error->kind)) {
    case core::ErrorKind::kInvalidArgument:
      return 400;
    case core::ErrorKind::kNotFound:
      return 404;
    case core::ErrorKind::kTooLarge:
      return 413;
    case core::ErrorKind::kNoCapacity:
    case core::ErrorKind::kOverloaded:
    case core::ErrorKind::kUnavailable:
      return 503;
    case core::ErrorKind::kInternal:
    case core::ErrorKind::kCorrupt:
      return 500;
    default:
      return 409;
  }
}

std::string to_body(const Response& response) {
  return std::visit([](const auto& typed) { return database::serialize(typed); }, response);
}

}  // namespace pipitpond::standin
