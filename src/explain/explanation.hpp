// Why a statement failed or came late, from the logs of all processes: what was decided for it, what its
// process and others believed at that time, and the cause that these fit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "explain/log_record.hpp"

namespace pipitpond::explain {

/// What brought the outcome about.
enum class Cause : std::uint8_t {
  kNotLogged,            ///< No line has the request: it succeeded in time, or its lines were left out.
  kUnknown,              ///< The lines fit no known cause.
  kAnswerLost,           ///< One answer of a database was lost that was otherwise well.
  kDatabaseUnreachable,  ///< Nobody, or not this process, could reach the database.
  kReplicationStalled,   ///< The primary could not get its writes to a replica.
  kPrimaryChange,        ///< The group's primary was being replaced.
  kNoLease,              ///< This process was out of touch with control.
  kReplicasBehind,       ///< The replicas' logs lacked what the read had to see.
  kOverload,             ///< The databases that could serve it were full.
  kDatabaseFailed,       ///< The database ran the statement and failed.
};

/// Stable text of a cause, and a sentence that says what it means.
const char* to_string(Cause cause);
const char* describe(Cause cause);

/// A line and when it was written by the clock of the request's process.
struct Evidence {
  LogRecord record;
  LogTime time;
  bool clock_known = true;  ///< False: by the clock of its own process.
};

/// The whole story.
struct Explanation {
  Cause cause = Cause::kNotLogged;
  std::string request;
  std::string process;             ///< That had the request.
  std::string outcome;             ///< As it was answered; "late" when it succeeded late.
  std::vector<Evidence> steps;     ///< Lines of the request, in order.
  std::vector<Evidence> evidence;  ///< What the cause was found by, in order.
};

/// Explains a request by its identifier.
Explanation explain(const std::vector<LogRecord>& records, const std::string& request);

/// The explanation as lines of text for a terminal.
std::string to_text(const Explanation& explanation);

}  // namespace pipitpond::explain
