// What the callers of a run saw: one record for each request that was sent, judged afterwards by the oracle.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::workload {

/// Microseconds since the Unix epoch. All processes of a run share one machine, so these are comparable with
/// the wall clock of the databases.
using UnixMicros = std::int64_t;

/// Reads the wall clock.
UnixMicros unix_micros_now();

/// Which call of the callers' interface a record is about.
enum class Operation : std::uint8_t { kRead, kWrite, kBegin, kStatement, kCommit, kRollback, kOutcome };

NLOHMANN_JSON_SERIALIZE_ENUM(Operation, {{Operation::kRead, "read"},
                                         {Operation::kWrite, "write"},
                                         {Operation::kBegin, "begin"},
                                         {Operation::kStatement, "statement"},
                                         {Operation::kCommit, "commit"},
                                         {Operation::kRollback, "rollback"},
                                         {Operation::kOutcome, "outcome"}})

/// How a request ended for its caller.
enum class Ending : std::uint8_t {
  kDone,        ///< Answered "done".
  kNotRun,      ///< Answered "not_run".
  kUnknown,     ///< Answered "unknown".
  kAnswerLost,  ///< Sent, but no whole answer came.
  kNotSent,     ///< No connection could be made.
  kUnreadable,  ///< An answer came that is no answer of the interface.
  kUnfinished,  ///< Still waiting when the run ended.
};

NLOHMANN_JSON_SERIALIZE_ENUM(Ending, {{Ending::kUnfinished, "unfinished"},
                                      {Ending::kDone, "done"},
                                      {Ending::kNotRun, "not_run"},
                                      {Ending::kUnknown, "unknown"},
                                      {Ending::kAnswerLost, "answer_lost"},
                                      {Ending::kNotSent, "not_sent"},
                                      {Ending::kUnreadable, "unreadable"}})

/// One request of one caller.
struct RequestRecord {
  std::string caller;
  std::string proxy;  ///< Name of the proxy that it was sent to.
  core::GroupName group;
  Operation operation = Operation::kRead;
  core::RequestKey key;  ///< Writes and commits only.
  /// Reads and writes: the statement. Commits: all of the transaction.
  std::vector<nlohmann::json> statements;
  /// An earlier request with this key ended without a clear outcome.
  bool resubmitted = false;
  UnixMicros began_us = 0;
  UnixMicros ended_us = 0;
  Ending ending = Ending::kUnfinished;
  unsigned status = 0;  ///< HTTP status; 0 without an answer.
  std::string error_kind;
  std::string error_message;
  std::uint32_t retry_after_ms = 0;
  std::string request;  ///< Identifier that the proxy gave.
  core::DatabaseId database;
  std::string served_by;
  core::LogPosition position;
  bool replayed = false;
  std::uint32_t attempts = 0;
  bool stale = false;     ///< The answer was older than what this session had seen or written.
  bool mixed = false;     ///< The answer was not wholly the one to this request.
  nlohmann::json result;  ///< What was answered; null for generated texts, which their caller checks.
  std::string remark;     ///< What was wrong with a stale or mixed answer.

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(RequestRecord, caller, proxy, group, operation, key, statements, resubmitted,
                                 began_us, ended_us, ending, status, error_kind, error_message,
                                 retry_after_ms, request, database, served_by, position, replayed, attempts,
                                 stale, mixed, remark, result)
};

/// All requests of one workload, in the order in which they began.
struct History {
  std::vector<RequestRecord> requests;
};

/// True for requests that add an entry to the log: single writes and commits.
bool is_write(const RequestRecord& record);

/// True when "not_run" of this record is a promise about its key: no request with it has run or will run.
bool settles_key_as_not_run(const RequestRecord& record);

/// Writes one JSON object a line. Returns false when the file can't be written.
bool write_history(const History& history, const std::string& path);

}  // namespace pipitpond::workload
