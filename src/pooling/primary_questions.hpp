// Asks owners of a group's primary to show who that is, for a daemon that owns no connection to it: see
// shown_primary.hpp. On demand, one question at a time for each group, shared by all that wait.
// Single-threaded.
//
// A status takes a slot of a database. With a round by each of many daemons, databases that open connections
// after a start are kept busy by statuses; owners ask once for all daemons that ask them.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "pooling/shown_primary.hpp"

namespace pipitpond::pooling {

/// Asks the best owner of a group's primary that is not among `tried`, and adds it there. Fails with
/// kNotFound when none is left.
using AskOwner = std::function<boost::asio::awaitable<core::Result<ShownPrimaryReply>>(
    std::vector<core::DaemonId>& tried, ShownPrimaryRequest request)>;

/// Whom a question is about.
struct QuestionSubject {
  core::GroupName group;
  PresumedPrimary presumed;
  AskOwner ask_owner;
};

/// Counts since the start.
struct QuestionCounters {
  std::uint64_t asked = 0;   ///< Times that an owner was asked.
  std::uint64_t told = 0;    ///< Of these, those that brought a proof.
  std::uint64_t failed = 0;  ///< Questions that no owner answered with a proof.
};

/// The questions of all groups.
class PrimaryQuestions {
 public:
  explicit PrimaryQuestions(boost::asio::io_context& io) : io_(io) {}

  /// Asks for a round that began at `moment` or later, unless a question is under way or the last one began
  /// less than kQuestionInterval ago. False: owners could not tell a moment ago, and this daemon must ask the
  /// databases itself.
  bool ask(core::Instant now, core::Instant moment, const QuestionSubject& subject);
  /// Called for each proof that was told.
  void on_told(std::function<void(const core::GroupName&, const ShownPrimary&)> callback) {
    callback_ = std::move(callback);
  }
  [[nodiscard]] const QuestionCounters& counters() const { return counters_; }

 private:
  struct GroupState {
    bool under_way = false;
    core::Instant last_begun{};
    core::Instant owners_rest_until{};
  };

  boost::asio::awaitable<void> ask_owners(std::weak_ptr<GroupState> state, core::Instant moment,
                                          QuestionSubject subject);

  boost::asio::io_context& io_;
  std::function<void(const core::GroupName&, const ShownPrimary&)> callback_;
  std::map<core::GroupName, std::shared_ptr<GroupState>> groups_;
  QuestionCounters counters_;
};

/// Between the beginnings of a group's questions: as between rounds.
inline constexpr core::Duration kQuestionInterval = std::chrono::milliseconds(20);
/// An owner answers within this time: a round under way may have to end before the one that counts begins.
inline constexpr core::Duration kOwnersProofTimeout = std::chrono::milliseconds(120);
/// What the way to an owner and back may add: as for positions.
inline constexpr core::Duration kProofRoundTripAllowance = std::chrono::milliseconds(40);
/// Owners that one question is put to.
inline constexpr std::size_t kOwnersAskedForProof = 2;
/// After a question that no owner answered, this daemon asks the databases itself for this long.
inline constexpr core::Duration kOwnersProofRest = std::chrono::milliseconds(250);

}  // namespace pipitpond::pooling
