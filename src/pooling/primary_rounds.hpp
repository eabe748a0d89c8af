// Asks the databases of a group for their status, so that they show who is the primary when control can't:
// see PrimaryProof. On demand, one round at a time for each group, shared by all that wait. Single-threaded.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "pooling/backend_pool.hpp"
#include "pooling/shown_primary.hpp"

namespace pipitpond::pooling {

/// Asks one database for its status, within a time.
using AskStatus = std::function<boost::asio::awaitable<core::Result<BackendStatus>>(
    std::shared_ptr<BackendPool>, core::Duration)>;

/// The databases that a round asks.
struct RoundSubject {
  core::GroupName group;
  core::DatabaseId primary;
  std::vector<std::shared_ptr<BackendPool>> pools;  ///< Of the members that can be asked.
  std::size_t members = 0;                          ///< All that the configuration lists.
};

/// Tells the subject of the next round.
using SubjectSource = std::function<std::optional<RoundSubject>(core::Instant)>;

/// Counts since the start.
struct RoundCounters {
  std::uint64_t begun = 0;
  std::uint64_t shown = 0;
};

/// The rounds of all groups.
class PrimaryRounds {
 public:
  PrimaryRounds(boost::asio::io_context& io, AskStatus ask_status)
      : io_(io), ask_status_(std::move(ask_status)) {}

  /// Begins a round unless one is under way or the last one began less than kRoundInterval ago.
  void ask(core::Instant now, const RoundSubject& subject);
  /// Waits until a round that began at `earliest` or later has shown the group's primary, and begins rounds
  /// until one has. `subject` tells whom to ask now, or nothing when no round can be begun any more. Empty
  /// when nothing was shown before the deadline.
  boost::asio::awaitable<std::optional<ShownPrimary>> await_shown(core::GroupName group,
                                                                  SubjectSource subject,
                                                                  core::Instant earliest,
                                                                  core::Instant deadline);
  /// Another daemon's round has shown a primary. Counts like one of this daemon.
  void note_told(const core::GroupName& group, const ShownPrimary& shown);
  /// The last that a round of a group has shown, of this daemon or told by another; null before the first.
  [[nodiscard]] const ShownPrimary* shown(const core::GroupName& group) const;
  /// Called for each round that has shown a primary.
  void on_shown(std::function<void(const core::GroupName&, const ShownPrimary&)> callback) {
    callback_ = std::move(callback);
  }
  [[nodiscard]] const RoundCounters& counters() const { return counters_; }

 private:
  struct Round;
  struct GroupState {
    std::shared_ptr<Round> under_way;
    core::Instant last_begun{};
    std::optional<ShownPrimary> shown;
    std::optional<bool> last_succeeded;            ///< As last logged.
    std::set<boost::asio::steady_timer*> waiting;  ///< For the end of the round that is under way.
  };

  static boost::asio::awaitable<void> ask_one(std::weak_ptr<GroupState> state, std::shared_ptr<Round> round,
                                              std::shared_ptr<BackendPool> pool);
  void conclude(GroupState& state, Round& round);
  std::shared_ptr<GroupState> state_of(const core::GroupName& group);
  static boost::asio::awaitable<void> await_round(boost::asio::io_context& io,
                                                  std::shared_ptr<GroupState> state, core::Instant deadline);
  void keep(const core::GroupName& group, GroupState& state, const ShownPrimary& shown);
  static void log_outcome(GroupState& state, const Round& round);

  boost::asio::io_context& io_;
  AskStatus ask_status_;
  std::function<void(const core::GroupName&, const ShownPrimary&)> callback_;
  std::map<core::GroupName, std::shared_ptr<GroupState>> groups_;
  RoundCounters counters_;
};

/// Between the beginnings of a group's rounds: a status takes a slot of each database for a moment.
inline constexpr core::Duration kRoundInterval = std::chrono::milliseconds(20);
/// A database that has not answered for this long, the wait for a connection included, is not heard in a
/// round: several times a usual statement's time, well below the time in which callers want their answers.
inline constexpr core::Duration kRoundTimeout = std::chrono::milliseconds(100);

}  // namespace pipitpond::pooling
