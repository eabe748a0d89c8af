// Batches the changes that control itself makes to the list of daemons, so that the start of a fleet, the
// loss of a zone or hundreds of restarts create a few revisions instead of one or more per daemon. Every
// daemon fetches, stores and applies every revision: with one revision per daemon the cost would grow as N^2.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

#include "configuration/command.hpp"
#include "control/one_shot.hpp"
#include "control/revision_notices.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"

namespace pipitpond::control {

/// One change to one daemon.
using DaemonOperation =
    std::variant<configuration::AdmitDaemon, configuration::SetDaemonState, configuration::RemoveDaemon>;

/// Minimum time between the starts of two proposals. Daemons are not notified of revisions more often, so
/// that a shorter interval would only create more revisions.
inline constexpr core::Duration kDaemonChangesInterval = kNoticeInterval;
/// Maximum number of changes in one proposal.
inline constexpr std::size_t kMaxChangesPerProposal = 1000;

/// Queue of changes to daemons. At most one proposal is in progress; a change is proposed at once if none is
/// and the interval since the last one has passed. Must outlive its proposals: stop the io_context first.
class DaemonChanges {
 public:
  using Propose = std::function<boost::asio::awaitable<core::Result<configuration::CommandResult>>(
      configuration::ChangeDaemons)>;

  DaemonChanges(boost::asio::io_context& io, Propose propose,
                core::Duration interval = kDaemonChangesInterval);
  DaemonChanges(const DaemonChanges&) = delete;
  DaemonChanges& operator=(const DaemonChanges&) = delete;

  /// Queues a change. Returns false and drops it while another change to the same daemon is queued or in
  /// progress; the caller must try again later.
  bool add(const DaemonOperation& operation);
  /// Queues a removal, which replaces a queued change to the same daemon, and waits until its proposal has
  /// ended. Fails with the error of the proposal, or with kTimeout.
  boost::asio::awaitable<core::Result<void>> remove(configuration::RemoveDaemon removal,
                                                    core::Duration timeout);
  /// Drops the queued changes; their removals fail with kNotLeader. Call when the leadership that decided
  /// them ends: a later one of this replica must not propose them, for other leaders may have granted leases
  /// meanwhile.
  void drop_queued();

 private:
  using Completion = OneShot<core::Result<void>>;

  struct PendingChange {
    DaemonOperation operation;
    std::vector<std::shared_ptr<Completion>> completions;  ///< Completed with the result of the proposal.
  };

  using Batch = std::map<core::DaemonId, PendingChange>;

  void schedule();
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> pause(core::Duration duration);
  Batch take_batch();

  boost::asio::io_context& io_;
  Propose propose_;
  core::Duration interval_;
  core::Instant next_proposal_at_;
  bool running_ = false;
  Batch pending_;
  std::set<core::DaemonId> in_progress_;
};

}  // namespace pipitpond::control
