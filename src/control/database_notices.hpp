// Notices of databases that register and leave by themselves, collected and proposed together. Hundreds of
// databases register within the first second of a fleet, and each sends its notice again to the next replica
// while it has no answer: a notice counts once for each database, however often it is sent.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "configuration/command.hpp"
#include "control/change_batches.hpp"
#include "control/revision_notices.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"

namespace pipitpond::control {

/// What a database tells of itself.
using DatabaseNotice = std::variant<configuration::RegisterDatabase, configuration::DepartDatabase>;

core::DatabaseId database_of(const DatabaseNotice& notice);

/// Least time between the beginnings of two proposals: daemons are told of revisions no more often than that.
inline constexpr core::Duration kDatabaseNoticesInterval = kNoticeInterval;
/// A database waits for its answer for 1 s and then asks another replica: an answer after this, which leaves
/// 0.2 s for its way there and back, is for nobody.
inline constexpr core::Duration kNoticeAnswerLimit = std::chrono::milliseconds(800);
/// Databases whose notices wait at most: several times those of the largest fleet that was measured.
inline constexpr std::size_t kMaxWaitingNotices = 4096;
/// Calls of one database that are held: one that it waits for, and one that it has resent.
inline constexpr std::size_t kMaxCallsOfADatabase = 2;
/// Batches of followers that may hold the same database: one of each other replica.
inline constexpr std::size_t kMaxBatchesOfADatabase = 16;

/// The line of notices at one replica. Must outlive its proposals: stop the io_context first.
class DatabaseNotices {
 public:
  using Propose = std::function<boost::asio::awaitable<core::Result<configuration::CommandResult>>(
      configuration::ChangeDatabases)>;

  DatabaseNotices(boost::asio::io_context& io, Propose propose,
                  core::Duration interval = kDatabaseNoticesInterval);

  /// Takes a notice and waits for what comes of it: its refusal, the proposal's failure, or kTimeout, after
  /// which the notice stays in line. kOverloaded at once when the line is full, or when its end will surely
  /// not be reached within the time-out; then the notice is in line all the same.
  boost::asio::awaitable<core::Result<void>> take(DatabaseNotice notice, core::Duration timeout);
  /// Takes what a follower has collected. Fails when one of its notices was not decided.
  boost::asio::awaitable<core::Result<configuration::CommandResult>> take_all(
      configuration::ChangeDatabases notices, core::Duration timeout);

  /// Databases whose notices are not proposed yet.
  [[nodiscard]] std::size_t count_waiting() const { return batches_.count_waiting(); }

 private:
  using Batches = ChangeBatches<core::DatabaseId, DatabaseNotice>;
  using DonePointer = std::shared_ptr<Batches::Done>;

  /// Empty when the line is full.
  DonePointer line_up(const DatabaseNotice& notice, std::size_t max_waiters);
  [[nodiscard]] core::Duration expected_wait() const;

  Batches batches_;
};

}  // namespace pipitpond::control
