// The stand-in database's engine: log, terms, statements, transactions, request keys and limits, without
// input and output. Time and requests go in; answers, messages to peers and disk records come out.
//
// Rules that make it safe:
//  - A promise, an entry or a truncation is synced before any answer that rests on it is released.
//  - An entry counts for its primary's majority only where it is synced.
//  - A write is answered only when a majority holds an entry of the primary's own term at or after it: such
//  an
//    entry can't be missing from the log of any later primary, and neither can those before it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "standin/connections.hpp"
#include "standin/log.hpp"
#include "standin/replication.hpp"
#include "standin/statements.hpp"
#include "standin/types.hpp"

namespace pipitpond::standin {

/// Counters since start.
struct EngineCounters {
  std::uint64_t statements = 0;          ///< That came over an open connection, whatever became of them.
  std::uint64_t connections_opened = 0;  ///< Within the limit.
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t replays = 0;
  std::uint64_t stale_refusals = 0;
  std::uint64_t fenced_refusals = 0;
  std::uint64_t connections_over_limit = 0;
  std::uint64_t statements_over_limit = 0;
  std::uint64_t statements_while_leaving = 0;
  std::uint64_t greatest_connections = 0;
  std::uint64_t greatest_slots_in_use = 0;
};

/// One database. Every call may produce effects: take them after each.
class Engine {
 public:
  /// Starts with what the disk holds. A primary goes on with its term: it had sent only synced entries, so
  /// what its peers hold of the term is still in its log.
  Engine(EngineOptions options, DurableState state, Now now);

  /// Takes a request. `connection` matters to connect, execute, begin, commit, rollback and key only.
  void handle(Now now, CallId call, ConnectionId connection, const Request& request);
  /// The connection is gone: its transaction is dropped, its statements that have not finished do not run.
  void connection_closed(Now now, ConnectionId connection);
  /// Does what has become due; call at `next_wakeup`.
  void tick(Now now);
  /// All records up to the sequence are synced.
  void synced(Now now, std::uint64_t disk_sequence);
  /// A peer's answer to a ReplicateMessage: a ReplicateAnswer or a DatabaseError.
  void replicate_answered(Now now, const core::DatabaseId& peer, std::uint64_t sequence,
                          const Response& response);
  /// No answer came.
  void replicate_failed(Now now, const core::DatabaseId& peer, std::uint64_t sequence);

  /// What has to be done since the last call.
  Effects take_effects();
  /// When `tick` should be called at the latest.
  [[nodiscard]] std::optional<core::Instant> next_wakeup() const;

  [[nodiscard]] database::StatusAnswer status(core::Instant now) const;
  [[nodiscard]] const EngineCounters& counters() const { return counters_; }
  [[nodiscard]] const Log& log() const { return log_; }
  [[nodiscard]] std::uint64_t committed() const { return committed_; }
  [[nodiscard]] bool leaving() const { return leaving_; }
  /// True when no statement executes, no write waits and no transaction is open.
  [[nodiscard]] bool quiet() const;
  /// Options; the durations and limits may be changed at any time.
  [[nodiscard]] EngineOptions& options() { return options_; }

 private:
  enum class TimerKind : std::uint8_t { kConnected, kWorkDone };
  struct Timer {
    TimerKind kind = TimerKind::kConnected;
    std::uint64_t id = 0;
  };
  struct Execution {
    CallId call = 0;
    ConnectionId connection = 0;
    database::ExecuteRequest request;
    Statement statement;
  };
  struct ParkedRead {
    Execution execution;
    core::Instant deadline;
  };
  enum class WaiterKind : std::uint8_t { kExecute, kReplay, kKey };
  struct Waiter {
    CallId call = 0;
    core::RequestId request;
    WaiterKind kind = WaiterKind::kExecute;
  };
  struct UnsyncedAnswer {
    std::uint64_t disk_sequence = 0;
    Answer answer;
  };
  struct ScheduledApply {
    std::uint64_t index = 0;
    core::Instant at;
  };
  struct Refusal {
    core::ErrorKind kind;
    core::Outcome outcome;
    std::string message;
    std::uint32_t retry_after_ms = 0;
  };

  // engine.cpp: calls, answers, timers, disk.
  void dispatch(Now now, CallId call, ConnectionId connection, const Request& request);
  void connect(Now now, CallId call, ConnectionId connection);
  void advance(Now now);
  void run_timers(Now now);
  void close_idle_connections(core::Instant now);
  void answer(CallId call, Response response);
  void answer_when_synced(CallId call, Response response);
  void refuse(CallId call, const core::RequestId& request, Refusal refusal);
  void write_disk(DiskRecord record);
  void begin_call(CallId call, ConnectionId connection, core::Instant now);
  void end_call(CallId call);

  // engine_statements.cpp: statements, transactions, keys.
  void execute(Now now, CallId call, ConnectionId connection, const database::ExecuteRequest& request);
  void park_or_take_slot(Now now, Execution execution);
  void begin(CallId call, ConnectionId connection, const database::BeginRequest& request);
  void commit(Now now, CallId call, ConnectionId connection, const database::CommitRequest& request);
  void rollback(CallId call, ConnectionId connection, const database::RollbackRequest& request);
  void resolve_key(Now now, CallId call, const database::KeyRequest& request);
  void take_slot(Now now, Execution execution);
  void finish_work(Now now, std::uint64_t id);
  void finish_read(const Execution& execution, Connection& connection);
  void finish_write(Now now, const Execution& execution);
  void finish_buffered_write(const Execution& execution, Transaction& transaction);
  void answer_read(const Execution& execution, nlohmann::json result, bool in_transaction);
  void check_parked_reads(Now now);
  bool check_connection(CallId call, const core::RequestId& request, ConnectionId connection);
  bool check_primary(CallId call, const core::RequestId& request, core::Term term);
  bool check_key(Now now, CallId call, const core::RequestId& request, const core::RequestKey& key);
  void append_and_wait(Now now, CallId call, WaiterKind kind, database::LogEntry entry);
  database::LogEntry new_entry(Now now, const core::RequestId& request, const core::RequestKey& key) const;
  void replay_transaction(const Transaction& transaction, RowOverlay& rows) const;

  // engine_group.cpp: terms, replication, commit, apply.
  void fence(CallId call, const database::FenceRequest& request);
  void promote(Now now, CallId call, const database::PromoteRequest& request);
  void replicate(Now now, CallId call, const database::ReplicateRequest& request);
  bool accept_entries(const database::ReplicateRequest& request);
  void become_primary(Now now);
  void promise(core::Term term);
  void step_down();
  void append(database::LogEntry entry);
  void commit_up_to(std::uint64_t index);
  void apply_up_to(std::uint64_t index);
  void apply_due(core::Instant now);
  void schedule_apply(core::Instant now, std::uint64_t index);
  void release_waiters();
  void release(const Waiter& waiter, const database::LogEntry& entry);
  [[nodiscard]] database::Role role() const;

  EngineOptions options_;
  EngineCounters counters_;
  std::minstd_rand random_;
  bool leaving_ = false;

  PromiseRecord promise_;
  bool contacted_ = false;  ///< The primary of the promised term has replicated to this database.
  Log log_;
  std::uint64_t synced_index_ = 0;
  std::uint64_t committed_ = 0;
  std::uint64_t applied_ = 0;
  Tables tables_;
  std::deque<ScheduledApply> scheduled_applies_;
  std::unique_ptr<Replication> replication_;  ///< Set while this is the primary.
  std::unique_ptr<RowOverlay> tail_rows_;     ///< Primary: rows with all appended entries.
  std::deque<core::Instant> append_times_;    ///< Primary: of the entries after `committed_`.

  Connections connections_;
  std::unordered_map<CallId, ConnectionId> calls_;
  std::multimap<core::Instant, Timer> timers_;
  std::unordered_map<std::uint64_t, Execution> executions_;
  std::uint64_t next_execution_ = 1;
  std::vector<ParkedRead> parked_reads_;
  std::multimap<std::uint64_t, Waiter> waiters_;  ///< By the index that has to be committed.
  core::Instant next_key_sweep_;
  core::Instant latest_;  ///< Of the latest input.

  Effects effects_;
  std::uint64_t disk_sequence_ = 0;         ///< Of the last record handed out or in `effects_`.
  std::uint64_t needed_disk_sequence_ = 0;  ///< Of the last record that answers rest on.
  std::uint64_t synced_sequence_ = 0;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unsynced_indexes_;  ///< Disk sequence, log index.
  std::deque<UnsyncedAnswer> unsynced_answers_;
};

/// The HTTP status of a response.
unsigned http_status(const Response& response);
/// The JSON text of a response.
std::string to_body(const Response& response);

}  // namespace pipitpond::standin
