// Runs rounds of status requests to the databases of a group, which prove who the primary is when there is no
// valid lease from control (see PrimaryProof). Rounds run on demand, one at a time for each group, and are
// shared by all waiting reads. Single-threaded.
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
#include "pooling/primary_proof.hpp"
#include "pooling/shown_primary.hpp"

namespace pipitpond::pooling {

/// Requests the status of one database, with a timeout.
using AskStatus = std::function<boost::asio::awaitable<core::Result<BackendStatus>>(
    std::shared_ptr<BackendPool>, core::Duration)>;

/// The databases to which a round sends requests.
struct RoundSubject {
  core::GroupName group;
  core::DatabaseId primary;
  std::vector<std::shared_ptr<BackendPool>> pools;  ///< Pools of the members that can be reached.
  std::size_t members = 0;                          ///< Number of members in the configuration.
};

/// Returns the databases for the next round, or nothing when no round can be started.
using RoundSubjectSource = std::function<std::optional<RoundSubject>(core::Instant)>;

/// Counters since the start.
struct RoundCounters {
  std::uint64_t begun = 0;
  std::uint64_t shown = 0;
};

/// Rounds for all groups.
class PrimaryRounds {
 public:
  PrimaryRounds(boost::asio::io_context& io, AskStatus ask_status)
      : io_(io), ask_status_(std::move(ask_status)) {}

  /// Starts a round unless one is in progress or the last one began less than kRoundInterval ago.
  void ask(core::Instant now, const RoundSubject& subject);
  /// Starts rounds until one that began at `earliest` or later has proven the group's primary, and returns
  /// that proof. `subject` returns the databases to ask now, or nothing when no round can be started any
  /// more. Empty when there is no proof before the deadline.
  boost::asio::awaitable<std::optional<ShownPrimary>> await_shown(core::GroupName group,
                                                                  RoundSubjectSource subject,
                                                                  core::Instant earliest,
                                                                  core::Instant deadline);
  /// Records a proof from another daemon's round. It counts like one of this daemon.
  void add_proof(const core::GroupName& group, const ShownPrimary& shown);
  /// The newest proof for a group, from a round of this daemon or of another; null before the first.
  [[nodiscard]] const ShownPrimary* shown(const core::GroupName& group) const;
  /// Sets the callback for each proof.
  void on_proof(std::function<void(const core::GroupName&, const ShownPrimary&)> callback) {
    callback_ = std::move(callback);
  }
  /// Sets the callback for each status in a round: the replies so far, and when the round began. They may
  /// prove more once the round's proof has been given.
  void on_reply(std::function<void(const core::GroupName&, const PrimaryProof&, core::Instant)> callback) {
    reply_callback_ = std::move(callback);
  }
  [[nodiscard]] const RoundCounters& counters() const { return counters_; }

 private:
  struct Round;
  struct GroupState {
    std::shared_ptr<Round> in_flight;
    core::Instant last_begun{};
    std::optional<ShownPrimary> shown;
    std::optional<bool> last_succeeded;  ///< The outcome logged last.
    /// Timers of coroutines that wait for the current round to end.
    std::set<boost::asio::steady_timer*> waiting;
  };

  static boost::asio::awaitable<void> ask_one(std::weak_ptr<GroupState> state, std::shared_ptr<Round> round,
                                              std::shared_ptr<BackendPool> pool);
  void finish_if_decided(GroupState& state, Round& round);
  std::shared_ptr<GroupState> state_of(const core::GroupName& group);
  static boost::asio::awaitable<void> await_round(boost::asio::io_context& io,
                                                  std::shared_ptr<GroupState> state, core::Instant deadline);
  void store_proof(const core::GroupName& group, GroupState& state, const ShownPrimary& shown);
  static void log_outcome(GroupState& state, const Round& round);

  boost::asio::io_context& io_;
  AskStatus ask_status_;
  std::function<void(const core::GroupName&, const ShownPrimary&)> callback_;
  std::function<void(const core::GroupName&, const PrimaryProof&, core::Instant)> reply_callback_;
  std::map<core::GroupName, std::shared_ptr<GroupState>> groups_;
  RoundCounters counters_;
};

/// Minimum interval between the starts of a group's rounds: a status request takes a slot of each database
/// for a moment.
inline constexpr core::Duration kRoundInterval = std::chrono::milliseconds(20);
/// Timeout of a status request, the wait for a connection included: several times an average statement's
/// latency, and well below the time in which callers expect their replies.
inline constexpr core::Duration kRoundTimeout = std::chrono::milliseconds(100);

}  // namespace pipitpond::pooling
