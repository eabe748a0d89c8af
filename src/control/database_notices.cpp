#include "control/database_notices.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;
using configuration::ChangeDatabases;
using configuration::CommandResult;
using configuration::DepartDatabase;
using configuration::RegisterDatabase;

void append(ChangeDatabases& changes, const RegisterDatabase& registration) {
  changes.registrations.push_back(registration);
}

void append(ChangeDatabases& changes, const DepartDatabase& departure) {
  changes.departures.push_back(departure);
}

ChangeDatabases together(const std::vector<DatabaseNotice>& notices) {
  ChangeDatabases changes;
  for (const DatabaseNotice& notice : notices) {
    std::visit([&changes](const auto& one) { append(changes, one); }, notice);
  }
  return changes;
}

std::vector<DatabaseNotice> apart(const ChangeDatabases& changes) {
  std::vector<DatabaseNotice> notices(changes.registrations.begin(), changes.registrations.end());
  notices.insert(notices.end(), changes.departures.begin(), changes.departures.end());
  return notices;
}

/// What is to be proposed when `later` comes while `earlier` waits: a database that has left does not come
/// back, draining is never taken back, and what comes late of an earlier start counts for nothing.
DatabaseNotice merged(const DatabaseNotice& earlier, DatabaseNotice later) {
  const auto* before = std::get_if<RegisterDatabase>(&earlier);
  auto* after = std::get_if<RegisterDatabase>(&later);
  if (after == nullptr) {
    return later;
  }
  if (before == nullptr) {
    return earlier;
  }
  const protocol::Life life = protocol::compare_lives(after->database.born, before->database.born);
  if (life == protocol::Life::kEarlier) {
    return earlier;
  }
  if (life == protocol::Life::kSame) {
    after->database.draining = after->database.draining || before->database.draining;
    after->database.born = std::max(after->database.born, before->database.born);
  }
  return later;
}

core::Error line_too_long() {
  return core::Error{core::ErrorKind::kOverloaded, "More databases register than this replica can take up.",
                     "Send the notice again, to this or another control replica.", 500};
}

core::Error replaced_by_resent() {
  return core::Error{core::ErrorKind::kUnavailable, "The same database has sent its notice again.",
                     "Wait for the answer to the newest notice.", 500};
}

core::Error not_confirmed() {
  return core::Error{core::ErrorKind::kTimeout, "The notice was not confirmed.", "Send it again.", 500};
}

core::Result<void> outcome_of(const CommandResult& result, const core::DatabaseId& database) {
  for (const configuration::RefusedDatabase& refused : result.refused) {
    if (refused.database == database) {
      return refused.error;
    }
  }
  return core::outcome::success();
}

}  // namespace

core::DatabaseId database_of(const DatabaseNotice& notice) {
  if (const auto* registration = std::get_if<RegisterDatabase>(&notice)) {
    return registration->database.id;
  }
  return std::get<DepartDatabase>(notice).database;
}

DatabaseNotices::DatabaseNotices(boost::asio::io_context& io, Propose propose, core::Duration interval)
    : batches_(
          io,
          [propose = std::move(propose)](const std::vector<DatabaseNotice>& notices) {
            return propose(together(notices));
          },
          interval, configuration::kMaxDatabaseChanges) {}

awaitable<core::Result<void>> DatabaseNotices::take(DatabaseNotice notice, core::Duration timeout) {
  const core::DatabaseId database = database_of(notice);
  const bool too_late = expected_wait() > timeout;
  const DonePointer done = line_up(notice, kMaxCallsOfADatabase);
  if (done == nullptr || too_late) {
    co_return line_too_long();
  }
  const auto decided = co_await Batches::Done::wait(done, timeout);
  if (!decided) {
    co_return not_confirmed();
  }
  if (!*decided) {
    co_return decided->error();
  }
  co_return outcome_of(decided->value(), database);
}

awaitable<core::Result<CommandResult>> DatabaseNotices::take_all(ChangeDatabases notices,
                                                                 core::Duration timeout) {
  const core::Instant give_up = core::BootClock::now() + timeout;
  std::vector<std::pair<core::DatabaseId, DonePointer>> lined_up;
  for (const DatabaseNotice& notice : apart(notices)) {
    lined_up.emplace_back(database_of(notice), line_up(notice, kMaxBatchesOfADatabase));
  }
  CommandResult all;
  for (const auto& [database, done] : lined_up) {
    if (done == nullptr) {
      co_return line_too_long();
    }
    const core::Duration left = give_up - core::BootClock::now();
    const auto decided = co_await Batches::Done::wait(done, std::max(left, core::Duration::zero()));
    if (!decided) {
      co_return not_confirmed();
    }
    if (!*decided) {
      co_return decided->error();
    }
    const CommandResult& result = decided->value();
    all.changed = all.changed || result.changed;
    all.revision = std::max(all.revision, result.revision);
    if (const auto outcome = outcome_of(result, database); !outcome) {
      all.refused.push_back(configuration::RefusedDatabase{database, outcome.error()});
    }
  }
  co_return all;
}

DatabaseNotices::DonePointer DatabaseNotices::line_up(const DatabaseNotice& notice, std::size_t max_waiters) {
  const core::DatabaseId database = database_of(notice);
  const DatabaseNotice* waiting = batches_.waiting(database);
  const DatabaseNotice* in_progress = batches_.in_progress(database);
  const bool told_already = waiting == nullptr && in_progress != nullptr && *in_progress == notice;
  if (waiting == nullptr && !told_already && batches_.count_waiting() >= kMaxWaitingNotices) {
    return nullptr;
  }
  if (!told_already) {
    batches_.put(database, waiting == nullptr ? notice : merged(*waiting, notice));
  }
  return batches_.wait_for(database, max_waiters, replaced_by_resent());
}

/// By the time of the last proposal. Nothing when a proposal can begin at once.
core::Duration DatabaseNotices::expected_wait() const {
  const std::size_t proposals_before =
      (batches_.proposing() ? 1 : 0) + batches_.count_waiting() / batches_.max_changes();
  return batches_.last_proposal() * proposals_before;
}

}  // namespace pipitpond::control
