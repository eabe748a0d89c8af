// What came of one attempt at a database, classified by what it proves about the statement's effect.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "core/outcome.hpp"
#include "protocol/forward.hpp"

namespace pipitpond::retry {

/// What is known after one attempt.
enum class AttemptResult : std::uint8_t {
  kDone,         ///< The database answered that it ran.
  kNothingSent,  ///< No byte left for the database: this attempt did not run.
  kNotRun,       ///< The database proved that this attempt did not and will not run.
  kFenced,       ///< Proved not run: the database knows a newer term, or is no primary. Refresh the term.
  kStale,        ///< Read refused: behind the session's position.
  kOverloaded,   ///< Refused before sending, or by the database: this attempt did not run.
  kRejected,     ///< The request itself is wrong (invalid, too large, denied): no attempt can help.
  kKeyExpired,   ///< The key is past its retention: this attempt did not run, earlier ones can't be told.
  kKeySettled,   ///< The key was settled as never to run: no attempt with this key ran or will run.
  kMayHaveRun,   ///< A byte may have left and no answer came.
};

std::string_view to_string(AttemptResult result);

/// One attempt and what came of it.
struct AttemptReport {
  AttemptResult result = AttemptResult::kMayHaveRun;
  core::DatabaseId database;
  core::Term term = 0;  ///< Term that the attempt named (writes).
  core::Error error;    ///< Meaningful unless kDone.
  /// No database could be chosen, and none can become primary: the daemon reaches no majority of the group.
  bool group_is_lost = false;
};

/// Classifies the reply of an owner. Whatever is not known to be safe is kMayHaveRun.
AttemptResult classify(const protocol::ForwardReply& reply);
/// Classifies a failure of the call to an owner or of the database connection.
AttemptResult classify(const core::Error& error);
/// True for results that prove that this attempt had no effect.
bool proves_not_run(AttemptResult result);

}  // namespace pipitpond::retry
