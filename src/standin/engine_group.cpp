// Terms, replication, commit and apply.
#include <algorithm>
#include <utility>

#include "standin/engine.hpp"

namespace pipitpond::standin {
namespace {

using core::ErrorKind;
using core::Outcome;

}  // namespace

database::Role Engine::role() const {
  if (replication_) {
    return database::Role::kPrimary;
  }
  return contacted_ || promise_.term == 0 ? database::Role::kReplica : database::Role::kFenced;
}

void Engine::fence(CallId call, const database::FenceRequest& request) {
  if (request.term < promise_.term) {
    refuse(call, {}, {ErrorKind::kFenced, Outcome::kNotRun, "A later term has been promised."});
    return;
  }
  if (request.term > promise_.term) {
    promise(request.term);
  }
  answer_when_synced(call, database::FenceAnswer{options_.database, promise_.term, log_.last(), leaving_});
}

void Engine::promote(Now now, CallId call, const database::PromoteRequest& request) {
  if (request.term < promise_.term) {
    refuse(call, {}, {ErrorKind::kFenced, Outcome::kNotRun, "A later term has been promised."});
    return;
  }
  const bool is_member =
      std::any_of(request.members.begin(), request.members.end(),
                  [this](const database::Member& member) { return member.database == options_.database; });
  if (!is_member) {
    refuse(call, {}, {ErrorKind::kInvalidArgument, Outcome::kNotRun, "This database is not a member."});
    return;
  }
  const bool has_other_primary = !promise_.primary && (contacted_ || log_.last().term == promise_.term);
  if (request.term > promise_.term || request.term == 0 || has_other_primary) {
    refuse(call, {}, {ErrorKind::kConflict, Outcome::kNotRun, "This database was not fenced at the term."});
    return;
  }
  if (!replication_) {
    promise_.primary = true;
    promise_.members = request.members;
    write_disk(promise_);
    become_primary(now);
  }
  answer_when_synced(
      call, database::PromoteAnswer{options_.database, promise_.term, log_.before_term(promise_.term)});
}

void Engine::become_primary(Now now) {
  scheduled_applies_.clear();
  apply_up_to(committed_);
  replication_ =
      std::make_unique<Replication>(promise_.term, options_.database, promise_.members, log_.last().index);
  tail_rows_ = std::make_unique<RowOverlay>(tables_);
  append_times_.clear();
  for (auto index = committed_ + 1; index <= log_.last().index; ++index) {
    tail_rows_->set_index(index);
    replay_transaction(Transaction{promise_.term, log_.at(index).statements}, *tail_rows_);
    append_times_.push_back(now.instant);
  }
  if (log_.last().term != promise_.term) {
    append_times_.push_back(now.instant);
    append(new_entry(now, {}, {}));
  }
}

void Engine::promise(core::Term term) {
  promise_ = PromiseRecord{term, false, {}};
  contacted_ = false;
  step_down();
  write_disk(promise_);
}

void Engine::step_down() {
  replication_.reset();
  tail_rows_.reset();
  append_times_.clear();
  connections_.drop_transactions();
  // The entries of these calls are in the log and may yet be committed by the next primary.
  for (const auto& [index, waiter] : std::exchange(waiters_, {})) {
    refuse(waiter.call, waiter.request,
           {ErrorKind::kFenced, Outcome::kUnknown, "The term ended before a majority held the entry."});
  }
}

void Engine::replicate(Now now, CallId call, const database::ReplicateRequest& request) {
  if (request.term < promise_.term) {
    refuse(call, {}, {ErrorKind::kFenced, Outcome::kNotRun, "A later term has been promised."});
    return;
  }
  if (request.term == promise_.term && replication_) {
    refuse(call, {}, {ErrorKind::kConflict, Outcome::kNotRun, "This is the primary of the term itself."});
    return;
  }
  if (request.term > promise_.term) {
    promise(request.term);
  }
  contacted_ = true;
  database::ReplicateAnswer reply{options_.database, promise_.term, false, {}, log_.position(applied_)};
  if (!log_.holds(request.previous)) {
    // The primary has to go back to where the logs may agree: before the entries of the conflicting term.
    const bool too_short = log_.last().index < request.previous.index;
    reply.received = too_short ? log_.last() : log_.before_term(log_.position(request.previous.index).term);
    answer_when_synced(call, std::move(reply));
    return;
  }
  if (!accept_entries(request)) {
    refuse(call, {}, {ErrorKind::kCorrupt, Outcome::kNotRun, "An entry conflicts with a committed one."});
    return;
  }
  const auto held = request.previous.index + request.entries.size();
  schedule_apply(now.instant, std::min(request.committed.index, held));
  apply_due(now.instant);
  reply.matched = true;
  reply.received = log_.last();
  reply.applied = log_.position(applied_);
  answer_when_synced(call, std::move(reply));
}

bool Engine::accept_entries(const database::ReplicateRequest& request) {
  auto expected = request.previous;
  for (const auto& entry : request.entries) {
    const auto index = entry.position.index;
    if (index != expected.index + 1 || entry.position.term < expected.term) {
      return false;
    }
    expected = entry.position;
    if (log_.holds(entry.position)) {
      continue;
    }
    if (index <= log_.last().index) {
      if (index <= committed_) {
        return false;
      }
      log_.truncate(index);
      synced_index_ = std::min(synced_index_, index - 1);
      std::erase_if(unsynced_indexes_, [index](const auto& unsynced) { return unsynced.second >= index; });
      write_disk(TruncateRecord{index});
    }
    append(entry);
  }
  return true;
}

void Engine::append(database::LogEntry entry) {
  write_disk(entry);
  unsynced_indexes_.emplace_back(disk_sequence_, entry.position.index);
  log_.append(std::move(entry));
}

void Engine::commit_up_to(std::uint64_t index) {
  append_times_.erase(append_times_.begin(),
                      append_times_.begin() +
                          static_cast<std::ptrdiff_t>(std::min(index - committed_, append_times_.size())));
  committed_ = index;
  write_disk(CommitRecord{index});
  apply_up_to(index);
}

void Engine::schedule_apply(core::Instant now, std::uint64_t index) {
  if (index <= committed_) {
    return;
  }
  committed_ = index;
  write_disk(CommitRecord{index});
  const auto jitter_us = options_.apply_lag_jitter.count();
  const auto extra = jitter_us > 0 ? static_cast<std::int64_t>(random_()) % (jitter_us + 1) : 0;
  auto at = now + options_.apply_lag + core::Duration(extra);
  if (!scheduled_applies_.empty()) {
    at = std::max(at, scheduled_applies_.back().at);  // Entries become visible in the log's order.
  }
  scheduled_applies_.push_back({index, at});
}

void Engine::apply_due(core::Instant now) {
  while (!scheduled_applies_.empty() && scheduled_applies_.front().at <= now) {
    apply_up_to(scheduled_applies_.front().index);
    scheduled_applies_.pop_front();
  }
}

void Engine::apply_up_to(std::uint64_t index) {
  while (applied_ < index) {
    const auto& entry = log_.at(++applied_);
    for (const auto& json : entry.statements) {
      const auto statement = parse_statement(json);
      if (!statement) {
        continue;  // Checked before it was appended.
      }
      static_cast<void>(execute_write(statement.value(), tables_));
      if (tail_rows_) {
        tail_rows_->forget(written_row(statement.value()), applied_);
      }
    }
  }
}

void Engine::release_waiters() {
  while (!waiters_.empty() && waiters_.begin()->first <= committed_) {
    const auto [index, waiter] = *waiters_.begin();
    waiters_.erase(waiters_.begin());
    release(waiter, log_.at(index));
  }
}

void Engine::release(const Waiter& waiter, const database::LogEntry& entry) {
  if (waiter.kind == WaiterKind::kKey) {
    const auto outcome = entry.settled_not_run ? Outcome::kNotRun : Outcome::kDone;
    answer(waiter.call, database::KeyAnswer{waiter.request, outcome, entry.result, entry.position});
    return;
  }
  if (entry.settled_not_run) {
    refuse(waiter.call, waiter.request,
           {ErrorKind::kKeySettled, Outcome::kNotRun, "The key was settled as never to run."});
    return;
  }
  const bool replayed = waiter.kind == WaiterKind::kReplay;
  counters_.replays += replayed ? 1 : 0;
  answer(waiter.call, database::ExecuteAnswer{waiter.request, options_.database, entry.result, entry.position,
                                              log_.position(applied_), replayed, false});
}

}  // namespace pipitpond::standin
