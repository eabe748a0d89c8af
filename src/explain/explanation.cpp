#include "explain/explanation.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <utility>

#include "explain/clock_offsets.hpp"

namespace pipitpond::explain {
namespace {

using std::chrono::milliseconds;

/// What others believed this long before the request came and after its outcome may belong to it.
constexpr milliseconds kBefore = std::chrono::seconds(5);
constexpr milliseconds kAfter = std::chrono::seconds(2);

bool is_step(const LogRecord& record, const std::string& request) {
  return record.part == "requests" && record.get("request") == request;
}

/// What a line says of a process's belief about databases, primaries, leases or itself.
bool is_belief(const LogRecord& record) {
  constexpr std::array<std::string_view, 13> kEvents = {
      "suspect",         "trust",          "begin_change", "promote",         "complete_change",
      "adopt_primary",   "lease_gained",   "lease_lost",   "leadership_lost", "leadership_gained",
      "remove_database", "lines_left_out", "start"};
  return std::find(kEvents.begin(), kEvents.end(), record.event()) != kEvents.end();
}

/// The request's own lines, condensed.
struct Subject {
  std::string group;
  std::vector<std::string> databases;  ///< That it was sent to, or that were chosen for it.
  std::uint64_t term = 0;
  LogTime came;
  LogTime ended;
};

Subject subject_of(const std::vector<Evidence>& steps) {
  Subject subject;
  const LogRecord& outcome = steps.back().record;
  subject.group = outcome.get("group");
  subject.ended = steps.back().time;
  subject.came = subject.ended - milliseconds(outcome.number("took_ms").value_or(0));
  for (const Evidence& step : steps) {
    const std::string database(step.record.get("database"));
    if (!database.empty() && database != "-") {
      subject.databases.push_back(database);
    }
    subject.term = std::max(subject.term, step.record.number("term").value_or(0));
  }
  return subject;
}

bool concerns(const LogRecord& record, const Subject& subject, const std::string& process) {
  const std::string_view group = record.get("group");
  if (!group.empty()) {
    return group == subject.group;
  }
  const std::string_view database = record.get("database");
  if (!database.empty()) {
    return std::find(subject.databases.begin(), subject.databases.end(), database) != subject.databases.end();
  }
  const bool of_control = record.event().starts_with("leadership");
  return of_control || record.process == process;
}

std::vector<Evidence> beliefs_about(const std::vector<LogRecord>& records, const Subject& subject,
                                    const std::string& process, const ClockOffsets& clocks) {
  std::vector<Evidence> beliefs;
  for (const LogRecord& record : records) {
    if (!is_belief(record) || !concerns(record, subject, process)) {
      continue;
    }
    const LogTime time = clocks.by_reference(record);
    const bool near = time >= subject.came - kBefore && time <= subject.ended + kAfter;
    if (near) {
      beliefs.push_back(Evidence{record, time, clocks.known(record.process)});
    }
  }
  std::stable_sort(beliefs.begin(), beliefs.end(),
                   [](const Evidence& left, const Evidence& right) { return left.time < right.time; });
  return beliefs;
}

bool any_step(const std::vector<Evidence>& steps, std::string_view event, std::string_view detail = {}) {
  return std::any_of(steps.begin(), steps.end(), [&](const Evidence& step) {
    const bool fits = detail.empty() || step.record.get("detail").find(detail) != std::string_view::npos;
    return step.record.event() == event && fits;
  });
}

/// What processes came to suspect of a database. What one suspected first of a database that is silent, and
/// took back for something worse, does not count.
using Suspicions = std::map<std::string, std::string>;

Suspicions suspicions_of(const std::vector<Evidence>& beliefs, std::string_view database) {
  Suspicions last;
  for (const Evidence& one : beliefs) {
    if (one.record.event() == "suspect" && one.record.get("database") == database) {
      last[one.record.process] = one.record.get("suspicion");
    }
  }
  return last;
}

/// What is wrong with a database: as the request's own process saw it, or else as any other did.
Cause cause_at(const std::vector<Evidence>& beliefs, std::string_view database, const std::string& process) {
  const Suspicions suspicions = suspicions_of(beliefs, database);
  const auto own = suspicions.find(process);
  const auto is = [](const char* suspicion) {
    return [suspicion](const auto& entry) { return entry.second == suspicion; };
  };
  if (own != suspicions.end()) {
    return own->second == "replication_stalled" ? Cause::kReplicationStalled : Cause::kDatabaseUnreachable;
  }
  if (std::any_of(suspicions.begin(), suspicions.end(), is("replication_stalled"))) {
    return Cause::kReplicationStalled;
  }
  return suspicions.empty() ? Cause::kAnswerLost : Cause::kDatabaseUnreachable;
}

/// The database of the last step that names one.
std::string_view last_database(const std::vector<Evidence>& steps, std::string_view event = {}) {
  std::string_view database;
  for (const Evidence& step : steps) {
    const std::string_view named = step.record.get("database");
    const bool fits = event.empty() || step.record.event() == event;
    if (fits && !named.empty() && named != "-") {
      database = named;
    }
  }
  return database;
}

/// A change of primary that was under way at some moment between the request's coming and its outcome.
bool primary_changed(const std::vector<Evidence>& beliefs, const Subject& subject) {
  std::optional<LogTime> begun;
  for (const Evidence& one : beliefs) {
    if (one.record.event() == "begin_change") {
      begun = one.time;
    }
    const bool completed = one.record.event() == "complete_change";
    const bool overlaps = begun && *begun <= subject.ended && one.time >= subject.came;
    if (completed && overlaps) {
      return true;
    }
    if (completed) {
      begun.reset();
    }
  }
  return begun && *begun <= subject.ended;
}

/// The first cause that the lines fit, the most telling ones first.
Cause cause_of(const std::vector<Evidence>& steps, const std::vector<Evidence>& beliefs,
               const Subject& subject) {
  const std::string& process = steps.back().record.process;
  const std::string_view outcome = steps.back().record.get("outcome");
  if (outcome == "failed") {
    return Cause::kDatabaseFailed;
  }
  const bool lost = any_step(steps, "lost");
  if (outcome == "unsure" || (lost && outcome != "busy")) {
    return cause_at(beliefs, last_database(steps, "lost"), process);
  }
  const bool without_database = any_step(steps, "no_backend") || any_step(steps, "no_connection") ||
                                any_step(steps, "not_run", "read_only");
  if (without_database && primary_changed(beliefs, subject)) {
    return Cause::kPrimaryChange;
  }
  if (any_step(steps, "waits", "certain") || any_step(steps, "not_certain")) {
    return Cause::kNoLease;
  }
  if (any_step(steps, "not_run", "behind")) {
    return Cause::kReplicasBehind;
  }
  if (any_step(steps, "no_backend") || lost) {
    const Cause found = cause_at(beliefs, last_database(steps), process);
    return found == Cause::kAnswerLost ? Cause::kDatabaseUnreachable : found;
  }
  if (any_step(steps, "failed")) {
    return Cause::kDatabaseFailed;  // Reads that were read again elsewhere, too late.
  }
  const bool full = any_step(steps, "no_connection") || any_step(steps, "not_run", "busy") ||
                    any_step(steps, "waits") || outcome == "late";
  return full ? Cause::kOverload : Cause::kUnknown;
}

std::string line_of(const Evidence& one) {
  std::string text =
      fmt::format("  {}{} {:<18}", format_time(one.time), one.clock_known ? " " : "?", one.record.process);
  for (const LogField& field : one.record.fields) {
    const bool says_nothing = field.name == "request" || field.value == "-" || field.value.empty();
    if (!says_nothing) {
      text += " " + field.name + "=" + field.value;
    }
  }
  return text + "\n";
}

}  // namespace

const char* to_string(Cause cause) {
  switch (cause) {
    case Cause::kNotLogged:
      return "not_logged";
    case Cause::kUnknown:
      return "unknown";
    case Cause::kAnswerLost:
      return "answer_lost";
    case Cause::kDatabaseUnreachable:
      return "database_unreachable";
    case Cause::kReplicationStalled:
      return "replication_stalled";
    case Cause::kPrimaryChange:
      return "primary_change";
    case Cause::kNoLease:
      return "no_lease";
    case Cause::kReplicasBehind:
      return "replicas_behind";
    case Cause::kOverload:
      return "overload";
    case Cause::kDatabaseFailed:
      return "database_failed";
  }
  return "unknown";
}

const char* describe(Cause cause) {
  switch (cause) {
    case Cause::kNotLogged:
      return "No line names this request: it succeeded in time, or its lines were left out (look for "
             "event=lines_left_out), or the log of its process is missing.";
    case Cause::kUnknown:
      return "The lines fit no known cause; read the steps.";
    case Cause::kAnswerLost:
      return "One answer of the database was lost. Nobody suspected the database: see its own log and the "
             "network between the two.";
    case Cause::kDatabaseUnreachable:
      return "The database could not be reached. See who suspected it: one process alone points to its own "
             "way there, all of them to the database.";
    case Cause::kReplicationStalled:
      return "The primary answered, but no replica received its writes: it was cut off from its replicas, or "
             "they were down.";
    case Cause::kPrimaryChange:
      return "The group's primary was being replaced while the request waited.";
    case Cause::kNoLease:
      return "This process had no lease of control, so that it could not be sure of the primary. See "
             "event=lease_lost and control's leadership.";
    case Cause::kReplicasBehind:
      return "The replicas' logs did not reach the position that the read had to see, so that only the "
             "primary "
             "could serve it. See the replicas' lag.";
    case Cause::kOverload:
      return "The databases that could serve it were full. See the pools' gauges and the load.";
    case Cause::kDatabaseFailed:
      return "The database ran the statement and failed. See its own log.";
  }
  return "";
}

Explanation explain(const std::vector<LogRecord>& records, const std::string& request) {
  Explanation explanation;
  explanation.request = request;
  for (const LogRecord& record : records) {
    if (is_step(record, request)) {
      explanation.steps.push_back(Evidence{record, record.time, true});
    }
  }
  if (explanation.steps.empty()) {
    return explanation;
  }
  explanation.process = explanation.steps.back().record.process;
  explanation.outcome = explanation.steps.back().record.get("outcome");
  const ClockOffsets clocks(records, explanation.process);
  const Subject subject = subject_of(explanation.steps);
  explanation.evidence = beliefs_about(records, subject, explanation.process, clocks);
  explanation.cause = cause_of(explanation.steps, explanation.evidence, subject);
  return explanation;
}

std::string to_text(const Explanation& explanation) {
  std::string text = fmt::format("request {}: {}\n{}\n", explanation.request, to_string(explanation.cause),
                                 describe(explanation.cause));
  if (explanation.steps.empty()) {
    return text;
  }
  text += fmt::format("\nWhat {} decided for it (outcome: {}):\n", explanation.process, explanation.outcome);
  for (const Evidence& step : explanation.steps) {
    text += line_of(step);
  }
  text += fmt::format("\nWhat was believed meanwhile (times by the clock of {}; ?: by the process's own):\n",
                      explanation.process);
  for (const Evidence& one : explanation.evidence) {
    text += line_of(one);
  }
  return text;
}

}  // namespace pipitpond::explain
