// Collects what control itself changes about daemons and proposes it together, so that a fleet that starts, a
// zone that is lost or hundreds of restarts make a few revisions instead of one or more for each daemon.
// Every revision is fetched, stored and applied by every daemon: one for each daemon would cost the fleet
// N^2.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <variant>

#include "configuration/command.hpp"
#include "control/change_batches.hpp"
#include "control/revision_notices.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"

namespace pipitpond::control {

/// One change of one daemon.
using DaemonOperation =
    std::variant<configuration::AdmitDaemon, configuration::SetDaemonState, configuration::RemoveDaemon>;

/// Least time between the beginnings of two proposals. Daemons are told of revisions no more often than that.
inline constexpr core::Duration kDaemonChangesInterval = kNoticeInterval;
/// Changes that one proposal holds at most.
inline constexpr std::size_t kMaxDaemonChanges = 1000;

/// Queue of changes of daemons. One proposal is in progress at a time; a change that comes in a quiet time is
/// proposed at once. Must outlive its proposals: stop the io_context first.
class DaemonChanges {
 public:
  using Propose = std::function<boost::asio::awaitable<core::Result<configuration::CommandResult>>(
      configuration::ChangeDaemons)>;

  DaemonChanges(boost::asio::io_context& io, Propose propose,
                core::Duration interval = kDaemonChangesInterval);

  /// Asks for a change. While one for the same daemon waits or is in progress, a further one is dropped and
  /// false returned: the caller asks again.
  bool add(const DaemonOperation& operation);
  /// Asks for a removal, which takes the place of a change that waits. Returns once it was decided, with the
  /// proposal's failure if it has one, or kTimeout.
  boost::asio::awaitable<core::Result<void>> remove(configuration::RemoveDaemon removal,
                                                    core::Duration timeout);

 private:
  using Batches = ChangeBatches<core::DaemonId, DaemonOperation>;

  Batches batches_;
};

}  // namespace pipitpond::control
