// Inputs and effects of the stand-in database's engine.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "database/protocol.hpp"
#include "database/statement.hpp"

namespace pipitpond::standin {

/// Identifies one request that waits for its answer; chosen by the engine's user, unique while it waits.
using CallId = std::uint64_t;
/// Identifies one accepted connection; chosen by the engine's user, never reused.
using ConnectionId = std::uint64_t;

/// Both clocks of the machine at one moment.
struct Now {
  core::Instant instant;
  core::UnixMillis wall = 0;
};

/// What a database is and how it behaves. Durations may be changed while it runs.
struct EngineOptions {
  core::DatabaseId database;
  core::GroupName group;
  std::uint32_t connection_limit = 35;
  std::uint32_t slots = 5;
  core::Duration connection_cost = std::chrono::milliseconds(10);  ///< How long a connect takes.
  core::Duration work = std::chrono::milliseconds(2);              ///< Default time in a slot.
  core::Duration apply_lag = core::Duration::zero();               ///< Replica: from committed to visible.
  core::Duration apply_lag_jitter = core::Duration::zero();        ///< Replica: up to this much is added.
  core::Duration idle_timeout = std::chrono::milliseconds(3000);   ///< Zero: connections are never closed.
  std::int64_t key_retention_ms = database::kDefaultKeyRetentionMs;
  std::uint64_t seed = 1;  ///< For the jitter.
};

/// Asks for the status.
struct StatusRequest {};

/// Asks for committed and uncommitted entries from an index on.
struct LogRequest {
  std::uint64_t from = 1;
};

/// Any request of the published protocol.
using Request = std::variant<StatusRequest, database::ConnectRequest, database::ExecuteRequest,
                             database::BeginRequest, database::CommitRequest, database::RollbackRequest,
                             database::KeyRequest, database::FenceRequest, database::PromoteRequest,
                             database::ReplicateRequest, database::DrainRequest, LogRequest>;

/// Any answer of the published protocol.
using Response = std::variant<database::StatusAnswer, database::ExecuteAnswer, database::KeyAnswer,
                              database::FenceAnswer, database::PromoteAnswer, database::ReplicateAnswer,
                              database::LogAnswer, database::DatabaseError>;

/// Answer to one call. Sent even if the caller's connection has closed; the user drops it then.
struct Answer {
  CallId call = 0;
  Response response;
};

/// Message to a peer of the group. The answer is handed back with the same sequence.
struct ReplicateMessage {
  database::Member peer;
  std::uint64_t sequence = 0;
  database::ReplicateRequest request;
};

/// Durable promise of a term, and whether this database is the primary of it.
struct PromiseRecord {
  core::Term term = 0;
  bool primary = false;
  std::vector<database::Member> members;  ///< Of the primary's group.

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(PromiseRecord, term, primary, members)
};

/// Durable removal of all entries from `from_index` on.
struct TruncateRecord {
  std::uint64_t from_index = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(TruncateRecord, from_index)
};

/// A lower bound of what is committed. May be lost without harm.
struct CommitRecord {
  std::uint64_t index = 0;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(CommitRecord, index)
};

/// One record for the disk. Records are written in order.
using DiskRecord = std::variant<PromiseRecord, database::LogEntry, TruncateRecord, CommitRecord>;

/// What the disk holds after a restart.
struct DurableState {
  PromiseRecord promise;
  std::vector<database::LogEntry> entries;  ///< Index i at position i - 1.
  std::uint64_t committed = 0;
};

/// Applies one record to the state, as recovery does. False when the record can't follow the state.
bool replay(DurableState& state, const DiskRecord& record);

/// What the engine's user has to do.
struct Effects {
  /// To be written in order; once all of them are synced, call Engine::synced(disk_sequence).
  std::vector<DiskRecord> disk;
  std::uint64_t disk_sequence = 0;
  /// Some record of `disk` must be synced; false when it only holds commit records.
  bool sync = false;
  std::vector<ReplicateMessage> replicate;
  std::vector<Answer> answers;
  std::vector<ConnectionId> close;  ///< Idle connections to be closed.
};

}  // namespace pipitpond::standin
