// For a daemon that owns no connection to a group's primary: requests proofs of the primary from owners that
// do (see shown_primary.hpp). Requests are sent on demand, one at a time for each group, and shared by all
// waiting reads. Single-threaded.
//
// Each status request takes a slot of a database. If each of many daemons ran rounds of its own, status
// requests would keep databases busy that are accepting connections after a start. An owner runs one round
// for all daemons that ask it.
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

/// Sends the request to the best owner of a group's primary that is not in `tried`, and adds that owner to
/// `tried`. Fails with kNotFound when none is left.
using AskOwner = std::function<boost::asio::awaitable<core::Result<ShownPrimaryReply>>(
    std::vector<core::DaemonId>& tried, ShownPrimaryRequest request)>;

/// The group and presumed primary to be proven, and how to reach the primary's owners.
struct ProofRequestSubject {
  core::GroupName group;
  PresumedPrimary presumed;
  AskOwner ask_owner;
};

/// Counters since the start.
struct ProofRequestCounters {
  std::uint64_t asked = 0;     ///< Requests sent to an owner.
  std::uint64_t answered = 0;  ///< Requests that returned a proof.
  std::uint64_t failed = 0;    ///< Calls of `ask` for which no owner returned a proof.
};

/// Proof requests for all groups.
class PrimaryProofRequests {
 public:
  explicit PrimaryProofRequests(boost::asio::io_context& io) : io_(io) {}

  /// Requests a proof from a round that began at `moment` or later, unless a request for the group is in
  /// flight or the last one began less than kProofRequestInterval ago. Returns false when owners recently
  /// failed to give a proof: this daemon must then ask the databases itself.
  bool ask(core::Instant now, core::Instant moment, const ProofRequestSubject& subject);
  /// Sets the callback for each proof received.
  void on_proof(std::function<void(const core::GroupName&, const ShownPrimary&)> callback) {
    callback_ = std::move(callback);
  }
  [[nodiscard]] const ProofRequestCounters& counters() const { return counters_; }

 private:
  struct GroupState {
    bool in_flight = false;
    core::Instant last_begun{};
    core::Instant owners_backoff_until{};
  };

  boost::asio::awaitable<void> ask_owners(std::weak_ptr<GroupState> state, core::Instant moment,
                                          ProofRequestSubject subject);

  boost::asio::io_context& io_;
  std::function<void(const core::GroupName&, const ShownPrimary&)> callback_;
  std::map<core::GroupName, std::shared_ptr<GroupState>> groups_;
  ProofRequestCounters counters_;
};

/// Minimum interval between proof requests for a group, the same as between rounds.
inline constexpr core::Duration kProofRequestInterval = std::chrono::milliseconds(20);
/// Time in which an owner replies: the current round may have to end before the one that counts begins.
inline constexpr core::Duration kOwnerProofTimeout = std::chrono::milliseconds(120);
/// Allowance for the round trip to an owner, the same as for positions.
inline constexpr core::Duration kProofRoundTripAllowance = std::chrono::milliseconds(40);
/// Owners tried in turn for one proof.
inline constexpr std::size_t kMaxOwnersAskedForProof = 2;
/// After no owner gave a proof, this daemon asks the databases itself for this long.
inline constexpr core::Duration kOwnerProofBackoff = std::chrono::milliseconds(250);

}  // namespace pipitpond::pooling
